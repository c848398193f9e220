/**
 * The workers of a simulation of instances: ids with their present incarnations, entries, and how
 * the network treats them, and the checks of what runs on them.
 */
import { BehaviorSubject } from 'rxjs';
import type { OrderOutcome, TaskWorkers, WorkerEntry } from 'vanilladock/lib/ports/task-workers.js';
import { ENTRY } from './job-fixtures.js';
import { NEVER, waitFor } from './memory-store.js';
import { createIncarnation, type Incarnation, type Run } from './simulated-worker.js';

/** Time after which a call counts as unanswered, beside the time that a poll may take. */
const TIMEOUT_MS = 400;

/** What runs is looked at this often. */
const WATCH_MS = 50;

/** Longest time of one way of a call. */
const MAX_WAY_MS = 5;

/** Time after which the entry of an incarnation that is gone is removed. */
const STALE_ENTRY_MS = 2_000;

/** Longest time from the start of an incarnation to its entry. */
const MAX_ENTRY_MS = 900;

const CORES = 8;

/** A worker id with its present incarnation, and whether calls or answers are lost. */
interface Place {
  readonly id: string;
  readonly pool: string;
  incarnation: Incarnation | undefined;
  lost: 'none' | 'orders' | 'answers';
  /** Name of the only process that reaches it; undefined if all do. */
  onlyFrom: string | undefined;
}

/** How long a lasting task has been without a run on any worker, in milliseconds. */
export interface TaskGap {
  readonly taskKey: string;
  readonly longestMs: number;
  /** When the longest time without a run began. */
  readonly fromMs: number;
  /** Worker of its last run before that; undefined if it had none. */
  readonly workerId: string | undefined;
}

/** A lasting task under watch. */
interface Watched {
  lastRunMs: number;
  workerId: string | undefined;
  gap: TaskGap;
}

/** A process that calls workers. */
export interface Caller {
  readonly name: string;
  /** Gets the index of the only worker that it reaches; undefined if it reaches all. */
  readonly getOnlyWorker: () => number | undefined;
}

/** How workers and tasks behave. */
export interface PlaceOptions {
  readonly pools: readonly string[];
  readonly workersPerPool: number;
  /** Draws a whole number from 1 to `max`. */
  readonly pick: (max: number) => number;
  /** Gets how long a task runs, in milliseconds. */
  readonly getDurationMs: (taskKey: string) => number;
  /** Draws after how long a run fails, in milliseconds; `Infinity` if it does not. */
  readonly pickFailureMs: (taskKey: string) => number;
  /** Called for each answered renewal. */
  readonly handleRenewed: (workerId: string, token: number, sentMs: number) => void;
}

/** Creates the workers, each with an incarnation that starts now, and starts to watch them. */
export function createWorkerPlaces(options: PlaceOptions) {
  const { pools, workersPerPool, pick, getDurationMs, pickFailureMs } = options;
  const entries = new BehaviorSubject<ReadonlyMap<string, WorkerEntry>>(new Map());
  const violations: string[] = [];
  const repeats: string[] = [];
  const completed = new Set<string>();
  const workerOfRun = new Map<string, string>();
  const failsAtMs = new Map<string, number>();
  const watched = new Map<string, Watched>();
  let bornCount = 0;

  const places: readonly Place[] = pools.flatMap((pool) =>
    Array.from({ length: workersPerPool }, (_, index): Place => {
      return {
        id: `${pool}-w${index}`,
        pool,
        incarnation: undefined,
        lost: 'none',
        onlyFrom: undefined,
      };
    }),
  );
  const setEntry = ({ id, pool }: Place, bornMs: number | undefined) => {
    const updated = new Map(entries.value);
    const capacity = { ...ENTRY.capacity, cores: CORES };
    if (bornMs === undefined) updated.delete(id);
    else updated.set(id, { ...ENTRY, id, bornMs, pool, capacity, address: id, instance: id });
    entries.next(updated);
  };
  const makeRunKey = ({ taskKey, run }: Pick<Run, 'taskKey' | 'run'>) => `${taskKey} run ${run}`;
  const checkStart = (place: Place, taskKey: string, run: number) => {
    const what = makeRunKey({ taskKey, run });
    const other = places.find((item) => item.incarnation?.hasRun(taskKey));
    if (other !== undefined) {
      violations.push(`${what} on ${place.id} while it runs on ${other.id}`);
    }
    const lister = places.find(({ incarnation }) => incarnation?.listsDone(taskKey));
    if (lister !== undefined) repeats.push(`${what} on ${place.id}, done on ${lister.id}`);
    if (completed.has(taskKey)) violations.push(`${what} after its end`);
    const known = workerOfRun.get(what) ?? place.id;
    if (known !== place.id) violations.push(`${what} on ${place.id} and on ${known}`);
    workerOfRun.set(what, place.id);
    failsAtMs.set(what, performance.now() + pickFailureMs(taskKey));
  };
  const openIncarnation = (place: Place) => {
    bornCount += 1;
    const incarnation = createIncarnation(bornCount, getDurationMs, {
      handleStart: (taskKey, run) => checkStart(place, taskKey, run),
      handleAcknowledged: ({ taskKey, how }) => {
        if (how === 'done') completed.add(taskKey);
      },
    });
    Object.assign(place, { incarnation });
    return incarnation;
  };
  const sendCall = async <T extends { readonly kind: string }>(
    { name, getOnlyWorker }: Caller,
    id: string,
    timeoutMs: number,
    execute: (incarnation: Incarnation) => T | Promise<T>,
  ): Promise<T | { readonly kind: 'unknown' }> => {
    const unanswered = waitFor(timeoutMs).then(() => ({ kind: 'unknown' }) as const);
    const answerCall = async () => {
      const place = places.find((item) => item.id === id)!;
      const isReached = () => {
        const only = getOnlyWorker();
        const isOwn = only === undefined || places[only] === place;
        return isOwn && (place.onlyFrom ?? name) === name;
      };
      await waitFor(pick(MAX_WAY_MS));
      if (!isReached()) return NEVER;
      if (place.lost === 'orders' || place.incarnation === undefined) return NEVER;
      const { incarnation } = place;
      const outcome = await execute(incarnation);
      await waitFor(pick(MAX_WAY_MS));
      const isLost = place.lost !== 'none' || place.incarnation !== incarnation || !isReached();
      return isLost ? NEVER : outcome;
    };
    return Promise.race([answerCall(), unanswered]);
  };
  /** Creates the workers as a process reaches them. */
  const createWorkers = (caller: Caller): TaskWorkers => ({
    startTask: ({ id }, order) =>
      sendCall<OrderOutcome>(caller, id, TIMEOUT_MS, (w) => w.start(order)),
    stopTask: ({ id }, order) =>
      sendCall<OrderOutcome>(caller, id, TIMEOUT_MS, (w) => w.stop(order)),
    renew: async ({ id }, order) => {
      const sentMs = performance.now();
      const timeoutMs = TIMEOUT_MS + order.waitMs;
      const outcome = await sendCall(caller, id, timeoutMs, (w) => w.renew(order));
      if (outcome.kind === 'report') options.handleRenewed(id, order.fencingToken, sentMs);
      return outcome;
    },
    pace: () => Promise.resolve({ kind: 'accepted', clockMs: 0 }),
  });
  const watchTask = (taskKey: string, task: Watched, workerId: string | undefined) => {
    const nowMs = performance.now();
    const longestMs = nowMs - task.lastRunMs;
    if (longestMs > task.gap.longestMs) {
      const gap = { taskKey, longestMs, fromMs: task.lastRunMs, workerId: task.workerId };
      Object.assign(task, { gap });
    }
    if (workerId !== undefined) Object.assign(task, { lastRunMs: nowMs, workerId });
  };
  const watchRuns = () => {
    const nowMs = performance.now();
    const workerOfTask = new Map<string, string>();
    places.forEach(({ id, incarnation }) =>
      incarnation?.listRuns().forEach((run) => {
        const other = workerOfTask.get(run.taskKey);
        if (other !== undefined) violations.push(`${makeRunKey(run)} on ${id} and on ${other}`);
        workerOfTask.set(run.taskKey, id);
        if (nowMs >= (failsAtMs.get(makeRunKey(run)) ?? Infinity)) incarnation.failRun(run);
      }),
    );
    watched.forEach((task, taskKey) => watchTask(taskKey, task, workerOfTask.get(taskKey)));
  };
  places.forEach((place) => setEntry(place, openIncarnation(place).bornMs));
  const watchTimer = setInterval(watchRuns, WATCH_MS);
  return {
    entries,
    createWorkers,
    violations,
    /** Starts of tasks that had run to their end on a worker that was up; not wrong in a cut. */
    repeats,
    ids: places.map(({ id }) => id),
    /** Watches from now on for how long a task that is to last has no run. */
    watchLasting: (taskKey: string) => {
      const lastRunMs = performance.now();
      const gap = { taskKey, longestMs: 0, fromMs: lastRunMs, workerId: undefined };
      watched.set(taskKey, { lastRunMs, workerId: undefined, gap });
    },
    /** Lists the longest time without a run of each lasting task, the longest first. */
    listGaps: (): readonly TaskGap[] =>
      [...watched.values()].map(({ gap }) => gap).sort((a, b) => b.longestMs - a.longestMs),
    /** Sets what is lost on the way to a worker and back. */
    setLost: (index: number, lost: Place['lost']) => {
      Object.assign(places[index]!, { lost });
    },
    /** Sets the only process that reaches a worker; undefined if all do. */
    setOnlyFrom: (index: number, onlyFrom: string | undefined) => {
      Object.assign(places[index]!, { onlyFrom });
    },
    /**
     * Ends the incarnation of a worker and opens another under its id; its entry follows after
     * `entryMs`, which is drawn if it is not given.
     */
    restart: async (index: number, afterMs: number, entryMs = pick(MAX_ENTRY_MS)) => {
      const place = places[index]!;
      const { incarnation } = place;
      Object.assign(place, { incarnation: undefined });
      await waitFor(afterMs);
      if (place.incarnation !== undefined) return;
      const { bornMs } = openIncarnation(place);
      setTimeout(() => {
        if (place.incarnation?.bornMs === bornMs) setEntry(place, bornMs);
      }, entryMs);
      await waitFor(STALE_ENTRY_MS);
      const isStale = entries.value.get(place.id)?.bornMs === incarnation?.bornMs;
      if (isStale) setEntry(place, undefined);
    },
    stop: () => clearInterval(watchTimer),
  };
}
