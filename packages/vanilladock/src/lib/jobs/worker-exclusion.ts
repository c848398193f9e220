/** Explains why a worker gets no new tasks, whatever its free capacity. */
import { hasLongLease } from './lease-holder.js';
import type { Worker } from './state.js';
import type { TaskTable } from './task-table.js';
import { isEjected, isTrialRunning } from './worker-failures.js';

/**
 * Why a worker gets no new tasks. `unlisted`: the list of registered workers omits it.
 * `unrecorded`: it is not stored as a possible lease holder. `draining`: it is shutting down.
 * `no-report`: it has not reported yet. `unresponsive`: its newest report is missing. `long-lease`:
 * it may hold a longer lease than a successor would wait for. `evacuating`: its tasks have to leave.
 * `unhealthy`: it rejected starts. `failing`: it is ejected because tasks fail there. `on-trial`: its
 * ejection has ended and it runs a task on trial.
 */
export type Exclusion =
  | 'unlisted'
  | 'unrecorded'
  | 'draining'
  | 'no-report'
  | 'unresponsive'
  | 'long-lease'
  | 'evacuating'
  | 'unhealthy'
  | 'failing'
  | 'on-trial';

/** Number of workers by the reason of their exclusion, and of those that accept tasks. */
export type ExclusionCounts = Readonly<Partial<Record<Exclusion | 'accepting', number>>>;

/**
 * Explains why a worker gets no new tasks at the monotonic time `nowMs`; undefined if it accepts
 * them. Of several reasons, the first in the order of `Exclusion` is returned.
 */
export function explainExclusion(worker: Worker, nowMs: number): Exclusion | undefined {
  if (!worker.isListed) return 'unlisted';
  if (!worker.isRecorded) return 'unrecorded';
  if (worker.entry.phase !== 'ready') return 'draining';
  if (worker.clock === undefined) return 'no-report';
  if (worker.missedReports > 0) return 'unresponsive';
  if (hasLongLease(worker, nowMs)) return 'long-lease';
  if (worker.evacuateUntilMs > nowMs) return 'evacuating';
  if (worker.noStartBeforeMs > nowMs) return 'unhealthy';
  if (isEjected(worker, nowMs)) return 'failing';
  if (isTrialRunning(worker, nowMs)) return 'on-trial';
  return undefined;
}

/** Counts the workers of a pool by the reason of their exclusion; omits counts of 0. */
export function countExclusions(table: TaskTable, nowMs: number): ExclusionCounts {
  const counts: Partial<Record<Exclusion | 'accepting', number>> = {};
  table.workers.forEach((worker) => {
    const reason = explainExclusion(worker, nowMs) ?? 'accepting';
    counts[reason] = (counts[reason] ?? 0) + 1;
  });
  return counts;
}

/** Counts the runs on workers of a pool whose newest report is missing. */
export function countUnansweredRuns({ workers }: TaskTable): number {
  return [...workers.values()]
    .filter(({ missedReports }) => missedReports > 0)
    .reduce((sum, { tasks }) => sum + tasks.size, 0);
}
