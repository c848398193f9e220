/**
 * Workers that accept tasks during one pass over the queue, with an upper bound on the free capacity
 * of any of them. Load pattern: the pool is full, many steps wait, and none of them fits anywhere.
 * Most are then dismissed by the bound, without a look at each worker.
 */
import { isWithin } from '../placement/resources.js';
import type { Resources } from '../ports/workers.js';
import { isAcceptingTasks } from './choose-worker.js';
import { computeFreeCapacity, computeMaximum, NO_RESOURCES } from './free-capacity.js';
import type { Worker } from './state.js';
import type { TaskTable } from './task-table.js';

/** Candidates of one pass. */
export interface Candidates {
  /** The workers in their present versions. */
  readonly list: () => readonly Worker[];
  /** For each resource separately, at least the free capacity of every worker. */
  readonly getBound: () => Resources;
  /** Says whether some worker may have the free capacity; false is certain. */
  readonly mayFit: (footprint: Resources) => boolean;
  /** Takes over the present version of a worker; no effect if it is no candidate. */
  readonly refreshWorker: (workerId: string) => void;
  /** Recomputes the bound if workers were refreshed; else it stays as it was while they fill up. */
  readonly refreshBound: () => void;
}

/** Creates the candidates among the given workers at the monotonic time `nowMs`. */
export function createCandidates(
  table: TaskTable,
  workerIds: Iterable<string>,
  nowMs: number,
): Candidates {
  const workers: Worker[] = [];
  const positions = new Map<string, number>();
  let bound = NO_RESOURCES;
  let isBoundExact = false;

  [...workerIds].forEach((id) => {
    const worker = table.workers.get(id);
    if (worker === undefined || !isAcceptingTasks(worker, nowMs)) return;
    positions.set(id, workers.length);
    workers.push(worker);
  });
  const refreshBound = () => {
    if (isBoundExact) return;
    isBoundExact = true;
    bound = workers.map(computeFreeCapacity).reduce(computeMaximum, NO_RESOURCES);
  };
  refreshBound();
  return {
    list: () => workers,
    getBound: () => bound,
    mayFit: (footprint) => workers.length > 0 && isWithin(footprint, bound),
    refreshWorker: (workerId) => {
      const position = positions.get(workerId);
      const worker = table.workers.get(workerId);
      if (position === undefined || worker === undefined) return;
      workers[position] = worker;
      isBoundExact = false;
    },
    refreshBound,
  };
}
