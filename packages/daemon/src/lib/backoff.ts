/**
 * Randomised exponential backoff: retry delays grow up to a maximum and are jittered, so that many
 * clients do not retry at once.
 */
import type { Random } from 'vanilladock';

/** A sequence of growing retry delays. */
export interface Backoff {
  /** Returns the next delay in milliseconds and doubles the one after it, up to the maximum. */
  readonly takeDelay: () => number;
  /** Starts again from the shortest delay. */
  readonly reset: () => void;
}

/**
 * Creates a backoff whose base doubles from `minMs` to `maxMs`; each delay is drawn between half of
 * the base and the whole base.
 */
export function createBackoff(minMs: number, maxMs: number, random: Random): Backoff {
  let baseMs = minMs;
  return {
    takeDelay: () => {
      const delayMs = baseMs * (0.5 + random() / 2);
      baseMs = Math.min(baseMs * 2, maxMs);
      return delayMs;
    },
    reset: () => {
      baseMs = minMs;
    },
  };
}
