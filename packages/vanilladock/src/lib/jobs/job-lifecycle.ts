/** Opens occurrences of repeating jobs when they are due, and drops jobs that have ended. */
import type { TaskTable } from './task-table.js';

/** Opens the occurrences that are due at the wall time `wallMs`. */
export function openDueOccurrences(table: TaskTable, wallMs: number): void {
  table.activeJobs.forEach((job) => {
    const { id, repeatCount, startAtMs, intervalMs } = job.record.spec;
    if (repeatCount === 0) return;
    const dueCount = Math.floor((wallMs - startAtMs) / Math.max(1, intervalMs)) + 1;
    for (let number = 0; number < Math.min(dueCount, repeatCount); number += 1) {
      if (!job.finishedOccurrences.has(number)) table.openOccurrence(id, number);
    }
  });
}

/**
 * Drops the jobs whose end is stored and more than `statusMs` ago at the monotonic time `nowMs`;
 * returns their ids.
 */
export function dropFinishedJobs(
  table: TaskTable,
  statusMs: number,
  nowMs: number,
): readonly string[] {
  const expired = [...table.jobs]
    .filter(([, { finishedMs }]) => finishedMs !== undefined && nowMs - finishedMs > statusMs)
    .filter(([, { storedPhase, phase }]) => storedPhase === phase)
    .map(([id]) => id);
  expired.forEach(table.dropJob);
  return expired;
}
