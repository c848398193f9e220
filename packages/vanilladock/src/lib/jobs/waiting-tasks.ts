/** Lists the steps whose tasks may start and the tasks that wait for a worker. */
import { listReadySteps } from './ready-steps.js';
import { makeStepKey, makeTaskKey, type StepSpec } from './spec.js';
import type { Job, Occurrence, StepRun, Task } from './state.js';
import type { TaskTable } from './task-table.js';

/** A step of one occurrence with tasks that may start. */
export interface StartableStep {
  readonly job: Job;
  readonly occurrence: Occurrence;
  readonly stepIndex: number;
  readonly step: StepSpec;
  readonly stepRun: StepRun;
}

/** Lists the steps of a job whose dependencies are done and that have waiting tasks. */
export function listStartableSteps(job: Job): readonly StartableStep[] {
  const { spec } = job.record;
  return [...job.occurrences.values()].flatMap((occurrence) =>
    listReadySteps(spec, occurrence).flatMap((stepIndex) => {
      const stepRun = occurrence.steps[stepIndex];
      const step = spec.steps[stepIndex];
      if (step === undefined || stepRun === undefined || stepRun.waiting.size === 0) return [];
      return [{ job, occurrence, stepIndex, step, stepRun }];
    }),
  );
}

/** Makes the key of a startable step. */
export function makeStartableKey({ job, occurrence, stepIndex }: StartableStep): string {
  return makeStepKey(job.record.spec.id, occurrence.number, stepIndex);
}

/** Lists the waiting tasks of a step, those in a retry delay included. */
function listWaiting(table: TaskTable, startable: StartableStep): readonly Task[] {
  const { job, occurrence, stepIndex, stepRun } = startable;
  const { id } = job.record.spec;
  return [...stepRun.waiting]
    .map((index) => table.findTask(makeTaskKey(id, occurrence.number, stepIndex, index)))
    .filter((task) => task !== undefined);
}

/**
 * Lists the waiting tasks of a step that may start at the monotonic time `nowMs`, without those in
 * a retry delay.
 */
export function listWaitingTasks(
  table: TaskTable,
  startable: StartableStep,
  nowMs: number,
): readonly Task[] {
  return listWaiting(table, startable).filter(
    (task) => task.state.kind === 'waiting' && task.state.notBeforeMs <= nowMs,
  );
}

/**
 * Finds the monotonic time at which the next retry delay of a step's tasks ends; infinite if none
 * of them is in one at `nowMs`.
 */
export function findNextRetry(table: TaskTable, startable: StartableStep, nowMs: number): number {
  const ends = listWaiting(table, startable).map(({ state }) =>
    state.kind === 'waiting' && state.notBeforeMs > nowMs ? state.notBeforeMs : Infinity,
  );
  return Math.min(Infinity, ...ends);
}
