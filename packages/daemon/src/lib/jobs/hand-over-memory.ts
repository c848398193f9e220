/** Keeps for a while what the planners of this instance that have stopped tell the next ones. */
import type { DutyHandOver } from 'vanilladock/lib/duties/authority.js';
import { refreshHandOver, type TimedHandOver } from 'vanilladock/lib/jobs/hand-over.js';

/** Kept hand-overs; times are monotonic, in milliseconds. */
export interface HandOverMemory {
  /** Keeps what a planner tells that has stopped; undefined if it tells nothing. */
  readonly keep: (duty: string, timed: TimedHandOver | undefined) => void;
  /** Finds the newest hand-over of a duty, with its times brought to `nowMs`. */
  readonly find: (duty: string, nowMs: number) => DutyHandOver | undefined;
}

/** Time after which all waits of a hand-over are long over, in milliseconds. */
const TTL_MS = 30_000;

/** Creates an empty memory. */
export function createHandOverMemory(): HandOverMemory {
  const kept = new Map<string, TimedHandOver>();
  return {
    keep: (duty, timed) => {
      if (timed === undefined) kept.delete(duty);
      else kept.set(duty, timed);
    },
    find: (duty, nowMs) => {
      const found = kept.get(duty);
      if (found === undefined || nowMs - found.atMs > TTL_MS) return undefined;
      return { duty, ...refreshHandOver(found, nowMs) };
    },
  };
}
