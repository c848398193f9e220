/** What runs on a worker: its tasks, and runs that no task waits for. */
import type { Worker } from './state.js';

/** Says whether a worker may run anything, for a task or not. */
export function hasRuns({ tasks, orphanedRuns }: Pick<Worker, 'tasks' | 'orphanedRuns'>): boolean {
  return tasks.size > 0 || orphanedRuns.size > 0;
}
