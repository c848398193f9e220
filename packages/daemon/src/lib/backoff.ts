/** Delays between tries that grow to a bound and are spread at random, so that many do not retry at once. */
import type { Random } from 'vanilladock';

/** A growing delay. */
export interface Backoff {
  /** Computes the next delay in milliseconds. */
  readonly takeDelay: () => number;
  readonly reset: () => void;
}

/** Creates a delay that doubles from `minMs` to `maxMs`; each is between half of it and all of it. */
export function createBackoff(minMs: number, maxMs: number, random: Random): Backoff {
  let currentMs = minMs;
  return {
    takeDelay: () => {
      const delayMs = currentMs * (0.5 + random() / 2);
      currentMs = Math.min(currentMs * 2, maxMs);
      return delayMs;
    },
    reset: () => {
      currentMs = minMs;
    },
  };
}
