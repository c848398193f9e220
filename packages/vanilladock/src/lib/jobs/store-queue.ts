/** Queue of jobs whose record or current progress is not stored yet. */
import type { KeyedRecord } from '../ports/keyed-store.js';
import { encodeProgress } from './progress.js';
import type { JobPhase, Task } from './state.js';
import { listUnstoredEnds, recordStoredEnds } from './stored-ends.js';
import type { TaskTable } from './task-table.js';

/** Records to store in one batch, with a callback for when they are stored. */
export interface StoreBatch {
  readonly records: readonly KeyedRecord[];
  /** Jobs in this batch whose submission has not been stored before. */
  readonly newJobs: readonly string[];
  /** All jobs in this batch, new ones included. */
  readonly jobIds: readonly string[];
  /**
   * Marks the phases in this batch, and all ends applied before it, as stored; to be called once
   * the batch is stored.
   */
  readonly handleStored: () => void;
}

/** Queue of one pool's unstored changes. */
export interface StoreQueue {
  /** Adds a newly submitted job that is not stored yet. */
  readonly addNew: (jobId: string) => void;
  /**
   * Removes and returns everything that has to be stored now; undefined if there is nothing. The
   * caller reports the outcome by `handleStored` or `dropUnstored` before it takes the next batch.
   */
  readonly takeBatch: () => StoreBatch | undefined;
  /** Drops submissions that the store refused and requeues the other jobs of the batch. */
  readonly dropUnstored: (batch: StoreBatch) => void;
}

/** Makes the key of a job's record. Ids contain no colon, so the key is unambiguous. */
export function makeJobKey(pool: string, jobId: string): string {
  return `${pool}:${jobId}`;
}

/** Makes the key of a job's progress record. */
export function makeProgressKey(pool: string, jobId: string): string {
  return `${pool}:${jobId}:p`;
}

/** Says whether a task has a result that must be stored. */
function hasResult(task: Task): boolean {
  return task.failedRuns.length > 0 || task.crashes.length > 0 || task.state.kind === 'done';
}

/** Creates the queue of a pool; `dirtyJobs` holds the ids of jobs with unstored changes. */
export function createStoreQueue(
  pool: string,
  table: TaskTable,
  dirtyJobs: Set<string>,
): StoreQueue {
  const newJobs = new Set<string>();
  return {
    addNew: (jobId) => {
      newJobs.add(jobId);
      dirtyJobs.add(jobId);
    },
    takeBatch: () => {
      if (dirtyJobs.size === 0) return undefined;
      const phases = new Map<string, JobPhase>();
      const crashVersions = new Map<string, number>();
      const batchJobs = [...newJobs];
      const records = [...dirtyJobs].flatMap((id): readonly KeyedRecord[] => {
        const job = table.jobs.get(id);
        if (job === undefined) return [];
        phases.set(id, job.phase);
        crashVersions.set(id, job.crashVersion);
        const tasks = table.listJobTasks(id);
        const isNew = newJobs.has(id);
        const hasNoProgress = isNew && job.phase === 'active' && !tasks.some(hasResult);
        return [
          ...(isNew ? [{ key: makeJobKey(pool, id), value: JSON.stringify(job.record) }] : []),
          ...(hasNoProgress
            ? []
            : [{ key: makeProgressKey(pool, id), value: encodeProgress(job, tasks) }]),
        ];
      });
      // Everything that these ends changed is in this batch or in an earlier one.
      const coveredEnds = listUnstoredEnds(table);
      dirtyJobs.clear();
      newJobs.clear();
      return {
        records,
        newJobs: batchJobs,
        jobIds: [...phases.keys()],
        handleStored: () => {
          phases.forEach((storedPhase, id) => {
            const storedCrashVersion = crashVersions.get(id) ?? 0;
            if (table.jobs.has(id)) table.updateJob(id, { storedPhase, storedCrashVersion });
          });
          coveredEnds.forEach((ends) => recordStoredEnds(table, ends));
        },
      };
    },
    dropUnstored: (batch) => {
      batch.newJobs.forEach((id) => {
        table.dropTasks(table.listJobTasks(id));
        table.dropJob(id);
      });
      batch.jobIds.filter((id) => table.jobs.has(id)).forEach((id) => dirtyJobs.add(id));
    },
  };
}
