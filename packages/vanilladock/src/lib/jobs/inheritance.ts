/** Tracks until when tasks of an earlier planner may still run or start unseen on workers. */
import { SUCCESSION_MS } from '../duties/authority.js';
import { CLOCK_DRIFT, LEASE_MS, MAX_LEASE_MS } from './lease-clock.js';
import type { LeaseHolder } from './lease-holder.js';

/** What a planner inherits from its predecessor. */
export interface InheritanceOptions {
  /** The workers that may hold leases from an earlier planner. */
  readonly inheritedWorkers: readonly LeaseHolder[];
  /**
   * When this planner's claim was known to be stored, or any later time; monotonic, in
   * milliseconds.
   */
  readonly claimedMs: number;
}

/** What inherited jobs wait for. */
export interface InheritanceWaits {
  /** Whether an earlier planner may still send orders. */
  readonly mayPredecessorOrder: boolean;
  /** Ids of the workers that may hold a lease from an earlier planner and have not reported. */
  readonly unreportedWorkers: readonly string[];
}

/** Inheritance of a planner. Times are monotonic, in milliseconds. */
export interface Inheritance {
  /**
   * Records that a worker reported what it runs; ignored if the report was requested (`sentMs`)
   * before the earlier planner had stopped.
   */
  readonly recordReport: (workerId: string, sentMs: number) => void;
  /**
   * Records the incarnation that a worker's entry names. If the earlier planner did not know of it,
   * its orders may have given that incarnation the longest lease, and for any task.
   */
  readonly recordIncarnation: (workerId: string, bornMs: number) => void;
  /** Records that no lease from an earlier planner is valid any more, once that is certain. */
  readonly expire: (nowMs: number) => void;
  /** Records that the preceding planner sends no orders after `nowMs`. */
  readonly observePredecessorStopped: (nowMs: number) => void;
  /** Says whether an earlier planner may still send orders. */
  readonly mayPredecessorOrder: (nowMs: number) => boolean;
  /** Says whether a worker that has not reported may hold a lease from an earlier planner. */
  readonly mayHoldLease: (workerId: string, nowMs: number) => boolean;
  /**
   * Says whether an earlier planner may still send orders, or whether any inherited task may run on
   * a worker that has not reported yet.
   */
  readonly isUncertain: (nowMs: number) => boolean;
  /** Explains what inherited jobs wait for; undefined unless `isUncertain` holds. */
  readonly explainWaits: (nowMs: number) => InheritanceWaits | undefined;
  /**
   * Says whether a task may run under a long lease on a worker that has not reported yet, although
   * the others are certain.
   */
  readonly mayRunUnseen: (taskKey: string, nowMs: number) => boolean;
  /** Counts the tasks for which `mayRunUnseen` holds. */
  readonly countUnseen: (nowMs: number) => number;
  /** Computes the longest lease that earlier planners may have given an incarnation. */
  readonly computeForeignLeaseMs: (workerId: string, bornMs: number) => number;
  /** Lists the workers that may hold a lease from an earlier planner and have not reported. */
  readonly listUnreported: () => readonly LeaseHolder[];
}

/** Additional wait for leases of an earlier planner, beyond their length. */
const INHERITED_LEASE_MARGIN_MS = 200;

/** Says whether a worker has another incarnation than a planner knew; false if either is unknown. */
function hasOtherIncarnation(holder: LeaseHolder | undefined, bornMs: number): boolean {
  const known = holder?.bornMs ?? 0;
  return known !== 0 && bornMs !== 0 && known !== bornMs;
}

/** Creates the inheritance of a planner. */
export function createInheritance(options: InheritanceOptions): Inheritance {
  const inherited = new Map(options.inheritedWorkers.map((holder) => [holder.id, holder]));
  const unreported = new Map(inherited);
  /** Unreported workers with an incarnation that the earlier planner did not know. */
  const restartedIds = new Set<string>();
  /** Workers on which tasks may run under long leases, by task key. */
  const longLeases = new Map<string, string>();
  inherited.forEach(({ id, longLeaseTasks = [] }) =>
    longLeaseTasks.forEach((key) => longLeases.set(key, id)),
  );
  let predecessorUntilMs = options.claimedMs + SUCCESSION_MS;

  /** Computes when leases of this length have ended that an earlier planner gave last. */
  const computeLeaseEndMs = (leaseMs: number) =>
    predecessorUntilMs + leaseMs / (1 - CLOCK_DRIFT) + INHERITED_LEASE_MARGIN_MS;
  const hasLongLeases = (holder: LeaseHolder) =>
    restartedIds.has(holder.id) || holder.longLeaseTasks !== undefined;
  const isPossibleHolder = (workerId: string, nowMs: number) => {
    const holder = unreported.get(workerId);
    const isLong = holder !== undefined && hasLongLeases(holder);
    return nowMs < computeLeaseEndMs(isLong ? MAX_LEASE_MS : LEASE_MS);
  };
  const isUnseen = (workerId: string, nowMs: number) =>
    unreported.has(workerId) && nowMs < computeLeaseEndMs(MAX_LEASE_MS);
  const isUncertain = (nowMs: number) =>
    nowMs < predecessorUntilMs ||
    (unreported.size > 0 && nowMs < computeLeaseEndMs(LEASE_MS)) ||
    (restartedIds.size > 0 && nowMs < computeLeaseEndMs(MAX_LEASE_MS));
  return {
    recordReport: (workerId, sentMs) => {
      if (sentMs < predecessorUntilMs) return;
      unreported.delete(workerId);
      restartedIds.delete(workerId);
    },
    recordIncarnation: (workerId, bornMs) => {
      if (hasOtherIncarnation(unreported.get(workerId), bornMs)) restartedIds.add(workerId);
    },
    expire: (nowMs) => {
      [...unreported.keys()]
        .filter((id) => !isPossibleHolder(id, nowMs))
        .forEach((id) => {
          unreported.delete(id);
          restartedIds.delete(id);
        });
    },
    observePredecessorStopped: (nowMs) => {
      predecessorUntilMs = Math.min(predecessorUntilMs, nowMs);
    },
    mayPredecessorOrder: (nowMs) => nowMs < predecessorUntilMs,
    mayHoldLease: isPossibleHolder,
    isUncertain,
    explainWaits: (nowMs) =>
      isUncertain(nowMs)
        ? {
            mayPredecessorOrder: nowMs < predecessorUntilMs,
            unreportedWorkers: [...unreported.keys()],
          }
        : undefined,
    mayRunUnseen: (taskKey, nowMs) => {
      const workerId = longLeases.get(taskKey);
      return workerId !== undefined && isUnseen(workerId, nowMs);
    },
    countUnseen: (nowMs) =>
      [...longLeases.values()].filter((workerId) => isUnseen(workerId, nowMs)).length,
    computeForeignLeaseMs: (workerId, bornMs) => {
      const holder = inherited.get(workerId);
      const isLong = holder?.longLeaseTasks !== undefined || hasOtherIncarnation(holder, bornMs);
      return isLong ? MAX_LEASE_MS : LEASE_MS;
    },
    listUnreported: () => [...unreported.values()],
  };
}
