/**
 * Decides which workers are ejected because tasks fail there. Load pattern: most failures are the
 * fault of single jobs, which fail wherever they run; now and then a worker fails everything for
 * some seconds. A job that also failed on a worker in good standing is no evidence against another.
 * Whatever has failed, at most a share of the pool is ejected, and a worker that a waiting task
 * needs is tried again soon.
 */
import { isAcceptingTasks, isEligible } from './choose-worker.js';
import type { PlacementRequest } from './placement-request.js';
import { hasFreeCapacity } from './free-capacity.js';
import type { PoolContext } from './pool-context.js';
import type { JobFailure, Worker, WorkerFailures } from './state.js';
import type { TaskTable } from './task-table.js';
import {
  addFailure,
  dropEjection,
  isEjected,
  NO_FAILURES,
  stopEjectionAfter,
  startEjection,
} from './worker-failures.js';

/** A worker on which this many jobs failed without a success is not in good standing. */
const FAILED_JOBS_LIMIT = 4;

/** Largest share of the serving workers ejected for the full time; never the only one. */
const MAX_EJECTED_SHARE = 0.5;

/** Length of an ejection beyond this share. */
const EXCESS_EJECTION_MS = 1_000;

/** Length of the ejection of a worker that a waiting task needs. */
const NEEDED_EJECTION_MS = 2_000;

/** A pool's workers that accept tasks, or would but for their failures. */
interface ServingWorkers {
  readonly ejected: readonly Worker[];
  /** Number of workers that may be ejected for the full time. */
  readonly ejectionLimit: number;
  /** Whether a worker in good standing serves. */
  readonly hasGoodWorker: boolean;
}

/** Says whether few enough jobs failed on a worker since the last success there. */
function isInGoodStanding({ failures }: Worker): boolean {
  return failures.jobs.length < FAILED_JOBS_LIMIT;
}

/** Finds the serving workers at the monotonic time `nowMs`. */
function findServingWorkers(table: TaskTable, nowMs: number): ServingWorkers {
  const serving = [...table.workers.values()].filter((worker) =>
    isAcceptingTasks({ ...worker, failures: NO_FAILURES }, nowMs),
  );
  return {
    ejected: serving.filter((worker) => isEjected(worker, nowMs)),
    ejectionLimit: Math.floor(serving.length * MAX_EJECTED_SHARE),
    hasGoodWorker: serving.some(isInGoodStanding),
  };
}

/** Replaces the failures of workers. */
function updateFailures(
  table: TaskTable,
  workers: readonly Worker[],
  change: (failures: WorkerFailures) => WorkerFailures,
): void {
  workers.forEach(({ entry, failures }) => {
    table.updateWorker(entry.id, { failures: change(failures) });
  });
}

/** Says whether a job also failed on another worker, which is in good standing. */
function hasFailedElsewhere(table: TaskTable, jobId: string, workerId: string): boolean {
  const failedWorkerIds = table.jobs.get(jobId)?.failedWorkerIds ?? [];
  return failedWorkerIds
    .filter((id) => id !== workerId)
    .map((id) => table.workers.get(id))
    .some((worker) => worker === undefined || isInGoodStanding(worker));
}

/** Says whether the failed jobs of a worker are evidence enough to eject it. */
function isSuspect(table: TaskTable, worker: Worker): boolean {
  if (isInGoodStanding(worker)) return false;
  const evidence = worker.failures.jobs.filter(
    ({ jobId }) => !hasFailedElsewhere(table, jobId, worker.entry.id),
  );
  return evidence.length >= FAILED_JOBS_LIMIT;
}

/** Ejects a suspect worker; beyond the limit for a short time, and only while a good one serves. */
function applyEjection(table: TaskTable, worker: Worker, nowMs: number): void {
  const { ejected, ejectionLimit, hasGoodWorker } = findServingWorkers(table, nowMs);
  const isExcess = ejected.length >= ejectionLimit;
  if (isExcess && !hasGoodWorker) return;
  const failures = startEjection(worker.failures, nowMs);
  table.updateWorker(worker.entry.id, {
    failures: isExcess ? stopEjectionAfter(failures, EXCESS_EJECTION_MS) : failures,
  });
}

/** Records that a task of a job failed on a worker, and ejects the worker if it is to blame. */
export function recordFailedRun(
  { table }: PoolContext,
  workerId: string,
  failure: JobFailure,
): void {
  const { jobId, atMs } = failure;
  const job = table.jobs.get(jobId);
  const known = table.workers.get(workerId);
  if (job === undefined || known === undefined) return;
  const knownIds = job.failedWorkerIds.filter((id) => table.workers.has(id));
  const failedWorkerIds = [...new Set([...knownIds, workerId])];
  table.updateJob(jobId, { failedWorkerIds });
  table.updateWorker(workerId, { failures: addFailure(known.failures, failure) });
  const workers = failedWorkerIds.flatMap((id) => table.workers.get(id) ?? []);
  const cleared = workers.filter((other) => isEjected(other, atMs) && !isSuspect(table, other));
  updateFailures(table, cleared, dropEjection);
  const worker = table.workers.get(workerId);
  if (worker === undefined || isEjected(worker, atMs) || !isSuspect(table, worker)) return;
  applyEjection(table, worker, atMs);
}

/** Stops the oldest ejections beyond the limit, which falls when other workers leave. */
export function refreshEjections(table: TaskTable, nowMs: number): void {
  if (![...table.workers.values()].some((worker) => isEjected(worker, nowMs))) return;
  const { ejected, ejectionLimit, hasGoodWorker } = findServingWorkers(table, nowMs);
  const excess = [...ejected]
    .sort((a, b) => a.failures.ejectedAtMs - b.failures.ejectedAtMs)
    .slice(0, Math.max(0, ejected.length - ejectionLimit));
  updateFailures(table, excess, (failures) =>
    hasGoodWorker ? stopEjectionAfter(failures, EXCESS_EJECTION_MS) : dropEjection(failures),
  );
}

/** Stops the ejections, soon after their start, of workers that a task needs to start. */
export function releaseNeededWorkers(table: TaskTable, request: PlacementRequest): void {
  const { ejected } = findServingWorkers(table, request.nowMs);
  const needed = ejected.filter(
    (worker) => hasFreeCapacity(worker, request.footprint) && isEligible(worker, request),
  );
  updateFailures(table, needed, (failures) => stopEjectionAfter(failures, NEEDED_EJECTION_MS));
}
