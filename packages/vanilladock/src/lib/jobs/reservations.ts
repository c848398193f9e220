/**
 * Reserves workers for lasting tasks that fit nowhere yet. Load pattern: small batch tasks keep
 * every worker full, so that no worker ever has enough free capacity for a larger lasting task. A
 * reserved worker gets no new tasks, and the lasting task starts there once the batch tasks have
 * ended. A task that could not start even then reserves nothing.
 */
import { addResources, isWithin } from '../placement/resources.js';
import type { Resources } from '../ports/workers.js';
import { isAcceptingTasks, isEligible, type PlacementRequest } from './choose-worker.js';
import { computeFootprint, computeFreeCapacity, NO_RESOURCES } from './free-capacity.js';
import type { Worker } from './state.js';
import type { TaskTable } from './task-table.js';

/** Largest share of the accepting workers that is reserved at once; never the only one. */
const MAX_RESERVED_SHARE = 0.5;

/** Reservations of one pass over the queue. */
export interface Reservations {
  readonly isReserved: (workerId: string) => boolean;
  /** Counts the reserved workers. */
  readonly count: () => number;
  /** Reserves a worker for a lasting task, unless no worker could run it or too many are reserved. */
  readonly add: (candidates: readonly Worker[], request: PlacementRequest) => void;
}

/** Sums the capacity that the lasting tasks on a worker reserve. */
function sumLastingUse(table: TaskTable, worker: Worker): Resources {
  return [...worker.tasks]
    .flatMap((key) => table.findTask(key) ?? [])
    .map((task) => table.findStep(task))
    .filter((step) => step.isLasting)
    .reduce((sum, step) => addResources(sum, computeFootprint(step)), NO_RESOURCES);
}

/** Creates the reservations of a pass at the monotonic time `nowMs`; none exist at first. */
export function createReservations(table: TaskTable, nowMs: number): Reservations {
  const reservedIds = new Set<string>();

  const isFull = () => {
    const workers = [...table.workers.values()];
    const acceptingCount = workers.filter((worker) => isAcceptingTasks(worker, nowMs)).length;
    const limit = Math.floor(acceptingCount * MAX_RESERVED_SHARE);
    return reservedIds.size >= limit;
  };
  /** Says whether the worker could run the task if it had only its lasting tasks. */
  const isUsable = (worker: Worker, request: PlacementRequest) =>
    isAcceptingTasks(worker, nowMs) &&
    isEligible(worker, request) &&
    isWithin(addResources(sumLastingUse(table, worker), request.footprint), worker.entry.capacity);
  return {
    isReserved: (workerId) => reservedIds.has(workerId),
    count: () => reservedIds.size,
    add: (candidates, request) => {
      if (isFull()) return;
      const [leastUsed] = candidates
        .filter((worker) => isUsable(worker, request))
        .sort((a, b) => computeFreeCapacity(b).cores - computeFreeCapacity(a).cores);
      if (leastUsed !== undefined) reservedIds.add(leastUsed.entry.id);
    },
  };
}
