/** Progress of an occurrence: which steps are done, which may run, and the remaining work. */
import { computeStepWork } from './estimate.js';
import type { JobSpec } from './spec.js';
import type { Occurrence } from './state.js';

/** Counts the completed tasks of a step; 0 if the step does not exist. */
export function countDone(occurrence: Occurrence, stepIndex: number): number {
  return occurrence.steps[stepIndex]?.done.size ?? 0;
}

/** Says whether every task of a step is done. */
export function isStepDone(spec: JobSpec, occurrence: Occurrence, stepIndex: number): boolean {
  return countDone(occurrence, stepIndex) === spec.steps[stepIndex]?.count;
}

/** Lists the indices of unfinished steps, running or not, whose dependencies are all done. */
export function listReadySteps(spec: JobSpec, occurrence: Occurrence): readonly number[] {
  const isDone = (index: number) => isStepDone(spec, occurrence, index);
  return spec.steps.flatMap((step, index) =>
    !isDone(index) && step.dependsOn.every(isDone) ? [index] : [],
  );
}

/** Computes the estimated work of an occurrence's unfinished tasks, in core-seconds. */
export function computeRemainingWork(spec: JobSpec, occurrence: Occurrence): number {
  return spec.steps.reduce(
    (sum, step, index) => sum + computeStepWork(step, step.count - countDone(occurrence, index)),
    0,
  );
}
