/**
 * What a planner that has stopped tells its successor of the runs on its workers, so that the next
 * one knows which tasks may run on a worker that does not answer, and under which runs it crashed.
 */
import { z } from 'zod';
import { findLastSign } from './crashes/last-sign.js';
import type { Task, Worker } from './state.js';
import { hasRuns } from './worker-runs.js';

/** A run on a worker. */
export interface ToldRun {
  readonly taskKey: string;
  readonly run: number;
  /** Time since the worker confirmed it, in milliseconds; absent for a run that it had not. */
  readonly confirmedAgoMs?: number | undefined;
  /** Whether a report had listed the run. */
  readonly isReported: boolean;
}

/** An incarnation of a worker with all that may run there. */
export interface ToldWorker {
  readonly id: string;
  readonly bornMs: number;
  readonly runs: readonly ToldRun[];
  /** Keys of the tasks of runs that were to be stopped, as they belonged to no task. */
  readonly orphans: readonly string[];
  /**
   * Present if other tasks may run, or have ended, there: it lists ends that are not stored, or has not
   * reported since the planners before the one that tells have ended.
   */
  readonly isPartial?: true | undefined;
  /** Time since its last answer to a renewal or a start, in milliseconds. */
  readonly lastSignAgoMs: number;
  /** Time since it was found not to answer, in milliseconds; absent if it answers. */
  readonly silentAgoMs?: number | undefined;
  /** Present if the worker is to end: it drains, is evacuated or was ended by an order. */
  readonly isEndPlanned?: true | undefined;
}

/** A worker's runs, as messages and records state them. */
export const toldWorkerSchema = z.object({
  id: z.string(),
  bornMs: z.number(),
  runs: z.array(
    z.object({
      taskKey: z.string(),
      run: z.number(),
      confirmedAgoMs: z.number().optional(),
      isReported: z.boolean(),
    }),
  ),
  orphans: z.array(z.string()),
  isPartial: z.literal(true).optional(),
  lastSignAgoMs: z.number(),
  silentAgoMs: z.number().optional(),
  isEndPlanned: z.literal(true).optional(),
});

/** Sources of what a planner tells of its workers. */
export interface ToldWorkerSources {
  readonly workers: ReadonlyMap<string, Worker>;
  readonly findTask: (taskKey: string) => Task | undefined;
  /** When an incarnation stopped to answer; undefined if it answers. Monotonic, in milliseconds. */
  readonly findSilentMs: (worker: Worker) => number | undefined;
  readonly isEndPlanned: (worker: Worker) => boolean;
  /** Ids of the workers that have not reported since earlier planners have ended. */
  readonly unreportedIds: ReadonlySet<string>;
  /** What earlier planners have told of workers that have not reported to this one. */
  readonly passedOn: readonly ToldWorker[];
}

/** Number of runs of a pool beyond which those of workers that answer are not told. */
const MAX_RUNS = 1_500;

/** Makes what is told of an assigned task. */
function makeToldRun({ key: taskKey, state }: Task, nowMs: number): readonly ToldRun[] {
  if (state.kind !== 'assigned') return [];
  const { run, isReported, confirmedMs } = state;
  const confirmedAgoMs = confirmedMs === undefined ? undefined : nowMs - confirmedMs;
  return [{ taskKey, run, confirmedAgoMs, isReported }];
}

/** Makes what this planner tells of a worker that has reported to it. */
function makeToldWorker(sources: ToldWorkerSources, worker: Worker, nowMs: number): ToldWorker {
  const { entry, tasks, orphanedRuns, lastEnd, storedEnd } = worker;
  const assigned = [...tasks].flatMap((key) => sources.findTask(key) ?? []);
  const silentMs = sources.findSilentMs(worker);
  return {
    id: entry.id,
    bornMs: entry.bornMs,
    runs: assigned.flatMap((task) => makeToldRun(task, nowMs)),
    orphans: [...orphanedRuns.keys()],
    isPartial: lastEnd > storedEnd || sources.unreportedIds.has(entry.id) || undefined,
    lastSignAgoMs: nowMs - findLastSign(worker, assigned),
    silentAgoMs: silentMs === undefined ? undefined : nowMs - silentMs,
    isEndPlanned: sources.isEndPlanned(worker) || undefined,
  };
}

/** Counts the runs on workers. */
function countRuns(told: readonly ToldWorker[]): number {
  return told.reduce((sum, { runs, orphans }) => sum + runs.length + orphans.length, 0);
}

/** Drops the workers with the most runs until the others have no more than the limit. */
function selectFewest(told: readonly ToldWorker[]): readonly ToldWorker[] {
  let count = 0;
  return [...told]
    .sort((a, b) => countRuns([a]) - countRuns([b]))
    .filter((worker) => {
      count += countRuns([worker]);
      return count <= MAX_RUNS;
    });
}

/**
 * Makes what a planner tells of its workers with runs, at the monotonic time `nowMs`. Of one that has
 * not reported to it, an incarnation may run what only an earlier planner knows; if it also has runs of
 * this one, nothing is told.
 */
export function makeToldWorkers(sources: ToldWorkerSources, nowMs: number): readonly ToldWorker[] {
  const { workers, passedOn } = sources;
  const own = [...workers.values()]
    .filter((worker) => worker.clock !== undefined && hasRuns(worker))
    .map((worker) => makeToldWorker(sources, worker, nowMs));
  const others = passedOn.filter(({ id }) => {
    const worker = workers.get(id);
    return worker === undefined || !hasRuns(worker);
  });
  const told = [...own, ...others];
  if (countRuns(told) <= MAX_RUNS) return told;
  return selectFewest(told.filter(({ silentAgoMs }) => silentAgoMs !== undefined));
}

/** Brings the times of what was told to a moment that is so much later. */
export function addElapsed(told: ToldWorker, elapsedMs: number): ToldWorker {
  const addTo = (agoMs: number | undefined) => (agoMs === undefined ? agoMs : agoMs + elapsedMs);
  const runs = told.runs.map((run) => ({ ...run, confirmedAgoMs: addTo(run.confirmedAgoMs) }));
  const lastSignAgoMs = told.lastSignAgoMs + elapsedMs;
  return { ...told, runs, lastSignAgoMs, silentAgoMs: addTo(told.silentAgoMs) };
}
