/** Steps whose tasks may start, and those of their tasks that wait for a worker. */
import { listReadySteps } from './ready-steps.js';
import { makeTaskKey, type StepSpec } from './spec.js';
import type { Job, Occurrence, StepRun, Task } from './state.js';
import type { TaskTable } from './task-table.js';

/** Where one step of one occurrence stands in the plan. */
export interface StepPlace {
  readonly job: Job;
  readonly occurrence: Occurrence;
  readonly stepIndex: number;
  readonly step: StepSpec;
  readonly stepRun: StepRun;
}

/** Lists the steps of a job with tasks that may start. */
export function listPlaces(job: Job): readonly StepPlace[] {
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

/** Lists the tasks of a step that wait and may start now. */
export function listWaiting(
  table: TaskTable,
  { job, occurrence, stepIndex, stepRun }: StepPlace,
  nowMs: number,
): readonly Task[] {
  const { id } = job.record.spec;
  return [...stepRun.waiting]
    .map((index) => table.findTask(makeTaskKey(id, occurrence.number, stepIndex, index)))
    .filter((task) => task !== undefined)
    .filter((task) => task.state.kind === 'waiting' && task.state.notBeforeMs <= nowMs);
}
