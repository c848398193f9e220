/**
 * Record of failed runs on a worker. A worker on which tasks of several jobs failed is ejected: it
 * gets no new tasks for a time, which doubles with each ejection. It is on trial afterwards, with
 * one new batch task at a time. A success clears the record.
 */
import type { JobFailure, Worker, WorkerFailures } from './state.js';

/** Failures are forgotten this long after the last one, or after the end of the last ejection. */
const FAILURE_TTL_MS = 10_000;

/** Length of the first ejection. */
const FIRST_EJECTION_MS = 4_000;

const MAX_EJECTION_MS = 32_000;

/** After its ejection a worker is on trial for this long, or until a success. */
const TRIAL_MS = 1_000;

/** Record of a worker on which nothing has failed since the last success. */
export const NO_FAILURES: WorkerFailures = {
  jobs: [],
  ejections: 0,
  ejectedAtMs: 0,
  ejectedUntilMs: 0,
  trialTaskKey: undefined,
};

/** Says whether a worker is ejected at the monotonic time `nowMs`. */
export function isEjected({ failures }: Worker, nowMs: number): boolean {
  return failures.ejectedUntilMs > nowMs;
}

/** Says whether a worker is on trial at the monotonic time `nowMs`. */
function isOnTrial({ failures }: Worker, nowMs: number): boolean {
  return failures.ejections > 0 && nowMs < failures.ejectedUntilMs + TRIAL_MS;
}

/** Says whether a worker is on trial and still runs the last batch task that it got since. */
export function isTrialRunning(worker: Worker, nowMs: number): boolean {
  const { trialTaskKey } = worker.failures;
  return trialTaskKey !== undefined && worker.tasks.has(trialTaskKey) && isOnTrial(worker, nowMs);
}

/** Records the start of a batch task, which is the task of the trial if the worker is on trial. */
export function recordTrialTask(worker: Worker, taskKey: string, nowMs: number): WorkerFailures {
  const { failures } = worker;
  return isOnTrial(worker, nowMs) ? { ...failures, trialTaskKey: taskKey } : failures;
}

/** Adds a failed job, after failures that are too old to matter have been dropped. */
export function addFailure(failures: WorkerFailures, failure: JobFailure): WorkerFailures {
  const lastMs = Math.max(failures.ejectedUntilMs, ...failures.jobs.map(({ atMs }) => atMs));
  const { jobs, ...rest } = failure.atMs - lastMs > FAILURE_TTL_MS ? NO_FAILURES : failures;
  return { ...rest, jobs: [...jobs.filter(({ jobId }) => jobId !== failure.jobId), failure] };
}

/** Starts an ejection at the monotonic time `nowMs`. */
export function startEjection(failures: WorkerFailures, nowMs: number): WorkerFailures {
  const lengthMs = Math.min(FIRST_EJECTION_MS * 2 ** failures.ejections, MAX_EJECTION_MS);
  return {
    ...failures,
    ejections: failures.ejections + 1,
    ejectedAtMs: nowMs,
    ejectedUntilMs: nowMs + lengthMs,
    trialTaskKey: undefined,
  };
}

/** Ends an ejection or a trial at once; the failed jobs stay on record. */
export function dropEjection({ jobs }: WorkerFailures): WorkerFailures {
  return { ...NO_FAILURES, jobs };
}

/** Ends an ejection `lengthMs` after its start, unless it ends earlier. */
export function stopEjectionAfter(failures: WorkerFailures, lengthMs: number): WorkerFailures {
  const ejectedUntilMs = Math.min(failures.ejectedUntilMs, failures.ejectedAtMs + lengthMs);
  return { ...failures, ejectedUntilMs };
}
