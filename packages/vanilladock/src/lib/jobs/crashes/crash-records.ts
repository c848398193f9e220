/**
 * Records of crashes under the tasks of a pool, found by the incarnation that crashed: what is learned
 * of one crash changes the records of all tasks that ran there.
 */
import { isSuspect, isTelling, type CrashRecord } from './crash-evidence.js';
import { makeIncarnationKey } from '../ended-incarnations.js';
import type { PoolContext } from '../pool-context.js';
import type { Task } from '../state.js';
import type { CrashAge } from './told-crashes.js';

/** Changes a record; undefined drops it. */
export type RecordChange = (record: CrashRecord, taskKey: string) => CrashRecord | undefined;

/** Records of a pool's crashes. Keys of incarnations are those of `makeIncarnationKey`. */
export interface CrashRecords {
  /** Indexes a record of a task. */
  readonly add: (taskKey: string, record: CrashRecord) => void;
  /** Replaces the records of a task, to be stored before it starts again. */
  readonly setCrashes: (task: Task, crashes: readonly CrashRecord[]) => void;
  /** Applies a change to the records of one incarnation's crash; returns how many tasks it changed. */
  readonly updateRecords: (key: string, change: RecordChange) => number;
  /**
   * Records that an incarnation has crashed under the runs of the tasks for which `isUnderRun` holds;
   * what tells against one of them clears the others.
   */
  readonly updateMoments: (key: string, isUnderRun: (task: Task) => boolean) => void;
  /**
   * Marks the crashes of a task as explained for the tasks of other jobs; returns how many tasks that
   * changes.
   */
  readonly dropOtherSuspicions: (task: Task) => number;
  /** Lists the crashes under tasks that are not done, with the time since each was recorded. */
  readonly listAges: (nowMs: number) => readonly CrashAge[];
  /** Sets when the crash of an incarnation was recorded, which is not stored. */
  readonly setRecordedMs: (key: string, atMs: number) => void;
  /** Says whether some task is still suspect for the crash of an incarnation. */
  readonly hasSuspect: (key: string) => boolean;
  /** Forgets the crashes under which no task is left. */
  readonly dropSettled: () => void;
  /** Adds a job to those whose records have changed. */
  readonly recordChange: (jobId: string) => void;
  /** Removes and returns the ids of the jobs whose records have changed. */
  readonly takeChangedJobs: () => readonly string[];
}

/** Makes the key of the incarnation that has crashed. */
function makeKey({ workerId, bornMs }: CrashRecord): string {
  return makeIncarnationKey(workerId, bornMs);
}

/** Creates the records of a pool without any. */
export function createCrashRecords({ table, dirtyJobs }: PoolContext): CrashRecords {
  /** Keys of the tasks with a record of an incarnation's crash, by the key of the incarnation. */
  const tasksByCrash = new Map<string, Set<string>>();
  const changedJobs = new Set<string>();

  const setCrashes: CrashRecords['setCrashes'] = (task, crashes) => {
    table.moveTask(task, task.state, { crashes });
    const job = table.jobs.get(task.jobId);
    if (job !== undefined) table.updateJob(task.jobId, { crashVersion: job.crashVersion + 1 });
    dirtyJobs.add(task.jobId);
    changedJobs.add(task.jobId);
  };
  /** Changes the record of a task; returns whether that made a difference. */
  const updateTask = (task: Task, key: string, change: RecordChange): boolean => {
    const known = task.crashes.find((record) => makeKey(record) === key);
    const updated = known === undefined ? undefined : change(known, task.key);
    if (updated === known) return false;
    setCrashes(
      task,
      task.crashes.flatMap((record) => (record === known ? (updated ?? []) : record)),
    );
    return true;
  };
  const updateRecords: CrashRecords['updateRecords'] = (key, change) =>
    [...(tasksByCrash.get(key) ?? [])].filter((taskKey) => {
      const task = table.findTask(taskKey);
      return task !== undefined && task.state.kind !== 'done' && updateTask(task, key, change);
    }).length;
  const dropOtherSuspicions: CrashRecords['dropOtherSuspicions'] = ({ jobId, crashes }) =>
    crashes
      .map((crash) =>
        updateRecords(makeKey(crash), (record, taskKey) => {
          const isOfJob = table.findTask(taskKey)?.jobId === jobId;
          const isExplained = record.suspicion === 'explained';
          return isOfJob || isExplained ? record : { ...record, suspicion: 'explained' };
        }),
      )
      .reduce((sum, count) => sum + count, 0);
  const updateMoments: CrashRecords['updateMoments'] = (key, isUnderRun) => {
    const isChanged = (record: CrashRecord, task: Task | undefined) =>
      record.isMomentUnknown === true && task !== undefined && isUnderRun(task);
    const telling: string[] = [];
    updateRecords(key, (record, taskKey) => {
      if (!isChanged(record, table.findTask(taskKey))) return record;
      const updated = { ...record, isMomentUnknown: undefined };
      if (isTelling(updated)) telling.push(taskKey);
      return updated;
    });
    telling.flatMap((taskKey) => table.findTask(taskKey) ?? []).forEach(dropOtherSuspicions);
  };
  return {
    add: (taskKey, record) => {
      const key = makeKey(record);
      tasksByCrash.set(key, (tasksByCrash.get(key) ?? new Set()).add(taskKey));
    },
    setCrashes,
    updateRecords,
    updateMoments,
    dropOtherSuspicions,
    listAges: (nowMs) => {
      const all = [...table.crashedTaskKeys].flatMap((key) => table.findTask(key)?.crashes ?? []);
      const ages = all.map((record) => {
        const { workerId: id, bornMs, atMs } = record;
        return [makeKey(record), { id, bornMs, agoMs: nowMs - atMs }] as const;
      });
      return [...new Map(ages).values()];
    },
    setRecordedMs: (key, atMs) =>
      [...(tasksByCrash.get(key) ?? [])].forEach((taskKey) => {
        const task = table.findTask(taskKey);
        if (task === undefined) return;
        const setTime = (record: CrashRecord) =>
          makeKey(record) === key ? { ...record, atMs } : record;
        table.moveTask(task, task.state, { crashes: task.crashes.map(setTime) });
      }),
    hasSuspect: (key) =>
      [...(tasksByCrash.get(key) ?? [])].some((taskKey) => {
        const task = table.findTask(taskKey);
        if (task === undefined || task.state.kind === 'done') return false;
        return isSuspect({ crashes: task.crashes.filter((record) => makeKey(record) === key) });
      }),
    dropSettled: () =>
      tasksByCrash.forEach((taskKeys, key) => {
        if (![...taskKeys].some((taskKey) => table.crashedTaskKeys.has(taskKey))) {
          tasksByCrash.delete(key);
        }
      }),
    recordChange: (jobId) => changedJobs.add(jobId),
    takeChangedJobs: () => {
      const jobIds = [...changedJobs];
      changedJobs.clear();
      return jobIds;
    },
  };
}
