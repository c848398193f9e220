/**
 * Reserves workers for lasting tasks that fit nowhere yet. Load pattern: small batch tasks keep
 * every worker full, so that no worker ever has enough free capacity for a larger lasting task. A
 * reserved worker gets no new tasks, and the lasting task starts there once the batch tasks have
 * ended. A task that could not start even then reserves nothing.
 */
import { addResources, isWithin } from '../placement/resources.js';
import type { Resources } from '../ports/workers.js';
import { isAcceptingTasks, isEligible } from './choose-worker.js';
import type { PlacementRequest } from './placement-request.js';
import { computeFootprint, computeFreeCapacity, NO_RESOURCES } from './free-capacity.js';
import type { Worker } from './state.js';
import type { TaskTable } from './task-table.js';

/** Largest share of the accepting workers that is reserved at once; never the only one. */
const MAX_RESERVED_SHARE = 0.5;

/** Reservations of a pool, by the step that a worker is reserved for. */
export interface Reservations {
  /** Says whether a step may use a worker: the worker is not reserved for another step. */
  readonly isOpenTo: (workerId: string, stepKey: string) => boolean;
  /** Counts the reserved workers. */
  readonly count: () => number;
  /**
   * Reserves one of the candidates for a task of a step, unless it has one, none of them could run
   * the task, or too many are reserved.
   */
  readonly add: (stepKey: string, candidates: readonly Worker[], request: PlacementRequest) => void;
  /** Drops the reservation of a step; no effect if it has none. */
  readonly remove: (stepKey: string) => void;
  readonly clear: () => void;
}

/** Sums the capacity that the lasting tasks on a worker reserve. */
export function sumLastingUse(table: TaskTable, worker: Worker): Resources {
  return [...worker.tasks]
    .flatMap((key) => table.findTask(key) ?? [])
    .map((task) => table.findStep(task))
    .filter((step) => step.isLasting)
    .reduce((sum, step) => addResources(sum, computeFootprint(step)), NO_RESOURCES);
}

/** Creates the reservations of a pool; there are none at first. */
export function createReservations(table: TaskTable): Reservations {
  const stepsByWorker = new Map<string, string>();
  const workersByStep = new Map<string, string>();

  const isFull = (nowMs: number) => {
    const workers = [...table.workers.values()];
    const acceptingCount = workers.filter((worker) => isAcceptingTasks(worker, nowMs)).length;
    const limit = Math.floor(acceptingCount * MAX_RESERVED_SHARE);
    return stepsByWorker.size >= limit;
  };
  /** Says whether the worker could run the task if it had only its lasting tasks. */
  const isUsable = (worker: Worker, request: PlacementRequest) =>
    isAcceptingTasks(worker, request.nowMs) &&
    isEligible(worker, request) &&
    isWithin(addResources(sumLastingUse(table, worker), request.footprint), worker.entry.capacity);
  return {
    isOpenTo: (workerId, stepKey) => (stepsByWorker.get(workerId) ?? stepKey) === stepKey,
    count: () => stepsByWorker.size,
    add: (stepKey, candidates, request) => {
      if (workersByStep.has(stepKey) || isFull(request.nowMs)) return;
      const [leastUsed] = candidates
        .filter((worker) => isUsable(worker, request))
        .sort((a, b) => computeFreeCapacity(b).cores - computeFreeCapacity(a).cores);
      if (leastUsed === undefined) return;
      stepsByWorker.set(leastUsed.entry.id, stepKey);
      workersByStep.set(stepKey, leastUsed.entry.id);
    },
    remove: (stepKey) => {
      stepsByWorker.delete(workersByStep.get(stepKey) ?? '');
      workersByStep.delete(stepKey);
    },
    clear: () => {
      stepsByWorker.clear();
      workersByStep.clear();
    },
  };
}
