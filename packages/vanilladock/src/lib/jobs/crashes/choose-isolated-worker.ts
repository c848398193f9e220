/**
 * Chooses a worker that is to run the suspects of one job alone. Load pattern: the pool is full, so
 * that no worker is empty, and some of its machines have just crashed.
 */
import { isAcceptingTasks, isAllowed } from '../choose-worker.js';
import { computeUsedCoreShare } from '../free-capacity.js';
import { getMachine } from './machine-crashes.js';
import type { PlacementRequest } from '../placement-request.js';
import type { Worker } from '../state.js';
import type { WorkerEntry } from '../../ports/task-workers.js';

/** What is known of machines. */
export interface MachineRecord {
  /** Machines on which the suspect was when they crashed. */
  readonly crashedMachines: ReadonlySet<string>;
  /** Says whether a machine has crashed lately without the suspect's job. */
  readonly hasCrashedWithout: (entry: WorkerEntry) => boolean;
}

/** Cost of a worker with lasting tasks, which another crash would end. */
const LASTING_PENALTY = 10;

/** Cost of a machine on which the suspect was lost before, as either may be the cause. */
const SAME_MACHINE_PENALTY = 12;

/** Cost of a machine that crashes by itself, so that a crash there would say little. */
const CRASHED_MACHINE_PENALTY = 5;

/** Computes the cost of a worker; 1 corresponds to the load of a full worker. */
function computeCost(worker: Worker, record: MachineRecord): number {
  return (
    (worker.lastingTasks > 0 ? LASTING_PENALTY : 0) +
    (record.crashedMachines.has(getMachine(worker.entry)) ? SAME_MACHINE_PENALTY : 0) +
    (record.hasCrashedWithout(worker.entry) ? CRASHED_MACHINE_PENALTY : 0) +
    computeUsedCoreShare(worker)
  );
}

/** Chooses the open worker with the lowest cost; undefined if none accepts the task. */
export function chooseIsolatedWorker(
  workers: Iterable<Worker>,
  request: PlacementRequest,
  record: MachineRecord,
): Worker | undefined {
  const costs = [...workers]
    .filter(
      (worker) =>
        worker.isolation === undefined &&
        isAcceptingTasks(worker, request.nowMs) &&
        isAllowed(worker, request),
    )
    .map((worker) => ({ worker, cost: computeCost(worker, record) }));
  return costs.sort((a, b) => a.cost - b.cost)[0]?.worker;
}
