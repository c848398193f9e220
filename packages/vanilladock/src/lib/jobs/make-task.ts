/** Makes the tasks and step runs of an occurrence of a job that is opened. */
import { NO_CHECKPOINT } from './checkpoints.js';
import { findLastRun, type JobOrigin } from './make-job.js';
import { makeTaskSuffix } from './progress.js';
import { makeStepKey, makeTaskKey, type StepSpec } from './spec.js';
import type { Job, StepRun, Task } from './state.js';

/** Occurrence, step and index of a task in its job. */
export type TaskPlace = Pick<Task, 'occurrence' | 'stepIndex' | 'index'>;

/**
 * Makes a task that starts no earlier than `notBeforeMs` on the monotonic clock; of an inherited job,
 * with the failed runs and crashes that are stored.
 */
export function makeWaitingTask(
  job: Job,
  place: TaskPlace,
  notBeforeMs: number,
  origin: JobOrigin | undefined,
): Task {
  const { id: jobId } = job.record.spec;
  const { occurrence, stepIndex, index } = place;
  const suffix = makeTaskSuffix(place);
  const failedRuns = origin?.progress?.failedRuns.get(suffix) ?? [];
  return {
    key: makeTaskKey(jobId, occurrence, stepIndex, index),
    jobId,
    occurrence,
    stepIndex,
    index,
    failedRuns,
    crashes: origin?.progress?.crashes.get(suffix) ?? [],
    lastRun: findLastRun(failedRuns, origin?.runBase ?? 0),
    checkpoint: NO_CHECKPOINT,
    stalls: 0,
    avoidedWorkerIds: [],
    state: { kind: 'waiting', notBeforeMs },
  };
}

/** Makes the step runs of an occurrence, in which every task is waiting. */
export function makeStepRuns(
  jobId: string,
  occurrence: number,
  steps: readonly StepSpec[],
): StepRun[] {
  return steps.map(({ count }, stepIndex) => ({
    key: makeStepKey(jobId, occurrence, stepIndex),
    waiting: new Set(Array.from({ length: count }, (_, index) => index)),
    done: new Set(),
    assigned: new Map(),
  }));
}
