/** Meter for a rate over about the last second, with exponential decay. */

/** Rate meter. Times are on one clock, in milliseconds, and must not decrease between calls. */
export interface RateMeter {
  readonly add: (amount: number, nowMs: number) => void;
  /** Returns the current rate, in amounts per second. */
  readonly getRate: (nowMs: number) => number;
}

const WINDOW_MS = 700;
const MS_PER_SECOND = 1_000;

/** Creates a meter with rate zero. */
export function createRateMeter(): RateMeter {
  let sum = 0;
  let sinceMs = 0;
  const updateTo = (nowMs: number) => {
    sum *= Math.exp(-(nowMs - sinceMs) / WINDOW_MS);
    sinceMs = nowMs;
  };
  return {
    add: (amount, nowMs) => {
      updateTo(nowMs);
      sum += amount;
    },
    getRate: (nowMs) => {
      updateTo(nowMs);
      return (sum * MS_PER_SECOND) / WINDOW_MS;
    },
  };
}
