/** Meter for a rate over a recent window, with exponential decay. */

/** Rate meter. Times are on one clock, in milliseconds, and must not decrease between calls. */
export interface RateMeter {
  readonly add: (amount: number, nowMs: number) => void;
  /** Returns the current rate, in amounts per second. */
  readonly getRate: (nowMs: number) => number;
}

const MS_PER_SECOND = 1_000;

/** Creates a meter with rate zero; what was added `windowMs` ago counts with a weight of 1/e. */
export function createRateMeter(windowMs: number): RateMeter {
  let sum = 0;
  let sinceMs = 0;
  const updateTo = (nowMs: number) => {
    sum *= Math.exp(-(nowMs - sinceMs) / windowMs);
    sinceMs = nowMs;
  };
  return {
    add: (amount, nowMs) => {
      updateTo(nowMs);
      sum += amount;
    },
    getRate: (nowMs) => {
      updateTo(nowMs);
      return (sum * MS_PER_SECOND) / windowMs;
    },
  };
}
