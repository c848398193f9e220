/** Queue of jobs whose record or progress the store does not have yet. */
import type { KeyedRecord } from '../ports/keyed-store.js';
import { encodeProgress } from './progress.js';
import type { JobPhase, Task } from './state.js';
import type { TaskTable } from './task-table.js';

/** Records to store, with what to do when they are. */
export interface StoreBatch {
  readonly records: readonly KeyedRecord[];
  /** Jobs that the store has not seen yet. */
  readonly newJobs: readonly string[];
  readonly jobIds: readonly string[];
  readonly handleStored: () => void;
}

/** The queue. */
export interface StoreQueue {
  /** Adds a job that the store has not seen. */
  readonly addNew: (jobId: string) => void;
  /** Takes everything that is to be stored now; undefined when nothing is. */
  readonly takeBatch: () => StoreBatch | undefined;
  /** Forgets submissions that the store has refused, and keeps the rest of the batch to store. */
  readonly dropUnstored: (batch: StoreBatch) => void;
}

/** Key of a job's record; a colon cannot occur in an id. */
export function makeJobKey(pool: string, jobId: string): string {
  return `${pool}:${jobId}`;
}

/** Key of a job's progress. */
export function makeProgressKey(pool: string, jobId: string): string {
  return `${pool}:${jobId}:p`;
}

/** Says whether a task has anything that must be stored. */
function hasResult(task: Task): boolean {
  return task.failedRuns.length > 0 || task.state.kind === 'done';
}

/** Creates the queue of a pool; `dirtyJobs` names the jobs that have changed. */
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
      const batchJobs = [...newJobs];
      const records = [...dirtyJobs].flatMap((id): readonly KeyedRecord[] => {
        const job = table.jobs.get(id);
        if (job === undefined) return [];
        phases.set(id, job.phase);
        const tasks = table.listJobTasks(id);
        const isNew = newJobs.has(id);
        const isUntouched = isNew && job.phase === 'active' && !tasks.some(hasResult);
        return [
          ...(isNew ? [{ key: makeJobKey(pool, id), value: JSON.stringify(job.record) }] : []),
          ...(isUntouched
            ? []
            : [{ key: makeProgressKey(pool, id), value: encodeProgress(job, tasks) }]),
        ];
      });
      dirtyJobs.clear();
      newJobs.clear();
      return {
        records,
        newJobs: batchJobs,
        jobIds: [...phases.keys()],
        handleStored: () =>
          phases.forEach((storedPhase, id) => {
            if (table.jobs.has(id)) table.updateJob(id, { storedPhase });
          }),
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
