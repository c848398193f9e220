/** Tracks until when tasks of an earlier planner may still run or start unseen on workers. */
import { SUCCESSION_MS } from '../duties/authority.js';
import type { LeaseEnd, RunName, StoppedRun, TimedHandOver } from './hand-over.js';
import type { InheritedRuns } from './inherited-runs.js';
import { CLOCK_DRIFT, LEASE_MS, MAX_LEASE_MS } from './lease-clock.js';
import type { LeaseHolder } from './lease-holder.js';
import type { TeamUse } from '../teams/team-usage.js';

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
   * Records that an incarnation and all before it have ended, and no other answers for the worker:
   * nothing is left there to wait for.
   */
  readonly recordEnd: (workerId: string, bornMs: number) => void;
  /**
   * Records the incarnation that a worker's entry names. If the earlier planner did not know of it,
   * its orders may have given that incarnation the longest lease, and for any task.
   */
  readonly recordIncarnation: (workerId: string, bornMs: number) => void;
  /** Forgets the workers that hold no lease from an earlier planner any more, once that is certain. */
  readonly expire: (nowMs: number) => void;
  /** Records that no earlier planner sends orders after `nowMs`. */
  readonly observePredecessorStopped: (nowMs: number) => void;
  /**
   * Applies what the preceding planner tells: its list of leases replaces the inherited one, but for
   * the workers that have reported since.
   */
  readonly observeHandOver: (timed: TimedHandOver) => void;
  /** Finds a run of which the preceding planner has ordered the stop; undefined for any other. */
  readonly findStopped: (run: RunName) => StoppedRun | undefined;
  /** As `findConfirmedMs` of the inherited runs. */
  readonly findConfirmedMs: InheritedRuns['findConfirmedMs'];
  /** Lists these runs while some of them may be on workers that have not reported. */
  readonly listStoppedRuns: () => readonly StoppedRun[];
  /** Returns until when earlier planners may send orders; in the past once they may not. */
  readonly getPredecessorUntilMs: () => number;
  /** Returns when earlier planners may last extend the lease of a worker that has not reported. */
  readonly getLastOrderMs: (workerId: string) => number;
  /**
   * Returns what teams may use on a worker that has not reported, by orders of earlier planners;
   * undefined if the preceding planner has not told it, or the worker has restarted since.
   */
  readonly getTeamUse: (workerId: string) => TeamUse | undefined;
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
   * Says whether a task may run on a worker that has not reported yet, although the others are
   * certain: under a long lease, or because the preceding planner tells that it was there.
   */
  readonly mayRunUnseen: (taskKey: string, nowMs: number) => boolean;
  /** Counts the tasks for which `mayRunUnseen` holds. */
  readonly countUnseen: (nowMs: number) => number;
  /** Computes the longest lease that earlier planners may have given an incarnation. */
  readonly computeForeignLeaseMs: (workerId: string, bornMs: number) => number;
  /**
   * Finds the latest end of the lease of an incarnation that has reported to an earlier planner, as
   * the preceding one tells; undefined if it tells none.
   */
  readonly findLeaseEnd: (workerId: string, bornMs: number) => LeaseEnd | undefined;
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

/** Makes the key of a run. */
function makeRunKey({ taskKey, run }: RunName): string {
  return `${taskKey} ${run}`;
}

/**
 * Creates the inheritance of a planner. `isAwaited` says of a worker whether its first answer to this
 * planner is still to come: its lists may name what has ended, also after its lease. `runs` is what
 * the preceding planner has told of runs.
 */
export function createInheritance(
  options: InheritanceOptions,
  isAwaited: (workerId: string) => boolean,
  runs: Pick<InheritedRuns, 'find' | 'findConfirmedMs' | 'listWorkers' | 'listTasks'>,
): Inheritance {
  const inherited = new Map<string, LeaseHolder>();
  const unreported = new Map<string, LeaseHolder>();
  /** Incarnations that the workers' entries name, by worker id. */
  const listedBornMs = new Map<string, number>();
  /** Newest incarnation of each worker that is known to have ended, by worker id. */
  const endedBornMs = new Map<string, number>();
  /** When the lease of a worker may last have been extended, as the preceding planner tells. */
  const orderedMs = new Map<string, number>();
  /** What teams may use on a worker, as the preceding planner tells. */
  const teamUses = new Map<string, TeamUse>();
  /** Runs that the preceding planner has ordered to stop, by `makeRunKey`. */
  const stoppedRuns = new Map<string, StoppedRun>();
  const leaseEnds = new Map<string, LeaseEnd>();
  let predecessorUntilMs = options.claimedMs + SUCCESSION_MS;

  const getLastOrderMs = (workerId: string) => orderedMs.get(workerId) ?? predecessorUntilMs;
  /** Computes when leases of this length have ended that an earlier planner gave last. */
  const computeLeaseEndMs = (workerId: string, leaseMs: number) =>
    getLastOrderMs(workerId) + leaseMs / (1 - CLOCK_DRIFT) + INHERITED_LEASE_MARGIN_MS;
  /** Says whether an unreported worker has an incarnation that the earlier planner did not know. */
  const hasRestarted = (holder: LeaseHolder) =>
    hasOtherIncarnation(holder, listedBornMs.get(holder.id) ?? 0);
  /** Says whether the incarnation that earlier planners knew of has ended. */
  const hasEnded = ({ id, bornMs }: LeaseHolder) =>
    bornMs !== 0 && bornMs <= (endedBornMs.get(id) ?? -Infinity);
  const isHeldFor = (workerId: string, leaseMs: number, nowMs: number) =>
    unreported.has(workerId) &&
    (nowMs < computeLeaseEndMs(workerId, leaseMs) || isAwaited(workerId));
  const isPossibleHolder = (workerId: string, nowMs: number) => {
    const holder = unreported.get(workerId);
    const isLong =
      holder !== undefined && (hasRestarted(holder) || holder.longLeaseTasks !== undefined);
    return nowMs < computeLeaseEndMs(workerId, isLong ? MAX_LEASE_MS : LEASE_MS);
  };
  /** Says whether it was told of a worker which tasks may run, or have ended, there. */
  const hasKnownTasks = (holder: LeaseHolder) => {
    const told = runs.find(holder.id, holder.bornMs);
    return told !== undefined && told.isPartial !== true && !hasRestarted(holder);
  };
  /** Says whether any inherited task may run, or have ended, on a worker that has not reported. */
  const isUnknown = (holder: LeaseHolder, nowMs: number) =>
    !hasKnownTasks(holder) &&
    isHeldFor(holder.id, hasRestarted(holder) ? MAX_LEASE_MS : LEASE_MS, nowMs);
  const isUncertain = (nowMs: number) =>
    nowMs < predecessorUntilMs ||
    [...unreported.values()].some((holder) => isUnknown(holder, nowMs));
  /** Workers on which tasks may run under long leases, by task key. */
  const longLeases = new Map<string, string>();
  const addHolder = (holder: LeaseHolder) => {
    inherited.set(holder.id, holder);
    unreported.set(holder.id, holder);
    holder.longLeaseTasks?.forEach((key) => longLeases.set(key, holder.id));
  };
  const isUnseen = (taskKey: string, nowMs: number) => {
    const longHolderId = longLeases.get(taskKey);
    if (longHolderId !== undefined && isHeldFor(longHolderId, MAX_LEASE_MS, nowMs)) return true;
    return runs.listWorkers(taskKey).some((id) => isHeldFor(id, LEASE_MS, nowMs));
  };
  const countUnseen = (nowMs: number) =>
    [...new Set([...longLeases.keys(), ...runs.listTasks()])].filter((taskKey) =>
      isUnseen(taskKey, nowMs),
    ).length;
  options.inheritedWorkers.forEach(addHolder);
  return {
    recordReport: (workerId, sentMs) => {
      if (sentMs < predecessorUntilMs) return;
      unreported.delete(workerId);
    },
    recordEnd: (workerId, bornMs) => {
      endedBornMs.set(workerId, Math.max(bornMs, endedBornMs.get(workerId) ?? -Infinity));
    },
    recordIncarnation: (workerId, bornMs) => {
      if (unreported.has(workerId)) listedBornMs.set(workerId, bornMs);
    },
    expire: (nowMs) => {
      const isOver = (holder: LeaseHolder) =>
        hasEnded(holder)
          ? nowMs >= predecessorUntilMs
          : !isPossibleHolder(holder.id, nowMs) && !isAwaited(holder.id);
      [...unreported.values()].filter(isOver).forEach(({ id }) => unreported.delete(id));
    },
    observePredecessorStopped: (nowMs) => {
      predecessorUntilMs = Math.min(predecessorUntilMs, nowMs);
    },
    observeHandOver: ({ handOver, atMs }) => {
      predecessorUntilMs = Math.min(predecessorUntilMs, atMs + handOver.earlierOrdersMs);
      const reportedIds = new Set([...inherited.keys()].filter((id) => !unreported.has(id)));
      handOver.stoppedRuns?.forEach((run) => stoppedRuns.set(makeRunKey(run), run));
      handOver.longLeases?.forEach((end) => leaseEnds.set(end.id, end));
      unreported.clear();
      longLeases.clear();
      handOver.leases
        .filter(({ id }) => !reportedIds.has(id))
        .forEach(({ orderedAgoMs, teamUse, ...holder }) => {
          addHolder(holder);
          if (teamUse !== undefined) teamUses.set(holder.id, teamUse);
          orderedMs.set(holder.id, atMs - orderedAgoMs);
        });
    },
    findConfirmedMs: runs.findConfirmedMs,
    findStopped: (run) => stoppedRuns.get(makeRunKey(run)),
    listStoppedRuns: () => (unreported.size === 0 ? [] : [...stoppedRuns.values()]),
    getPredecessorUntilMs: () => predecessorUntilMs,
    getLastOrderMs,
    getTeamUse: (workerId) => {
      const holder = unreported.get(workerId);
      return holder === undefined || hasRestarted(holder) ? undefined : teamUses.get(workerId);
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
    mayRunUnseen: isUnseen,
    countUnseen,
    computeForeignLeaseMs: (workerId, bornMs) => {
      const holder = inherited.get(workerId);
      const isLong = holder?.longLeaseTasks !== undefined || hasOtherIncarnation(holder, bornMs);
      return isLong ? MAX_LEASE_MS : LEASE_MS;
    },
    findLeaseEnd: (workerId, bornMs) => {
      const found = leaseEnds.get(workerId);
      return found?.bornMs === bornMs ? found : undefined;
    },
    listUnreported: () => [...unreported.values()],
  };
}
