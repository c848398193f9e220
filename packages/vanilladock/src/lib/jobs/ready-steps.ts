/** Progress of an occurrence: which steps are done, which may run, and the work that is left. */
import { computeStepWork } from './estimate.js';
import type { JobSpec } from './spec.js';
import type { Occurrence } from './state.js';

/** Counts the tasks of a step that are done. */
export function countDone(occurrence: Occurrence, stepIndex: number): number {
  return occurrence.steps[stepIndex]?.done.size ?? 0;
}

/** Says whether every task of a step is done. */
export function isStepDone(spec: JobSpec, occurrence: Occurrence, stepIndex: number): boolean {
  return countDone(occurrence, stepIndex) === spec.steps[stepIndex]?.count;
}

/** Lists the indices of the steps that may run. */
export function listReadySteps(spec: JobSpec, occurrence: Occurrence): readonly number[] {
  const isDone = (index: number) => isStepDone(spec, occurrence, index);
  return spec.steps.flatMap((step, index) =>
    !isDone(index) && step.dependsOn.every(isDone) ? [index] : [],
  );
}

/** Computes the work of an occurrence's tasks that are not done, in core-seconds. */
export function computeWorkLeft(spec: JobSpec, occurrence: Occurrence): number {
  return spec.steps.reduce(
    (sum, step, index) => sum + computeStepWork(step, step.count - countDone(occurrence, index)),
    0,
  );
}
