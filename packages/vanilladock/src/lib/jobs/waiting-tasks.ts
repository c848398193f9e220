/** Lists the steps whose tasks may start and the tasks that wait for a worker. */
import { listReadySteps } from './ready-steps.js';
import { makeTaskKey, type StepSpec } from './spec.js';
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

/**
 * Lists the waiting tasks of a step that may start at the monotonic time `nowMs`, without those in
 * a retry delay.
 */
export function listWaitingTasks(
  table: TaskTable,
  { job, occurrence, stepIndex, stepRun }: StartableStep,
  nowMs: number,
): readonly Task[] {
  const { id } = job.record.spec;
  return [...stepRun.waiting]
    .map((index) => table.findTask(makeTaskKey(id, occurrence.number, stepIndex, index)))
    .filter((task) => task !== undefined)
    .filter((task) => task.state.kind === 'waiting' && task.state.notBeforeMs <= nowMs);
}
