/**
 * Retry schedule of one service: assigns each refused caller the time after which to retry. Retries
 * are scheduled at the rate of service, weighted fair among teams and urgencies, and behind those
 * that are scheduled already. Callers refused in the same second therefore retry spread out over
 * the time that the backlog needs.
 */
import type { Random } from '../ports/random.js';
import { addCount, estimateTurnMs, type Leaf, type ShareTree } from './share-tree.js';

/** Retry schedule of one service. */
export interface RetrySchedule {
  /**
   * Assigns the next caller of a leaf its retry time, in milliseconds from now, from a second to an
   * hour, and counts it as promised. `ratePerMs` is the rate of service, and `leadMs` is how
   * much earlier than its estimated turn the caller retries, so that the queue does not run empty
   * before. Times are whole seconds because Retry-After has no finer unit; random rounding keeps
   * the mean.
   */
  readonly assignRetryMs: (leaf: Leaf, ratePerMs: number, leadMs: number, nowMs: number) => number;
  /**
   * Stops counting the retries that were due before the current whole second of the monotonic
   * clock, whether or not the callers came back.
   */
  readonly update: (nowMs: number) => void;
}

/** Retries are counted by intervals of this length. */
const INTERVAL_MS = 1_000;
const MIN_RETRY_MS = 1_000;
const MAX_RETRY_MS = 3_600_000;
/**
 * Retries are scheduled faster than the rate of service by this factor, to keep the queue filled.
 */
const RETRY_RATE_FACTOR = 1.25;

/** Creates an empty retry schedule over a share tree. */
export function createRetrySchedule(tree: ShareTree, random: Random): RetrySchedule {
  /** Number of scheduled retries of each leaf, by index of the interval. */
  const intervals = new Map<number, Map<Leaf, number>>();
  let oldestIndex = 0;

  const dropInterval = (index: number) => {
    intervals.get(index)?.forEach((count, leaf) => addCount(tree, leaf, 'promised', -count));
    intervals.delete(index);
  };
  const update = (nowMs: number) => {
    const current = Math.floor(nowMs / INTERVAL_MS);
    if (intervals.size === 0) oldestIndex = current;
    for (; oldestIndex < current; oldestIndex += 1) dropInterval(oldestIndex);
  };
  const recordRetry = (leaf: Leaf, dueMs: number) => {
    const index = Math.floor(dueMs / INTERVAL_MS);
    const counts = intervals.get(index) ?? new Map<Leaf, number>();
    counts.set(leaf, (counts.get(leaf) ?? 0) + 1);
    intervals.set(index, counts);
    addCount(tree, leaf, 'promised', 1);
  };

  return {
    update,
    assignRetryMs: (leaf, ratePerMs, leadMs, nowMs) => {
      update(nowMs);
      const ahead = leaf.waiting + leaf.promised;
      const retryRate = ratePerMs * RETRY_RATE_FACTOR;
      const backlogMs = estimateTurnMs(tree, leaf, ahead, 'backlog', retryRate);
      const intervalCount = Math.floor((backlogMs - leadMs) / INTERVAL_MS + random());
      const retryMs = Math.min(MAX_RETRY_MS, Math.max(MIN_RETRY_MS, intervalCount * INTERVAL_MS));
      recordRetry(leaf, nowMs + retryMs);
      return retryMs;
    },
  };
}
