/** Which ends of a worker's runs are stored, so that the worker may forget them. */
import type { TaskTable } from './task-table.js';

/** The ends of one worker incarnation up to a number. */
export interface WorkerEnds {
  readonly workerId: string;
  readonly bornMs: number;
  /** Number of the last end. */
  readonly lastEnd: number;
}

/** Lists the ends that are applied to the tables but not known as stored. */
export function listUnstoredEnds(table: TaskTable): readonly WorkerEnds[] {
  return [...table.workers.values()]
    .filter((worker) => worker.lastEnd > worker.storedEnd)
    .map(({ entry: { id, bornMs }, lastEnd }) => ({ workerId: id, bornMs, lastEnd }));
}

/** Records that ends are stored; ignored if the worker has another incarnation by now. */
export function recordStoredEnds(table: TaskTable, { workerId, bornMs, lastEnd }: WorkerEnds) {
  const worker = table.workers.get(workerId);
  if (worker === undefined || worker.entry.bornMs !== bornMs) return;
  table.updateWorker(workerId, { storedEnd: Math.max(worker.storedEnd, lastEnd) });
}
