/** Capacity of workers: what their tasks reserve and whether another task fits. */
import { addResources, subtractResources } from '../placement/resources.js';
import type { Resources } from '../ports/workers.js';
import type { StepSpec } from './spec.js';
import type { Worker } from './state.js';

/** Zero of every resource. */
export const NO_RESOURCES: Resources = { cores: 0, memoryMb: 0, accelerators: 0 };

/**
 * Computes the capacity that a task of a step reserves on a worker; filling tasks reserve no cores.
 */
export function computeFootprint(step: StepSpec): Resources {
  return step.isFilling ? { ...step.size, cores: 0 } : step.size;
}

/**
 * Computes what a worker's tasks reserve and its orphaned runs use. Load pattern: each start and end
 * asks for it, so that nothing is made for each task.
 */
export function computeUse(
  { tasks, orphanedRuns }: Pick<Worker, 'tasks' | 'orphanedRuns'>,
  findTaskStep: (taskKey: string) => StepSpec | undefined,
): Pick<Worker, 'used' | 'lastingTasks'> {
  let used = NO_RESOURCES;
  let lastingTasks = 0;
  tasks.forEach((key) => {
    const step = findTaskStep(key);
    if (step === undefined) return;
    used = addResources(used, computeFootprint(step));
    if (step.isLasting) lastingTasks += 1;
  });
  orphanedRuns.forEach(({ size }) => {
    used = addResources(used, size);
  });
  return { used, lastingTasks };
}

/** Computes the free capacity of a worker; negative for a resource that is overcommitted. */
export function computeFreeCapacity(worker: Worker): Resources {
  return subtractResources(worker.entry.capacity, worker.used);
}

/** Says whether a worker has enough free capacity for a footprint. */
export function hasFreeCapacity({ used, entry }: Worker, footprint: Resources): boolean {
  const { capacity } = entry;
  return (
    used.cores + footprint.cores <= capacity.cores &&
    used.memoryMb + footprint.memoryMb <= capacity.memoryMb &&
    used.accelerators + footprint.accelerators <= capacity.accelerators
  );
}

/** Says whether two amounts are the same. */
export function isSameCapacity(a: Resources, b: Resources): boolean {
  return a.cores === b.cores && a.memoryMb === b.memoryMb && a.accelerators === b.accelerators;
}

/** Computes the smaller amount of each resource. */
export function computeMinimum(a: Resources, b: Resources): Resources {
  return {
    cores: Math.min(a.cores, b.cores),
    memoryMb: Math.min(a.memoryMb, b.memoryMb),
    accelerators: Math.min(a.accelerators, b.accelerators),
  };
}

/** Computes the larger amount of each resource. */
export function computeMaximum(a: Resources, b: Resources): Resources {
  return {
    cores: Math.max(a.cores, b.cores),
    memoryMb: Math.max(a.memoryMb, b.memoryMb),
    accelerators: Math.max(a.accelerators, b.accelerators),
  };
}

/** Computes the share, from 0, of a worker's cores that is reserved; 1 for one without cores. */
export function computeUsedCoreShare(worker: Worker): number {
  const { cores } = worker.entry.capacity;
  return cores > 0 ? worker.used.cores / cores : 1;
}
