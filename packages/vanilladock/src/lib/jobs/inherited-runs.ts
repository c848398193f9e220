/**
 * What the planner before this one has told of the runs on workers, until the workers report to this
 * one. Load pattern: owners of a pool follow each other every few seconds, while a worker that has
 * crashed answers none of them.
 */
import { addElapsed, type ToldWorker } from './told-workers.js';
import type { RunName, TimedHandOver } from './hand-over.js';

/** Runs that were told; times are monotonic, in milliseconds. */
export interface InheritedRuns {
  readonly observeHandOver: (timed: TimedHandOver) => void;
  /** Finds what was told of an incarnation; undefined if nothing was. */
  readonly find: (workerId: string, bornMs: number) => ToldWorker | undefined;
  /**
   * Returns since when that incarnation did not answer; of one that was not found out before, since
   * its last sign of life.
   */
  readonly getSilentMs: (told: ToldWorker) => number;
  /** Returns when that incarnation gave its last sign of life. */
  readonly getLastSignMs: (told: ToldWorker) => number;
  /** Finds when an incarnation has confirmed a run; undefined if that was not told. */
  readonly findConfirmedMs: (
    worker: Pick<ToldWorker, 'id' | 'bornMs'>,
    run: RunName,
  ) => number | undefined;
  /** Lists the ids of the workers on which a task may run, as was told. */
  readonly listWorkers: (taskKey: string) => readonly string[];
  /** Lists the keys of the tasks that may run somewhere, as was told. */
  readonly listTasks: () => readonly string[];
  /** Lists what was told of the given workers, with its times brought to `nowMs`. */
  readonly list: (workerIds: ReadonlySet<string>, nowMs: number) => readonly ToldWorker[];
}

/** Creates the memory of a planner that has been told nothing. */
export function createInheritedRuns(): InheritedRuns {
  const workers = new Map<string, ToldWorker>();
  const workersByTask = new Map<string, readonly string[]>();
  let toldMs = 0;
  const addTask = (taskKey: string, workerId: string) =>
    workersByTask.set(taskKey, [...(workersByTask.get(taskKey) ?? []), workerId]);
  const find = (workerId: string, bornMs: number) => {
    const told = workers.get(workerId);
    return told?.bornMs === bornMs ? told : undefined;
  };
  return {
    observeHandOver: ({ handOver, atMs }) => {
      toldMs = atMs;
      workers.clear();
      workersByTask.clear();
      handOver.workers?.forEach((told) => {
        workers.set(told.id, told);
        [...told.runs.map(({ taskKey }) => taskKey), ...told.orphans].forEach((taskKey) =>
          addTask(taskKey, told.id),
        );
      });
    },
    find,
    findConfirmedMs: ({ id, bornMs }, { taskKey, run }) => {
      const told = find(id, bornMs)?.runs.find(
        (candidate) => candidate.taskKey === taskKey && candidate.run === run,
      );
      return told?.confirmedAgoMs === undefined ? undefined : toldMs - told.confirmedAgoMs;
    },
    getSilentMs: ({ silentAgoMs, lastSignAgoMs }) => toldMs - (silentAgoMs ?? lastSignAgoMs),
    getLastSignMs: ({ lastSignAgoMs }) => toldMs - lastSignAgoMs,
    listWorkers: (taskKey) => workersByTask.get(taskKey) ?? [],
    listTasks: () => [...workersByTask.keys()],
    list: (workerIds, nowMs) =>
      [...workers.values()]
        .filter(({ id }) => workerIds.has(id))
        .map((told) => addElapsed(told, nowMs - toldMs)),
  };
}
