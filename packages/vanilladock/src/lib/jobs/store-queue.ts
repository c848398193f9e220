/**
 * Queue of jobs whose record, current progress or tombstone is not stored yet, and of those whose
 * records are to be removed from the store.
 */
import type { KeyedRecord } from '../ports/keyed-store.js';
import type { CancelTombstones } from './cancel-tombstones.js';
import { encodeProgress, encodeTombstone } from './progress.js';
import type { Job, JobPhase, Task } from './state.js';
import { listUnstoredEnds, recordStoredEnds } from './stored-ends.js';
import type { TaskTable } from './task-table.js';

/** Records to store in one batch, with a callback for when they are stored. */
export interface StoreBatch {
  readonly records: readonly KeyedRecord[];
  /** Jobs in this batch whose submission has not been stored before. */
  readonly newJobs: readonly string[];
  /** All jobs in this batch, new ones included. */
  readonly jobIds: readonly string[];
  /** Jobs whose records this batch removes or replaces. */
  readonly removedJobs: readonly string[];
  /** Whether something else is due that does not fit into this batch. */
  readonly isPartial: boolean;
  /**
   * Marks the phases in this batch as stored, and all ends applied before it unless it is partial; to
   * be called once the batch is stored.
   */
  readonly handleStored: () => void;
}

/** Queue of one pool's unstored changes. */
export interface StoreQueue {
  /** Adds a newly submitted job that is not stored yet. */
  readonly addNew: (jobId: string) => void;
  /** Adds jobs that are no longer known; their records are removed from the store. */
  readonly addRemoved: (jobIds: readonly string[]) => void;
  /**
   * Removes and returns what has to be stored now, as much as fits into a call to the store, the
   * longest due first; undefined if there is nothing. The caller reports the outcome by
   * `handleStored` or `dropUnstored` before it takes the next batch.
   */
  readonly takeBatch: () => StoreBatch | undefined;
  /** Drops submissions that the store refused and requeues the other jobs of the batch. */
  readonly dropUnstored: (batch: StoreBatch) => void;
}

/** Bytes of the records of jobs from which on a batch takes no more; the store takes about twice that. */
const MAX_JOB_BYTES = 1_000_000;

/** Number of jobs that one batch removes, so that it stays far below that size. */
const MAX_REMOVALS = 500;

/** Number of tombstones of one batch, for the same reason. */
const MAX_TOMBSTONES_PER_BATCH = 1_000;

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

/**
 * Creates the queue of a pool; `dirtyJobs` holds the ids of jobs with unstored changes. A tombstone
 * that the store refused is in the next batch again.
 */
export function createStoreQueue(
  pool: string,
  table: TaskTable,
  dirtyJobs: Set<string>,
  tombstones: Pick<CancelTombstones, 'listUnstored' | 'markStored'>,
): StoreQueue {
  const newJobs = new Set<string>();
  const removedJobs = new Set<string>();
  /** Takes the ids of jobs to remove, and of those that are stored anew in their place. */
  const takeRemoved = (storedIds: readonly string[]): readonly string[] => {
    const replaced = storedIds.filter((id) => removedJobs.has(id));
    const others = [...removedJobs].slice(0, MAX_REMOVALS);
    const taken = [...new Set([...replaced, ...others])];
    taken.forEach((id) => removedJobs.delete(id));
    return taken;
  };
  /** Encodes what is stored of a job: its submission if it is new, and its progress if it has any. */
  const encodeJob = (job: Job, isNew: boolean) => {
    const { id } = job.record.spec;
    const tasks = table.listJobTasks(id);
    const hasNoProgress = isNew && job.phase === 'active' && !tasks.some(hasResult);
    return [
      ...(isNew ? [{ key: makeJobKey(pool, id), value: JSON.stringify(job.record) }] : []),
      ...(hasNoProgress
        ? []
        : [{ key: makeProgressKey(pool, id), value: encodeProgress(job, tasks) }]),
    ];
  };
  return {
    addNew: (jobId) => {
      newJobs.add(jobId);
      dirtyJobs.add(jobId);
    },
    addRemoved: (jobIds) => jobIds.forEach((id) => removedJobs.add(id)),
    takeBatch: () => {
      const added = tombstones.listUnstored().slice(0, MAX_TOMBSTONES_PER_BATCH);
      if (dirtyJobs.size + removedJobs.size + added.length === 0) return undefined;
      const tombstoneIds = added.map(({ jobId }) => jobId);
      const removed = takeRemoved([...newJobs, ...tombstoneIds]);
      // Before the records of a new job, or the tombstone, with the same id.
      const removals = removed.flatMap((id) =>
        [makeJobKey(pool, id), makeProgressKey(pool, id)].map((key) => ({ key, value: undefined })),
      );
      const phases = new Map<string, JobPhase>();
      const crashVersions = new Map<string, number>();
      const batchJobs: string[] = [];
      const records: KeyedRecord[] = [];
      let jobBytes = 0;
      for (const id of dirtyJobs) {
        if (jobBytes >= MAX_JOB_BYTES) break;
        const job = table.jobs.get(id);
        const isNew = newJobs.delete(id);
        dirtyJobs.delete(id);
        if (job !== undefined) {
          phases.set(id, job.phase);
          crashVersions.set(id, job.crashVersion);
          if (isNew) batchJobs.push(id);
          const encoded = encodeJob(job, isNew);
          records.push(...encoded);
          jobBytes += encoded.reduce((sum, { value }) => sum + Buffer.byteLength(value), 0);
        }
      }
      const isPartial = dirtyJobs.size > 0;
      const tombstoneRecords = added.map((tombstone) => ({
        key: makeProgressKey(pool, tombstone.jobId),
        value: encodeTombstone(tombstone),
      }));
      // Everything that these ends changed is in this batch or in an earlier one.
      const coveredEnds = isPartial ? [] : listUnstoredEnds(table);
      return {
        records: [...removals, ...tombstoneRecords, ...records],
        newJobs: batchJobs,
        jobIds: [...phases.keys()],
        removedJobs: removed,
        isPartial,
        handleStored: () => {
          tombstones.markStored(tombstoneIds);
          phases.forEach((storedPhase, id) => {
            const storedCrashVersion = crashVersions.get(id) ?? 0;
            if (table.jobs.has(id)) table.updateJob(id, { storedPhase, storedCrashVersion });
          });
          coveredEnds.forEach((ends) => recordStoredEnds(table, ends));
        },
      };
    },
    dropUnstored: (batch) => {
      batch.removedJobs.forEach((id) => removedJobs.add(id));
      batch.newJobs.forEach((id) => {
        table.dropTasks(table.listJobTasks(id));
        table.dropJob(id);
      });
      batch.jobIds.filter((id) => table.jobs.has(id)).forEach((id) => dirtyJobs.add(id));
    },
  };
}
