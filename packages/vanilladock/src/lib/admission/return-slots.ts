/**
 * Return slots of one service: when each refused caller is told to come back. Slots follow one
 * another at the rate of service, weighted fair among teams and urgencies, and count the callers that
 * were told earlier, so that callers refused in one second return spread out over the time that the
 * backlog needs.
 */
import type { Random } from '../ports/random.js';
import { addCount, estimateTurnMs, type Leaf, type ShareTree } from './leaf.js';

/** Return slots of one service. */
export interface ReturnSlots {
  /**
   * Gives a leaf's caller the next slot: milliseconds from now, at the rate of requests per ms, and so
   * much earlier than its turn that the queue does not run empty before it returns. Whole
   * seconds, because Retry-After has no finer unit, rounded at random so that the mean is right.
   */
  readonly takeSlot: (leaf: Leaf, ratePerMs: number, leadMs: number, nowMs: number) => number;
  /** Forgets the slots that have come due. */
  readonly update: (nowMs: number) => void;
}

const SLOT_MS = 1_000;
const MIN_RETURN_MS = 1_000;
const MAX_RETURN_MS = 3_600_000;
/** Returns are given out this much faster than the rate of service, so that the queue stays filled. */
const RETURN_RATE_FACTOR = 1.25;
/** Creates return slots over a share tree. */
export function createReturnSlots(tree: ShareTree, random: Random): ReturnSlots {
  const slots = new Map<number, Map<Leaf, number>>();
  let oldest = 0;

  const dropSlot = (index: number) => {
    slots.get(index)?.forEach((count, leaf) => addCount(tree, leaf, 'promised', -count));
    slots.delete(index);
  };
  const update = (nowMs: number) => {
    const current = Math.floor(nowMs / SLOT_MS);
    if (slots.size === 0) oldest = current;
    for (; oldest < current; oldest += 1) dropSlot(oldest);
  };
  const recordSlot = (leaf: Leaf, dueMs: number) => {
    const index = Math.floor(dueMs / SLOT_MS);
    const counts = slots.get(index) ?? new Map<Leaf, number>();
    counts.set(leaf, (counts.get(leaf) ?? 0) + 1);
    slots.set(index, counts);
    addCount(tree, leaf, 'promised', 1);
  };

  return {
    update,
    takeSlot: (leaf, ratePerMs, leadMs, nowMs) => {
      update(nowMs);
      const ahead = leaf.waiting + leaf.promised;
      const returnRate = ratePerMs * RETURN_RATE_FACTOR;
      const backlogMs = estimateTurnMs(tree, leaf, ahead, 'backlog', returnRate);
      const slot = Math.floor((backlogMs - leadMs) / SLOT_MS + random());
      const returnMs = Math.min(MAX_RETURN_MS, Math.max(MIN_RETURN_MS, slot * SLOT_MS));
      recordSlot(leaf, nowMs + returnMs);
      return returnMs;
    },
  };
}
