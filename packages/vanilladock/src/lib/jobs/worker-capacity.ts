/**
 * Keeps the capacity of workers, which may shrink and grow while they run. Load pattern: a worker
 * shrinks below what runs there. Its runs go on, as stopping them would waste their work, and it
 * gets no new ones until enough of them have ended.
 */
import type { WorkerEntry } from '../ports/task-workers.js';
import type { Resources } from '../ports/workers.js';
import { computeMaximum, isSameCapacity } from './free-capacity.js';
import type { PoolContext } from './pool-context.js';
import type { Worker } from './state.js';

/** Where a capacity was stated. */
type CapacitySource = 'entry' | 'report';

/** Logs a change of a worker's capacity with the age of what was known before. */
function logCapacity(
  { report }: PoolContext,
  worker: Worker,
  capacity: Resources,
  source: CapacitySource,
  nowMs: number,
): void {
  report({
    event: 'worker-capacity',
    worker: worker.entry.id,
    bornMs: worker.entry.bornMs,
    source,
    before: worker.entry.capacity,
    after: capacity,
    used: worker.used,
    beforeAgeMs: Math.round(nowMs - worker.capacityKnownMs),
  });
}

/** Applies a capacity that a worker has stated; nothing if the worker is unknown. */
function updateCapacity(
  context: PoolContext,
  workerId: string,
  capacity: Resources,
  source: CapacitySource,
  nowMs: number,
): void {
  const worker = context.table.workers.get(workerId);
  if (worker === undefined) return;
  const { entry, largestCapacity } = worker;
  const isChanged = !isSameCapacity(entry.capacity, capacity);
  if (isChanged) logCapacity(context, worker, capacity, source, nowMs);
  context.table.updateWorker(workerId, {
    capacityKnownMs: nowMs,
    isCapacityReported: worker.isCapacityReported || source === 'report',
    ...(isChanged
      ? {
          entry: { ...entry, capacity },
          largestCapacity: computeMaximum(largestCapacity, capacity),
        }
      : {}),
  });
}

/**
 * Applies the capacity in a worker's entry at the monotonic time `nowMs`. Entries of one that states
 * its capacity in its reports are older than these, and ignored.
 */
export function observeEntryCapacity(
  context: PoolContext,
  { id, capacity }: WorkerEntry,
  nowMs: number,
): void {
  if (context.table.workers.get(id)?.isCapacityReported !== false) return;
  updateCapacity(context, id, capacity, 'entry', nowMs);
}

/** Applies the capacity in a worker's report at the monotonic time `nowMs`, if it has one. */
export function observeReportedCapacity(
  context: PoolContext,
  workerId: string,
  capacity: Resources | undefined,
  nowMs: number,
): void {
  if (capacity !== undefined) updateCapacity(context, workerId, capacity, 'report', nowMs);
}
