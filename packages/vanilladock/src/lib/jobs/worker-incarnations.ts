/** Tracks the incarnations of a pool's workers: which exist, and which have ended. */
import type { WorkerEntry } from '../ports/task-workers.js';
import type { CrashWatch } from './crashes/crash-watch.js';
import { observeEntryCapacity } from './worker-capacity.js';
import { createEndedIncarnations } from './ended-incarnations.js';
import { ORDER_DELAY_MS } from './hand-over.js';
import type { Inheritance } from './inheritance.js';
import { CLOCK_DRIFT, hasLeaseExpired, MAX_LEASE_MS } from './lease-clock.js';
import { hasStoredHolders, listLeaseHolders, type LeaseHolder } from './lease-holder.js';
import type { TimedReport } from './observe-report.js';
import type { PoolContext } from './pool-context.js';
import type { IncarnationEndCause } from './run-release.js';
import type { Moment, Worker } from './state.js';
import {
  computeReportAge,
  isRunReported,
  listUnreportedRuns,
  listWorkerTasks,
  moveUnreportedRuns,
  releaseEnded,
  releaseExpired,
  reportLoss,
  type MissedReport,
  type WorkerLoss,
} from './worker-loss.js';
import { hasRuns } from './worker-runs.js';

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
  /**
   * Counts a report that was requested but not received, by default as `unanswered`; no effect on an
   * unknown worker.
   */
  readonly observeMissedReport: (workerId: string, at: Moment, how?: MissedReport) => void;
  /**
   * Drops a worker, and requeues its tasks, because another worker responds at the address of its
   * incarnation that started at `bornMs`; ignored if it has another incarnation by now.
   */
  readonly observeIncarnationEnd: (workerId: string, bornMs: number, at: Moment) => void;
  /**
   * Counts a notice that an order has ended some incarnation of a worker as a missed report. If the
   * worker does not report either, its tasks are requeued once its lease has expired, and it is
   * dropped when it has none.
   */
  readonly observeEndNotice: (workerId: string, at: Moment) => void;
  /** Records that a worker has reported; one that was requested before a notice is no answer to it. */
  readonly recordReport: (workerId: string, sentMs: number) => void;
  /** Keeps new tasks off a worker for a limited time, also one whose entry is received later. */
  readonly recordEvacuation: (workerId: string, at: Moment) => void;
  /**
   * Says whether a report is from the present incarnation of a known worker. A later incarnation
   * becomes the present one first; a report that may be from an earlier one does not.
   */
  readonly observeReporter: (workerId: string, timed: TimedReport, at: Moment) => boolean;
  /**
   * Requeues the tasks of those of the given workers that are unresponsive and whose leases have
   * definitely expired, and drops those that are unlisted and without tasks.
   */
  readonly releaseUnresponsive: (workerIds: Iterable<string>, at: Moment) => void;
  /** Says whether a notice was received that an order has ended some incarnation of a worker. */
  readonly isEndOrdered: (workerId: string) => boolean;
  /** Counts the workers that are ignored because their incarnation seems to have ended. */
  readonly countEnded: (nowMs: number) => number;
  /**
   * Lists the workers that may hold a lease of this planner now or soon, and the inherited ones that
   * may still hold one of an earlier planner, as it recorded them.
   */
  readonly listLeaseHolders: (nowMs: number) => readonly LeaseHolder[];
  /** As `hasStoredHolders` of the lease holders. */
  readonly hasStoredHolders: (stored: ReadonlyMap<string, LeaseHolder>, nowMs: number) => boolean;
}

/** How long an evacuation order remains in effect after it was last given. */
export const EVACUATION_ORDER_TTL_MS = 3_000;

/** Creates the tracker of a pool's worker incarnations. */
export function createWorkerIncarnations(
  context: PoolContext,
  inheritance: Inheritance,
  crashWatch: CrashWatch,
): WorkerIncarnations {
  const { table, report } = context;
  const ended = createEndedIncarnations();
  let listedEntries: readonly WorkerEntry[] = [];
  /** Listed entries that are not in the table; undefined when they have to be found again. */
  let missingEntries: readonly WorkerEntry[] | undefined;
  /** When the present incarnation of each worker was first known, by worker id. */
  const knownSinceMs = new Map<string, number>();
  /** When the last notice of an end was received that no report has answered, by worker id. */
  const endNoticedMs = new Map<string, number>();
  /** End of each worker's evacuation by worker id; some workers have no entry yet. */
  const evacuateUntilMsById = new Map<string, number>();

  const removeWorker = (workerId: string) => {
    table.dropWorker(workerId);
    missingEntries = undefined;
    knownSinceMs.delete(workerId);
    endNoticedMs.delete(workerId);
  };
  const dropWorker = (worker: Worker, loss: WorkerLoss, at: Moment) => {
    const { nowMs } = at;
    reportLoss(context, worker, loss, nowMs);
    const isOrdered = endNoticedMs.has(worker.entry.id);
    crashWatch.observeEnd(worker, at, { isOrdered, isSameId: false });
    releaseEnded(context, listWorkerTasks(context, worker), loss, nowMs);
    removeWorker(worker.entry.id);
  };
  const reportEnd = (
    workerId: string,
    why: Exclude<IncarnationEndCause, 'new-life'>,
    nowMs: number,
  ) => {
    const worker = table.workers.get(workerId);
    const outcome = why === 'ordered' ? 'report-requested' : 'worker-dropped';
    report({
      event: 'incarnation-end-notified',
      worker: workerId,
      why,
      bornMs: worker?.entry.bornMs,
      outcome: worker === undefined ? 'unknown-worker' : outcome,
      wasUnreported: inheritance.listUnreported().some(({ id }) => id === workerId),
      reportAgeMs: worker === undefined ? undefined : computeReportAge(worker, nowMs),
    });
  };
  const addWorker = (entry: WorkerEntry, at: Moment) => {
    const { nowMs } = at;
    crashWatch.observeEntry(entry, at);
    table.addWorker(entry);
    table.updateWorker(entry.id, {
      evacuateUntilMs: evacuateUntilMsById.get(entry.id) ?? 0,
      capacityKnownMs: nowMs,
    });
    knownSinceMs.set(entry.id, nowMs);
    report({
      event: 'worker-seen',
      worker: entry.id,
      bornMs: entry.bornMs,
      address: entry.address,
      rack: entry.rack,
      phase: entry.phase,
    });
  };
  /**
   * Replaces a worker by its next incarnation. The runs that the earlier one had listed have ended
   * with it; other starts may have reached the next one, and stay assigned until it reports.
   */
  const restartWorker = (worker: Worker, entry: WorkerEntry, at: Moment) => {
    const { nowMs } = at;
    const loss = { why: 'new-life', newBornMs: entry.bornMs } as const;
    const tasks = listWorkerTasks(context, worker);
    reportLoss(context, worker, loss, nowMs);
    const isOrdered = endNoticedMs.has(worker.entry.id);
    crashWatch.observeEnd(worker, at, { isOrdered, isSameId: true });
    releaseEnded(context, tasks.filter(isRunReported), loss, nowMs);
    ended.addReplaced(worker.entry);
    evacuateUntilMsById.delete(entry.id);
    const unreportedRuns = listUnreportedRuns(worker);
    addWorker(entry, at);
    table.updateWorker(entry.id, { lastLeaseCallMs: worker.lastLeaseCallMs });
    moveUnreportedRuns(context, [...worker.tasks], unreportedRuns);
    table.refreshUsedCapacity(entry.id);
  };
  const observeEntry = (entry: WorkerEntry, at: Moment) => {
    const { nowMs } = at;
    inheritance.recordIncarnation(entry.id, entry.bornMs);
    if (ended.has(entry, nowMs)) return;
    const known = table.workers.get(entry.id);
    if (known === undefined) addWorker(entry, at);
    else if (known.entry.bornMs < entry.bornMs) restartWorker(known, entry, at);
    else if (known.entry.bornMs === entry.bornMs) {
      observeEntryCapacity(context, entry, nowMs);
      const { capacity } = table.workers.get(entry.id)?.entry ?? entry;
      table.updateWorker(entry.id, { entry: { ...entry, capacity }, isListed: true });
    }
  };
  /** Says whether a worker is unresponsive and its leases have definitely expired. */
  const hasExpired = (worker: Worker, nowMs: number) => {
    if (worker.missedReports === 0) return false;
    if (worker.clock !== undefined) {
      return hasLeaseExpired(worker.clock, worker.leaseUntilMs, nowMs);
    }
    const knownForMs = nowMs - (knownSinceMs.get(worker.entry.id) ?? nowMs);
    return knownForMs > ORDER_DELAY_MS + MAX_LEASE_MS / (1 - CLOCK_DRIFT);
  };
  /** Drops a worker without runs that has left or, by a notice and a missed report, has ended. */
  const dropEmpty = (worker: Worker, at: Moment) => {
    const { id } = worker.entry;
    if (hasRuns(worker)) return;
    // The notice itself counts as one missed report.
    const hasEnded = endNoticedMs.has(id) && worker.missedReports > 1;
    if (hasEnded) {
      ended.addUnresponsive(worker.entry, at.nowMs);
      dropWorker(worker, { why: 'ordered', newBornMs: undefined }, at);
    } else if (!worker.isListed) removeWorker(id);
  };
  const releaseUnresponsive = (workerIds: Iterable<string>, at: Moment) => {
    const workers = [...workerIds].flatMap((id) => table.workers.get(id) ?? []);
    workers.forEach((worker) => {
      if (hasRuns(worker) && hasExpired(worker, at.nowMs))
        releaseExpired(context, worker, at.nowMs);
      dropEmpty(worker, at);
    });
    missingEntries ??= listedEntries.filter(({ id }) => !table.workers.has(id));
    if (missingEntries.length === 0) return;
    missingEntries.forEach((entry) => observeEntry(entry, at));
    missingEntries = undefined;
  };
  const hasSeemedEnded = ({ entry }: Worker) => ended.hasSeemedEnded(entry);
  const makeHolderSources = () => ({
    workers: table.workers,
    hasSeemedEnded,
    unreported: inheritance.listUnreported(),
  });
  return {
    observeEntries: (entries, at) => {
      const { nowMs } = at;
      listedEntries = entries;
      missingEntries = undefined;
      entries.forEach((entry) => observeEntry(entry, at));
      const ids = new Set(entries.map((entry) => entry.id));
      ended.retain(ids);
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
    observeMissedReport: (workerId, at, how = 'unanswered') => {
      const { nowMs } = at;
      const worker = table.workers.get(workerId);
      if (worker === undefined) return;
      if (how !== 'answered' && !endNoticedMs.has(workerId)) {
        crashWatch.observeSilence(worker, at, how === 'refused');
      }
      const answeredAgoMs = Math.round(nowMs - worker.lastReportMs);
      if (worker.missedReports === 0) {
        report({ event: 'worker-silent', worker: workerId, answeredAgoMs });
      }
      table.updateWorker(workerId, { missedReports: worker.missedReports + 1 });
    },
    observeIncarnationEnd: (workerId, bornMs, at) => {
      const { nowMs } = at;
      const worker = table.workers.get(workerId);
      if (worker?.entry.bornMs !== bornMs) return;
      reportEnd(workerId, 'other-life', nowMs);
      inheritance.recordEnd(workerId, bornMs);
      ended.addUnresponsive(worker.entry, nowMs);
      dropWorker(worker, { why: 'other-life', newBornMs: undefined }, at);
    },
    observeEndNotice: (workerId, { nowMs }) => {
      reportEnd(workerId, 'ordered', nowMs);
      const worker = table.workers.get(workerId);
      if (worker === undefined) return;
      endNoticedMs.set(workerId, nowMs);
      crashWatch.observeOrderedEnd(worker.entry);
      table.updateWorker(workerId, { missedReports: worker.missedReports + 1 });
    },
    recordReport: (workerId, sentMs) => {
      if (sentMs >= (endNoticedMs.get(workerId) ?? Infinity)) endNoticedMs.delete(workerId);
    },
    recordEvacuation: (workerId, { nowMs }) => {
      const untilMs = nowMs + EVACUATION_ORDER_TTL_MS;
      [...evacuateUntilMsById]
        .filter(([, endMs]) => endMs < nowMs)
        .forEach(([id]) => evacuateUntilMsById.delete(id));
      evacuateUntilMsById.set(workerId, untilMs);
      table.updateWorker(workerId, { evacuateUntilMs: untilMs });
    },
    observeReporter: (workerId, { report: { bornMs }, sentMs }, at) => {
      const worker = table.workers.get(workerId);
      if (worker === undefined) return false;
      if (bornMs === undefined || bornMs === worker.entry.bornMs) return true;
      if (worker.entry.bornMs === 0) {
        table.updateWorker(workerId, { entry: { ...worker.entry, bornMs } });
        return true;
      }
      // Incarnations follow each other, so one that answers a request sent after the present one
      // was known is a later one, even if the wall clock of its machine was set back.
      if (sentMs < (knownSinceMs.get(workerId) ?? 0)) return false;
      restartWorker(worker, { ...worker.entry, bornMs }, at);
      // Its own entry tells whether it is of this pool, and its labels and capacity.
      table.updateWorker(workerId, { isListed: false });
      return true;
    },
    releaseUnresponsive,
    isEndOrdered: (workerId) => endNoticedMs.has(workerId),
    countEnded: ended.countUnresponsive,
    listLeaseHolders: (nowMs) => listLeaseHolders(makeHolderSources(), nowMs),
    hasStoredHolders: (stored, nowMs) => hasStoredHolders(makeHolderSources(), stored, nowMs),
  };
}
