/** Tracks the incarnations of a pool's workers: which exist, and which have ended. */
import type { WorkerEntry } from '../ports/task-workers.js';
import type { Inheritance } from './inheritance.js';
import { hasLeaseExpired } from './lease-clock.js';
import type { PoolContext } from './pool-context.js';
import type { IncarnationEndCause } from './run-release.js';
import type { Moment, Worker } from './state.js';
import {
  computeReportAge,
  listWorkerTasks,
  releaseEnded,
  releaseExpired,
  reportLoss,
  type WorkerLoss,
} from './worker-loss.js';

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
   * Requeues the tasks of unresponsive workers whose leases have definitely expired, and drops
   * unlisted workers without tasks.
   */
  readonly releaseUnresponsive: (nowMs: number) => void;
  /** Counts the workers that are ignored because their incarnation was ended by an order. */
  readonly countEnded: () => number;
  /** Lists the known workers, and the inherited ones that may still hold a lease, by id. */
  readonly listLeaseHolders: () => readonly string[];
}

/**
 * Why an incarnation ended: by an order for its instance, or another one responds at its address.
 */
export type IncarnationEnd = Exclude<IncarnationEndCause, 'new-life'>;

/** How long an evacuation order remains in effect after it was last given. */
const EVACUATION_ORDER_TTL_MS = 3_000;

/** Creates the tracker of a pool's worker incarnations. */
export function createWorkerIncarnations(
  context: PoolContext,
  inheritance: Inheritance,
): WorkerIncarnations {
  const { table, report } = context;
  const endedIncarnations = new Map<string, number>();
  /** End of each worker's evacuation by worker id; some workers have no entry yet. */
  const evacuateUntilMsById = new Map<string, number>();
  const dropWorker = (worker: Worker, loss: WorkerLoss, nowMs: number | undefined) => {
    reportLoss(context, worker, loss, nowMs);
    releaseEnded(context, listWorkerTasks(context, worker), loss, nowMs);
    table.dropWorker(worker.entry.id);
    inheritance.removeWorker(worker.entry.id);
  };
  const observeIncarnationEnd = (workerId: string, why: IncarnationEnd, at?: Moment) => {
    const worker = table.workers.get(workerId);
    report({
      event: 'incarnation-end-notified',
      worker: workerId,
      why,
      bornMs: worker?.entry.bornMs,
      outcome: worker === undefined ? 'unknown-worker' : 'worker-dropped',
      wasUnreported: inheritance.listUnreported().includes(workerId),
      reportAgeMs: worker === undefined ? undefined : computeReportAge(worker, at?.nowMs),
    });
    if (worker !== undefined) {
      if (why === 'ordered') endedIncarnations.set(workerId, worker.entry.bornMs);
      dropWorker(worker, { why, newBornMs: undefined }, at?.nowMs);
    }
    inheritance.removeWorker(workerId);
  };
  // The entry of an incarnation that was ended by an order remains listed for some seconds.
  const hasIncarnationEnded = ({ id, bornMs }: WorkerEntry) =>
    bornMs > 0 && endedIncarnations.get(id) === bornMs;
  const observeEntry = (entry: WorkerEntry, nowMs: number) => {
    if (hasIncarnationEnded(entry)) return;
    const known = table.workers.get(entry.id);
    if (known !== undefined && known.entry.bornMs !== entry.bornMs) {
      if (known.entry.bornMs > entry.bornMs) return;
      dropWorker(known, { why: 'new-life', newBornMs: entry.bornMs }, nowMs);
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
  const releaseUnresponsive = (nowMs: number) => {
    [...table.workers.values()].forEach((worker) => {
      const isUnresponsive =
        worker.missedReports > 0 && hasLeaseExpired(worker.clock, worker.leaseUntilMs, nowMs);
      const hasLeft = !worker.isListed && worker.tasks.size === 0;
      if (isUnresponsive && (worker.tasks.size > 0 || worker.orphanedRuns.size > 0)) {
        releaseExpired(context, worker, nowMs);
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
      dropWorker(worker, { why: 'new-life', newBornMs: bornMs }, nowMs);
      table.addWorker({ ...worker.entry, bornMs });
    },
    releaseUnresponsive,
    countEnded: () => endedIncarnations.size,
    listLeaseHolders: () => [
      ...new Set([...table.workers.keys(), ...inheritance.listUnreported()]),
    ],
  };
}
