/** Room on workers: what their tasks take and whether one more fits. */
import { addResources, isWithin, removeResources } from '../placement/resources.js';
import type { Resources } from '../ports/workers.js';
import type { StepSpec } from './spec.js';
import type { Worker } from './state.js';

/** Nothing of any resource. */
export const NO_RESOURCES: Resources = { cores: 0, memoryMb: 0, accelerators: 0 };

/** Computes what a task of a step takes of a worker's capacity; filling tasks take no cores. */
export function computeFootprint(step: StepSpec): Resources {
  return step.isFilling ? { ...step.size, cores: 0 } : step.size;
}

/** Computes the room that is left on a worker. */
export function computeRoom(worker: Worker): Resources {
  return removeResources(worker.entry.capacity, worker.used);
}

/** Says whether a task of the step fits beside what the worker has. */
export function hasRoom(worker: Worker, footprint: Resources): boolean {
  return isWithin(addResources(worker.used, footprint), worker.entry.capacity);
}

/** Computes the share of a worker's cores that is taken. */
export function computeCoreShare(worker: Worker): number {
  const { cores } = worker.entry.capacity;
  return cores > 0 ? worker.used.cores / cores : 1;
}
