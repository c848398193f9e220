/**
 * The workers of a simulation of instances: ids with their present incarnations, entries, and how
 * the network treats them, and the checks of what runs on them.
 */
import { BehaviorSubject } from 'rxjs';
import type {
  OrderOutcome,
  TaskWorkers,
  WorkerEntry,
  WorkerTarget,
} from 'vanilladock/lib/ports/task-workers.js';
import { ENTRY } from './job-fixtures.js';
import { NEVER, waitFor } from './memory-store.js';
import { createIncarnation, type Incarnation } from './simulated-worker.js';
import { createStartChecks, makeRunKey } from './start-checks.js';

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

/** Time after a crash at which the entry of the worker is removed. */
const CRASHED_ENTRY_MS = 4_500;

/** Time after a crash at which another worker starts on the machine. */
const DOWN_MS = 3_000;

const UNKNOWN = { kind: 'unknown' } as const;
const REFUSED = { kind: 'unknown', isRefused: true } as const;
const OTHER_LIFE = { kind: 'rejected', why: 'other-life' } as const;

/** A machine with its present worker, and whether calls or answers are lost. */
interface Place {
  /** Name of the machine. */
  readonly address: string;
  /** Another one after each crash. */
  id: string;
  readonly pool: string;
  incarnation: Incarnation | undefined;
  /** Whether the process is gone and the machine refuses connections, so that calls end at once. */
  isRefusing: boolean;
  /** Ends the open calls to the present worker. */
  closeCalls: () => void;
  callsEnded: Promise<void>;
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

/** A worker that has crashed, with the tasks that ran there. */
export interface WorkerCrash {
  readonly atMs: number;
  readonly taskKeys: readonly string[];
}

/** How workers and tasks behave. */
export interface PlaceOptions {
  readonly pools: readonly string[];
  readonly workersPerPool: number;
  /** Cores of each worker. */
  readonly cores?: number;
  readonly getTaskCores?: (taskKey: string) => number;
  /** Gets after how long a run crashes its worker, in milliseconds; `Infinity` if it does not. */
  readonly getCrashMs?: (taskKey: string) => number;
  /** Draws a whole number from 1 to `max`. */
  readonly pick: (max: number) => number;
  /** Gets how long a task runs, in milliseconds. */
  readonly getDurationMs: (taskKey: string) => number;
  /** Gets how many tasks of a task's step may run on one worker; `Infinity` without a limit. */
  readonly getMaxPerWorker?: (taskKey: string) => number;
  /** Draws after how long a run fails, in milliseconds; `Infinity` if it does not. */
  readonly pickFailureMs: (taskKey: string) => number;
  /** Called for each answered renewal. */
  readonly handleRenewed: (workerId: string, token: number, sentMs: number) => void;
}

/** Creates the workers, each with an incarnation that starts now, and starts to watch them. */
export function createWorkerPlaces(options: PlaceOptions) {
  const { pools, workersPerPool, pick, getDurationMs, pickFailureMs } = options;
  const { cores = CORES, getCrashMs = () => Infinity, getTaskCores = () => 1 } = options;
  const { getMaxPerWorker = () => Infinity } = options;
  const entries = new BehaviorSubject<ReadonlyMap<string, WorkerEntry>>(new Map());
  const failsAtMs = new Map<string, number>();
  const watched = new Map<string, Watched>();
  const crashes: WorkerCrash[] = [];
  /** When a job was last seen to run, by job id. */
  const jobRunsMs = new Map<string, number>();
  let bornCount = 0;
  /** When half of what the workers have was last in use. */
  let busyMs = 0;

  const places: readonly Place[] = pools.flatMap((pool) =>
    Array.from({ length: workersPerPool }, (_, index): Place => {
      const address = `${pool}-w${index}`;
      return {
        address,
        id: address,
        pool,
        incarnation: undefined,
        isRefusing: false,
        closeCalls: () => {},
        callsEnded: NEVER,
        lost: 'none',
        onlyFrom: undefined,
      };
    }),
  );
  const dropEntry = (id: string) => {
    const updated = new Map(entries.value);
    updated.delete(id);
    entries.next(updated);
  };
  const setEntry = ({ id, pool, address }: Place, bornMs: number) => {
    const updated = new Map(entries.value);
    const capacity = { ...ENTRY.capacity, cores };
    updated.set(id, { ...ENTRY, id, bornMs, pool, capacity, address, instance: address });
    entries.next(updated);
  };
  const { violations, repeats, startsMs, checkStart, observeCompleted } = createStartChecks({
    listUp: () =>
      places.flatMap(({ id, incarnation }) =>
        incarnation === undefined ? [] : { id, incarnation },
      ),
    getMaxPerWorker,
  });
  const openIncarnation = (place: Place) => {
    bornCount += 1;
    const incarnation: Incarnation = createIncarnation(bornCount, getDurationMs, {
      handleStart: (taskKey, run) => {
        checkStart(place.id, { taskKey, run });
        failsAtMs.set(makeRunKey({ taskKey, run }), performance.now() + pickFailureMs(taskKey));
        const crashMs = getCrashMs(taskKey);
        if (crashMs === Infinity) return;
        setTimeout(() => {
          if (incarnation.hasRun(taskKey)) void startCrash(place, incarnation);
        }, crashMs);
      },
      handleAcknowledged: ({ taskKey, how }) => {
        if (how === 'done') observeCompleted(taskKey);
      },
    });
    let closeCalls = () => {};
    const callsEnded = new Promise<void>((resolve) => {
      closeCalls = resolve;
    });
    Object.assign(place, { incarnation, isRefusing: false, closeCalls, callsEnded });
    return incarnation;
  };
  /** Ends a worker that is up with all that runs there; later another one starts in its place. */
  const startCrash = async (place: Place, incarnation: Incarnation) => {
    if (place.incarnation !== incarnation) return;
    const { id } = place;
    const taskKeys = incarnation.listRuns().map(({ taskKey }) => taskKey);
    crashes.push({ atMs: performance.now(), taskKeys });
    Object.assign(place, { incarnation: undefined, isRefusing: true });
    place.closeCalls();
    setTimeout(() => dropEntry(id), CRASHED_ENTRY_MS);
    await waitFor(DOWN_MS);
    Object.assign(place, { id: `${place.address}.${bornCount + 1}` });
    const { bornMs } = openIncarnation(place);
    await waitFor(pick(MAX_ENTRY_MS));
    if (place.incarnation?.bornMs === bornMs) setEntry(place, bornMs);
  };
  const sendCall = async <T extends { readonly kind: string }>(
    { name, getOnlyWorker }: Caller,
    { id, address }: WorkerTarget,
    timeoutMs: number,
    execute: (incarnation: Incarnation) => T | Promise<T>,
  ): Promise<T | typeof UNKNOWN | typeof REFUSED | typeof OTHER_LIFE> => {
    const unanswered = waitFor(timeoutMs).then(() => UNKNOWN);
    const answerCall = async () => {
      const place = places.find((item) => item.address === address)!;
      const isReached = () => {
        const only = getOnlyWorker();
        const isOwn = only === undefined || places[only] === place;
        return isOwn && (place.onlyFrom ?? name) === name;
      };
      await waitFor(pick(MAX_WAY_MS));
      if (!isReached() || place.lost === 'orders') return NEVER;
      const { incarnation } = place;
      if (incarnation === undefined) return place.isRefusing ? REFUSED : NEVER;
      if (place.id !== id) return OTHER_LIFE;
      const outcome = await Promise.race([
        execute(incarnation),
        place.callsEnded.then(() => UNKNOWN),
      ]);
      await waitFor(pick(MAX_WAY_MS));
      const isLost = place.lost !== 'none' || place.incarnation !== incarnation || !isReached();
      return isLost ? NEVER : outcome;
    };
    return Promise.race([answerCall(), unanswered]);
  };
  /** Creates the workers as a process reaches them. */
  const createWorkers = (caller: Caller): TaskWorkers => ({
    startTask: (worker, order) =>
      sendCall<OrderOutcome>(caller, worker, TIMEOUT_MS, (w) => w.start(order)),
    stopTask: (worker, order) =>
      sendCall<OrderOutcome>(caller, worker, TIMEOUT_MS, (w) => w.stop(order)),
    renew: async (worker, order) => {
      const sentMs = performance.now();
      const timeoutMs = TIMEOUT_MS + order.waitMs;
      const outcome = await sendCall(caller, worker, timeoutMs, (w) => w.renew(order));
      if (outcome.kind === 'report') options.handleRenewed(worker.id, order.fencingToken, sentMs);
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
  /** Says whether workers are up and less than half of what they have is in use. */
  const isMostlyFree = () => {
    const up = places.flatMap(({ incarnation }) => incarnation ?? []);
    const used = up
      .flatMap((incarnation) => incarnation.listRuns())
      .reduce((sum, { taskKey }) => sum + getTaskCores(taskKey), 0);
    return used < (up.length * cores) / 2;
  };
  const watchRuns = () => {
    const nowMs = performance.now();
    const workerOfTask = new Map<string, string>();
    if (!isMostlyFree()) busyMs = nowMs;
    places.forEach(({ id, incarnation }) =>
      incarnation?.listRuns().forEach((run) => {
        const other = workerOfTask.get(run.taskKey);
        if (other !== undefined) violations.push(`${makeRunKey(run)} on ${id} and on ${other}`);
        workerOfTask.set(run.taskKey, id);
        jobRunsMs.set(run.taskKey.slice(0, run.taskKey.indexOf('.')), nowMs);
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
    crashes,
    /** Times at which each task was started. */
    startsMs,
    /** Gets for how long a job has had nothing running while less than half was in use. */
    getStandingMs: (jobId: string) =>
      performance.now() - Math.max(busyMs, jobRunsMs.get(jobId) ?? 0),
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
      if (isStale) dropEntry(place.id);
    },
    /** Crashes a worker, if it is up. */
    crash: (index: number) => {
      const place = places[index]!;
      if (place.incarnation !== undefined) void startCrash(place, place.incarnation);
    },
    stop: () => clearInterval(watchTimer),
  };
}
