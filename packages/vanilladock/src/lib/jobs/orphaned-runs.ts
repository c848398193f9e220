/**
 * Keeps the runs that go on although no task waits for them, by worker and by task: a worker has them
 * beside its tasks, and their tasks must not start again meanwhile.
 */
import { parseTaskKey } from './spec.js';
import type { OrphanedRun, Worker } from './state.js';
import type { ChangeRecord } from './table-changes.js';

/** Orphaned runs on the workers of a pool; the used capacity of a worker is refreshed by the caller. */
export interface OrphanedRuns {
  /** Says whether an orphaned run of a task goes on, on whichever worker. */
  readonly hasRun: (taskKey: string) => boolean;
  /** Adds a run, or replaces that of the same task on the worker; ignored for an unknown worker. */
  readonly set: (taskKey: string, orphanedRun: OrphanedRun) => void;
  /** Drops the run of a task on a worker, as it has ended; does nothing if there is none. */
  readonly drop: (taskKey: string, workerId: string) => void;
  /** Drops all runs on a worker, as they have ended. */
  readonly dropAll: (workerId: string) => void;
}

/** Creates the orphaned runs of a pool without any. */
export function createOrphanedRuns(
  workers: ReadonlyMap<string, Worker>,
  changes: Pick<ChangeRecord, 'addJob'>,
): OrphanedRuns {
  /** Number of workers with an orphaned run of a task, by its key. */
  const counts = new Map<string, number>();

  const drop = (taskKey: string, workerId: string) => {
    if (workers.get(workerId)?.orphanedRuns.delete(taskKey) !== true) return;
    const left = (counts.get(taskKey) ?? 1) - 1;
    if (left > 0) {
      counts.set(taskKey, left);
      return;
    }
    counts.delete(taskKey);
    // The task may start again, on any worker.
    changes.addJob(parseTaskKey(taskKey).jobId);
  };
  return {
    hasRun: (taskKey) => counts.has(taskKey),
    set: (taskKey, orphanedRun) => {
      const worker = workers.get(orphanedRun.assignment.workerId);
      if (worker === undefined) return;
      if (!worker.orphanedRuns.has(taskKey)) counts.set(taskKey, (counts.get(taskKey) ?? 0) + 1);
      worker.orphanedRuns.set(taskKey, orphanedRun);
    },
    drop,
    dropAll: (workerId) => {
      const keys = [...(workers.get(workerId)?.orphanedRuns.keys() ?? [])];
      keys.forEach((taskKey) => drop(taskKey, workerId));
    },
  };
}
