/**
 * Tracks the incarnations of a pool's workers: which exist, which have ended, and which may still
 * run tasks of an earlier planner.
 */
import type { WorkerEntry } from '../ports/task-workers.js';
import { SUCCESSION_MS } from '../duties/authority.js';
import { CLOCK_DRIFT, computeEarliestWorkerMs, hasLeaseExpired, LEASE_MS } from './lease-clock.js';
import type { PoolContext } from './pool-context.js';
import { isAdopted, releaseUnendedRun, type IncarnationEndCause } from './run-release.js';
import type { Moment, Task, Worker } from './state.js';

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

/**
 * Tracker of worker incarnations. Times are monotonic, in milliseconds, except `bornMs`, which is
 * in milliseconds since 1970.
 */
export interface WorkerIncarnations {
  /**
   * Applies the complete list of registered workers: adds new incarnations in place of older ones
   * and marks the workers that the list omits as unlisted.
   */
  readonly observeEntries: (entries: readonly WorkerEntry[], at: Moment) => void;
  /** Counts a report that was requested but not received; no effect on an unknown worker. */
  readonly observeMissedReport: (workerId: string, at: Moment) => void;
  /**
   * Drops a worker whose incarnation has ended, and requeues its tasks; an inherited worker no
   * longer counts as a lease holder. Without `at`, ages are left out of the log.
   */
  readonly observeIncarnationEnd: (workerId: string, why: IncarnationEnd, at?: Moment) => void;
  /** Keeps new tasks off a worker for a limited time, also one whose entry is received later. */
  readonly recordEvacuation: (workerId: string, at: Moment) => void;
  /**
   * Requeues a worker's tasks and replaces it by its new incarnation, which started at `bornMs`.
   */
  readonly observeNewIncarnation: (worker: Worker, bornMs: number, at: Moment) => void;
  /**
   * Records that a worker reported what it runs; ignored if the report was requested (`sentMs`)
   * before the earlier planner had stopped.
   */
  readonly recordReport: (workerId: string, sentMs: number) => void;
  /**
   * Requeues the tasks of unresponsive workers whose leases have definitely expired, and drops
   * unlisted workers without tasks.
   */
  readonly releaseUnresponsive: (nowMs: number) => void;
  /** Records that the preceding planner sends no orders after `nowMs`. */
  readonly observePredecessorStopped: (nowMs: number) => void;
  /** Says whether leases from an earlier planner may still be valid. */
  readonly isWithinUncertaintyWindow: (nowMs: number) => boolean;
  /**
   * Says whether an earlier planner may still send orders, or a worker that may hold a lease from
   * it has not reported yet.
   */
  readonly isInheritanceUncertain: (nowMs: number) => boolean;
  /**
   * Counts the workers that may hold a lease from an earlier planner and have not reported, and
   * those that are ignored because their incarnation was ended by an order.
   */
  readonly countIgnored: () => {
    readonly unreportedWorkers: number;
    readonly endedWorkers: number;
  };
  /** Lists the known workers, and the inherited ones that may still hold a lease, by id. */
  readonly listLeaseHolders: () => readonly string[];
}

/**
 * Why an incarnation ended: by an order for its instance, or another one responds at its address.
 */
export type IncarnationEnd = Exclude<IncarnationEndCause, 'new-life'>;

/** How long an evacuation order remains in effect after it was last given. */
const EVACUATION_ORDER_TTL_MS = 3_000;

/** Additional wait for leases of an earlier planner, beyond their length. */
const INHERITED_LEASE_MARGIN_MS = 200;

/** Creates the tracker of a pool's worker incarnations. */
export function createWorkerIncarnations(
  context: PoolContext,
  options: InheritanceOptions,
): WorkerIncarnations {
  const { table, report } = context;
  const unreportedIds = new Set(options.inheritedWorkers);
  const endedIncarnations = new Map<string, number>();
  /** End of each worker's evacuation by worker id; some workers have no entry yet. */
  const evacuateUntilMsById = new Map<string, number>();
  let predecessorUntilMs = options.claimedMs + SUCCESSION_MS;
  const getUncertainUntilMs = () =>
    predecessorUntilMs + LEASE_MS / (1 - CLOCK_DRIFT) + INHERITED_LEASE_MARGIN_MS;

  const listTasks = (worker: Worker): readonly Task[] =>
    [...worker.tasks].flatMap((key) => table.findTask(key) ?? []);
  const countAdopted = (tasks: readonly Task[]) =>
    tasks.filter(({ state }) => state.kind === 'assigned' && isAdopted(state)).length;
  const computeReportAge = (worker: Worker, nowMs: number | undefined) =>
    worker.clock === undefined || nowMs === undefined
      ? undefined
      : Math.round(nowMs - worker.lastReportMs);
  /** Drops a worker whose incarnation has ended; its new one started at `newBornMs`, if known. */
  const dropWorker = (
    worker: Worker,
    why: IncarnationEndCause,
    newBornMs: number | undefined,
    nowMs: number | undefined,
  ) => {
    report({
      event: 'worker-lost',
      worker: worker.entry.id,
      bornMs: worker.entry.bornMs,
      newBornMs,
      why,
      tasks: worker.tasks.size,
      silentMs: worker.missedReports,
      reportAgeMs: computeReportAge(worker, nowMs),
    });
    listTasks(worker).forEach((task) => {
      releaseUnendedRun(context, task, { proof: 'incarnation-ended', why, newBornMs }, { nowMs });
    });
    table.dropWorker(worker.entry.id);
    unreportedIds.delete(worker.entry.id);
  };
  const observeIncarnationEnd = (workerId: string, why: IncarnationEnd, at?: Moment) => {
    const worker = table.workers.get(workerId);
    report({
      event: 'incarnation-end-notified',
      worker: workerId,
      why,
      bornMs: worker?.entry.bornMs,
      outcome: worker === undefined ? 'unknown-worker' : 'worker-dropped',
      wasUnreported: unreportedIds.has(workerId),
      reportAgeMs: worker === undefined ? undefined : computeReportAge(worker, at?.nowMs),
    });
    if (worker !== undefined) {
      if (why === 'ordered') endedIncarnations.set(workerId, worker.entry.bornMs);
      dropWorker(worker, why, undefined, at?.nowMs);
    }
    unreportedIds.delete(workerId);
  };
  // The entry of an incarnation that was ended by an order remains listed for some seconds.
  const hasIncarnationEnded = ({ id, bornMs }: WorkerEntry) =>
    bornMs > 0 && endedIncarnations.get(id) === bornMs;
  const observeEntry = (entry: WorkerEntry, nowMs: number) => {
    if (hasIncarnationEnded(entry)) return;
    const known = table.workers.get(entry.id);
    if (known !== undefined && known.entry.bornMs !== entry.bornMs) {
      if (known.entry.bornMs > entry.bornMs) return;
      dropWorker(known, 'new-life', entry.bornMs, nowMs);
    }
    if (table.workers.has(entry.id)) table.updateWorker(entry.id, { entry, isListed: true });
    else {
      table.addWorker(entry);
      table.updateWorker(entry.id, { evacuateUntilMs: evacuateUntilMsById.get(entry.id) ?? 0 });
      report({
        event: 'worker-seen',
        worker: entry.id,
        bornMs: entry.bornMs,
        address: entry.address,
        rack: entry.rack,
        phase: entry.phase,
      });
    }
  };
  /** Requeues the tasks of a worker whose lease has expired. */
  const releaseExpired = (worker: Worker, nowMs: number) => {
    const { clock, leaseUntilMs, missedReports } = worker;
    const tasks = listTasks(worker);
    const earliestWorkerMs =
      clock === undefined ? undefined : Math.round(computeEarliestWorkerMs(clock, nowMs));
    const reportAgeMs = Math.round(nowMs - worker.lastReportMs);
    report({
      event: 'worker-leases-passed',
      worker: worker.entry.id,
      bornMs: worker.entry.bornMs,
      leaseUntilMs,
      earliestWorkerMs,
      reportAgeMs,
      missedReports,
      adopted: countAdopted(tasks),
    });
    const proof = 'lease-expired';
    tasks.forEach((task) => {
      releaseUnendedRun(
        context,
        task,
        { proof, leaseUntilMs, earliestWorkerMs, reportAgeMs, missedReports },
        { nowMs },
      );
    });
  };
  const releaseUnresponsive = (nowMs: number) => {
    [...table.workers.values()].forEach((worker) => {
      const isUnresponsive =
        worker.missedReports > 0 && hasLeaseExpired(worker.clock, worker.leaseUntilMs, nowMs);
      const hasLeft = !worker.isListed && worker.tasks.size === 0;
      if (isUnresponsive && (worker.tasks.size > 0 || worker.orphanedRuns.size > 0)) {
        releaseExpired(worker, nowMs);
        worker.orphanedRuns.clear();
        table.refreshUsedCapacity(worker.entry.id);
      }
      if (hasLeft && (worker.missedReports > 0 || worker.orphanedRuns.size === 0)) {
        table.dropWorker(worker.entry.id);
      }
    });
  };
  return {
    observeEntries: (entries, { nowMs }) => {
      entries.forEach((entry) => observeEntry(entry, nowMs));
      const ids = new Set(entries.map((entry) => entry.id));
      [...endedIncarnations.keys()]
        .filter((id) => !ids.has(id))
        .forEach((id) => endedIncarnations.delete(id));
      table.workers.forEach((worker, id) => {
        if (ids.has(id) || !worker.isListed) return;
        table.updateWorker(id, { isListed: false });
        report({
          event: 'worker-unlisted',
          worker: id,
          answeredAgoMs: Math.round(nowMs - worker.lastReportMs),
        });
      });
    },
    observeMissedReport: (workerId, { nowMs }) => {
      const worker = table.workers.get(workerId);
      if (worker === undefined) return;
      const answeredAgoMs = Math.round(nowMs - worker.lastReportMs);
      if (worker.missedReports === 0) {
        report({ event: 'worker-silent', worker: workerId, answeredAgoMs });
      }
      table.updateWorker(workerId, { missedReports: worker.missedReports + 1 });
    },
    observeIncarnationEnd,
    recordEvacuation: (workerId, { nowMs }) => {
      const untilMs = nowMs + EVACUATION_ORDER_TTL_MS;
      [...evacuateUntilMsById]
        .filter(([, endMs]) => endMs < nowMs)
        .forEach(([id]) => evacuateUntilMsById.delete(id));
      evacuateUntilMsById.set(workerId, untilMs);
      table.updateWorker(workerId, { evacuateUntilMs: untilMs });
    },
    observeNewIncarnation: (worker, bornMs, { nowMs }) => {
      dropWorker(worker, 'new-life', bornMs, nowMs);
      table.addWorker({ ...worker.entry, bornMs });
    },
    recordReport: (workerId, sentMs) => {
      if (sentMs >= predecessorUntilMs) unreportedIds.delete(workerId);
    },
    releaseUnresponsive: (nowMs) => {
      if (nowMs > getUncertainUntilMs()) unreportedIds.clear();
      releaseUnresponsive(nowMs);
    },
    observePredecessorStopped: (nowMs) => {
      predecessorUntilMs = Math.min(predecessorUntilMs, nowMs);
    },
    isWithinUncertaintyWindow: (nowMs) => nowMs < getUncertainUntilMs(),
    isInheritanceUncertain: (nowMs) =>
      nowMs < predecessorUntilMs || (unreportedIds.size > 0 && nowMs < getUncertainUntilMs()),
    countIgnored: () => ({
      unreportedWorkers: unreportedIds.size,
      endedWorkers: endedIncarnations.size,
    }),
    listLeaseHolders: () => [...new Set([...table.workers.keys(), ...unreportedIds])],
  };
}
