/** Which steps of an occurrence may run: those whose predecessors are all done. */
import type { JobSpec } from './spec.js';
import type { Occurrence } from './state.js';

/** Counts the tasks of a step that are done. */
export function countDone(occurrence: Occurrence, stepIndex: number): number {
  return occurrence.steps[stepIndex]?.done.size ?? 0;
}

/** Lists the indices of the steps that may run. */
export function listReadySteps(spec: JobSpec, occurrence: Occurrence): readonly number[] {
  const isDone = (index: number) => countDone(occurrence, index) === spec.steps[index]?.count;
  return spec.steps.flatMap((step, index) =>
    !isDone(index) && step.dependsOn.every(isDone) ? [index] : [],
  );
}
