/**
 * Records which jobs and workers of a pool have changed since the last plan, so that the cost of a
 * plan follows the changes and not the size of the pool.
 */

/** Jobs and workers that have changed; an id may belong to one that was dropped since. */
export interface TableChanges {
  readonly jobIds: ReadonlySet<string>;
  readonly workerIds: ReadonlySet<string>;
}

/** Record of the changes since they were last taken. */
export interface ChangeRecord {
  readonly addJob: (jobId: string) => void;
  readonly addWorker: (workerId: string) => void;
  /** Returns the changes without removing them. */
  readonly get: () => TableChanges;
  /** Removes and returns the changes. */
  readonly take: () => TableChanges;
}

/** Creates an empty record. */
export function createChangeRecord(): ChangeRecord {
  let jobIds = new Set<string>();
  let workerIds = new Set<string>();
  const get = () => ({ jobIds, workerIds });
  return {
    addJob: (jobId) => jobIds.add(jobId),
    addWorker: (workerId) => workerIds.add(workerId),
    get,
    take: () => {
      const changes = get();
      jobIds = new Set();
      workerIds = new Set();
      return changes;
    },
  };
}
