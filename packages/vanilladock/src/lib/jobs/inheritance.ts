/** Tracks until when tasks of an earlier planner may still run or start unseen on workers. */
import { SUCCESSION_MS } from '../duties/authority.js';
import { CLOCK_DRIFT, LEASE_MS } from './lease-clock.js';

/** What a planner inherits from its predecessor. */
export interface InheritanceOptions {
  /** Ids of the workers that may hold leases from an earlier planner. */
  readonly inheritedWorkers: readonly string[];
  /**
   * When this planner's claim was known to be stored, or any later time; monotonic, in
   * milliseconds.
   */
  readonly claimedMs: number;
}

/** Inheritance of a planner. Times are monotonic, in milliseconds. */
export interface Inheritance {
  /**
   * Records that a worker reported what it runs; ignored if the report was requested (`sentMs`)
   * before the earlier planner had stopped.
   */
  readonly recordReport: (workerId: string, sentMs: number) => void;
  /** Records that no lease from an earlier planner is valid any more, once that is certain. */
  readonly expire: (nowMs: number) => void;
  /** Records that the preceding planner sends no orders after `nowMs`. */
  readonly observePredecessorStopped: (nowMs: number) => void;
  /** Says whether an earlier planner may still send orders. */
  readonly mayPredecessorOrder: (nowMs: number) => boolean;
  /** Says whether leases from an earlier planner may still be valid. */
  readonly isWithinUncertaintyWindow: (nowMs: number) => boolean;
  /**
   * Says whether an earlier planner may still send orders, or a worker that may hold a lease from
   * it has not reported yet.
   */
  readonly isUncertain: (nowMs: number) => boolean;
  /** Lists the workers that may hold a lease from an earlier planner and have not reported. */
  readonly listUnreported: () => readonly string[];
}

/** Additional wait for leases of an earlier planner, beyond their length. */
const INHERITED_LEASE_MARGIN_MS = 200;

/** Creates the inheritance of a planner. */
export function createInheritance(options: InheritanceOptions): Inheritance {
  const unreportedIds = new Set(options.inheritedWorkers);
  let predecessorUntilMs = options.claimedMs + SUCCESSION_MS;
  const getUncertainUntilMs = () =>
    predecessorUntilMs + LEASE_MS / (1 - CLOCK_DRIFT) + INHERITED_LEASE_MARGIN_MS;
  return {
    recordReport: (workerId, sentMs) => {
      if (sentMs >= predecessorUntilMs) unreportedIds.delete(workerId);
    },
    expire: (nowMs) => {
      if (nowMs > getUncertainUntilMs()) unreportedIds.clear();
    },
    observePredecessorStopped: (nowMs) => {
      predecessorUntilMs = Math.min(predecessorUntilMs, nowMs);
    },
    mayPredecessorOrder: (nowMs) => nowMs < predecessorUntilMs,
    isWithinUncertaintyWindow: (nowMs) => nowMs < getUncertainUntilMs(),
    isUncertain: (nowMs) =>
      nowMs < predecessorUntilMs || (unreportedIds.size > 0 && nowMs < getUncertainUntilMs()),
    listUnreported: () => [...unreportedIds],
  };
}
