/**
 * Stored progress of a job, kept beside its submission: completed tasks, failed runs, crashes of
 * workers and the phase.
 */
import type { CancelSource, CancelTombstone } from './cancel-tombstones.js';
import type { CrashRecord, Suspicion } from './crashes/crash-evidence.js';
import type { Job, JobPhase, Task } from './state.js';

/**
 * Up to this number, finished occurrences are listed one by one, as versions before read them; the
 * record must not grow with them.
 */
const MAX_LISTED_OCCURRENCES = 1_000;

/** A record of more characters is stored without what failed; the store takes 262,144 bytes. */
const MAX_RECORD_CHARS = 250_000;

/**
 * A crash: worker, its start, machine, whether it is confirmed, what it says, whether alone, `true`
 * if it is not known whether the run had begun, and `true` if it may have ended before the crash;
 * what follows the sixth is left out or null if it does not hold.
 */
type StoredCrash = readonly [string, number, string, boolean, Suspicion, boolean, Mark?, true?];

/** A mark that holds, or that only keeps the place before one that does. */
type Mark = true | null;

/** Progress in its stored, compact form. */
interface StoredProgress {
  readonly phase: JobPhase;
  /** Completed tasks as `occurrence.step.index`. */
  readonly done: readonly string[];
  /** Numbers of failed runs by task, named as in `done`. */
  readonly failedRuns: Readonly<Record<string, readonly number[]>>;
  /** Crashes as old records have them, whole under each task, named as in `done`. */
  readonly crashes?: Readonly<Record<string, readonly StoredCrash[]>>;
  /**
   * Crashes under the runs of tasks, each once, as a worker may be lost with thousands of tasks of a
   * job; absent without any.
   */
  readonly crashTable?: readonly StoredCrash[];
  /** Positions in `crashTable` of each task's crashes, oldest first; tasks are named as in `done`. */
  readonly crashRows?: Readonly<Record<string, readonly number[]>>;
  /** Numbers of the finished occurrences, but for those below `occurrencesBelow`. */
  readonly occurrencesDone: readonly number[];
  /** All occurrences below this number are finished; absent for 0. */
  readonly occurrencesBelow?: number | undefined;
  /** When the job ended, in ms since 1970; absent while it is active and in old records. */
  readonly endedAtMs?: number | undefined;
  /** Who cancelled the job before it was submitted; there is no record of the job beside it. */
  readonly tombstone?: CancelSource | undefined;
}

/** Progress as decoded from the store; empty apart from the phase if the job has ended. */
export interface Progress {
  readonly phase: JobPhase;
  /** Completed tasks, named by `makeTaskSuffix`. */
  readonly done: ReadonlySet<string>;
  /** Numbers of failed runs by task, named as in `done`. */
  readonly failedRuns: ReadonlyMap<string, readonly number[]>;
  /** Crashes of workers under runs by task, named as in `done`. */
  readonly crashes: ReadonlyMap<string, readonly CrashRecord[]>;
  /** Numbers of the finished occurrences. */
  readonly occurrencesDone: ReadonlySet<number>;
  /** When the job ended, in ms since 1970; undefined while it is active and in old records. */
  readonly endedAtMs?: number | undefined;
  /** Who cancelled the job, if that was before it was submitted; undefined for a submitted job. */
  readonly tombstone?: CancelSource | undefined;
}

/** Makes the name of a task within its job, as `occurrence.step.index`. */
export function makeTaskSuffix(task: Pick<Task, 'occurrence' | 'stepIndex' | 'index'>): string {
  return `${task.occurrence}.${task.stepIndex}.${task.index}`;
}

/** Says whether any run of the job is known to have ended. */
export function hasAnyProgress(progress: Progress): boolean {
  const { done, failedRuns, crashes, occurrencesDone } = progress;
  return done.size + failedRuns.size + crashes.size + occurrencesDone.size > 0;
}

/** Lists the numbers of the open occurrences that have any progress. */
export function listBegunOccurrences({ done, failedRuns, crashes }: Progress): ReadonlySet<number> {
  const suffixes = [...done, ...failedRuns.keys(), ...crashes.keys()];
  return new Set(suffixes.map((suffix) => Number(suffix.split('.')[0])));
}

/** Encodes a crash. */
function encodeCrash(crash: CrashRecord): StoredCrash {
  const { workerId, bornMs, machine, isConfirmed, suspicion, isAlone } = crash;
  const { isStartUnknown, isMomentUnknown } = crash;
  const stored = [workerId, bornMs, machine, isConfirmed, suspicion, isAlone] as const;
  if (isMomentUnknown === true) return [...stored, isStartUnknown ?? null, isMomentUnknown];
  return isStartUnknown === true ? [...stored, isStartUnknown] : stored;
}

/** Encodes the crashes of tasks; nothing without any. */
function encodeCrashes(
  tasks: readonly Task[],
): Pick<StoredProgress, 'crashTable' | 'crashRows'> | undefined {
  const positions = new Map<string, number>();
  const crashTable: StoredCrash[] = [];
  const addCrash = (crash: CrashRecord): number => {
    const stored = encodeCrash(crash);
    const key = JSON.stringify(stored);
    const position = positions.get(key) ?? crashTable.length;
    if (position === crashTable.length) crashTable.push(stored);
    positions.set(key, position);
    return position;
  };
  const rows = tasks.map((task) => [makeTaskSuffix(task), task.crashes.map(addCrash)] as const);
  return rows.length === 0 ? undefined : { crashTable, crashRows: Object.fromEntries(rows) };
}

/** Decodes a crash. */
function decodeCrash(stored: StoredCrash): CrashRecord {
  const [workerId, bornMs, machine, isConfirmed, suspicion, isAlone, ...marks] = stored;
  const [isStartUnknown, isMomentUnknown] = marks;
  return {
    ...{ workerId, bornMs, machine, isConfirmed, suspicion, isAlone, atMs: 0 },
    ...(isStartUnknown === true ? { isStartUnknown } : undefined),
    ...(isMomentUnknown === true ? { isMomentUnknown } : undefined),
  };
}

/** Decodes the crashes of tasks, by task. */
function decodeCrashes({
  crashes = {},
  crashTable = [],
  crashRows = {},
}: StoredProgress): Progress['crashes'] {
  const known = crashTable.map(decodeCrash);
  return new Map([
    ...Object.entries(crashes).map(([task, list]) => [task, list.map(decodeCrash)] as const),
    ...Object.entries(crashRows).map(
      ([task, row]) => [task, row.flatMap((position) => known[position] ?? [])] as const,
    ),
  ]);
}

/** Encodes the numbers of finished occurrences. */
function encodeOccurrences(
  finished: ReadonlySet<number>,
): Pick<StoredProgress, 'occurrencesDone' | 'occurrencesBelow'> {
  if (finished.size <= MAX_LISTED_OCCURRENCES) return { occurrencesDone: [...finished] };
  let occurrencesBelow = 0;
  while (finished.has(occurrencesBelow)) occurrencesBelow += 1;
  const occurrencesDone = [...finished].filter((number) => number >= occurrencesBelow);
  return { occurrencesDone, occurrencesBelow };
}

/**
 * Encodes the progress of a job; only the phase is kept for finished jobs. Failures and crashes are left
 * out if the record would be too large with them, as the pool could store nothing any more.
 */
export function encodeProgress(job: Job, tasks: readonly Task[]): string {
  const isActive = job.phase === 'active';
  const failed = tasks.filter((task) => task.failedRuns.length > 0 && task.state.kind !== 'done');
  const crashed = tasks.filter((task) => task.crashes.length > 0 && task.state.kind !== 'done');
  const stored: StoredProgress = {
    phase: job.phase,
    done: isActive
      ? tasks.filter((task) => task.state.kind === 'done').map((task) => makeTaskSuffix(task))
      : [],
    failedRuns: isActive
      ? Object.fromEntries(failed.map((task) => [makeTaskSuffix(task), task.failedRuns]))
      : {},
    ...(isActive ? encodeCrashes(crashed) : undefined),
    ...(isActive ? encodeOccurrences(job.finishedOccurrences) : { occurrencesDone: [] }),
    endedAtMs: job.endedAtMs,
  };
  const text = JSON.stringify(stored);
  if (text.length <= MAX_RECORD_CHARS) return text;
  return JSON.stringify({ ...stored, failedRuns: {}, crashTable: undefined, crashRows: undefined });
}

/** Encodes the tombstone of a job as the progress of one that has ended. */
export function encodeTombstone({ cancelledAtMs, team, queue }: CancelTombstone): string {
  const stored: StoredProgress = {
    phase: 'cancelled',
    done: [],
    failedRuns: {},
    occurrencesDone: [],
    endedAtMs: cancelledAtMs,
    tombstone: { team, queue },
  };
  return JSON.stringify(stored);
}

/** Decodes stored progress; the text must come from `encodeProgress`. Throws if it is not JSON. */
export function decodeProgress(text: string): Progress {
  const stored = JSON.parse(text) as StoredProgress;
  const { occurrencesBelow = 0 } = stored;
  return {
    phase: stored.phase,
    done: new Set(stored.done),
    failedRuns: new Map(Object.entries(stored.failedRuns)),
    crashes: decodeCrashes(stored),
    occurrencesDone: new Set([
      ...Array.from({ length: occurrencesBelow }, (_, number) => number),
      ...stored.occurrencesDone,
    ]),
    endedAtMs: stored.endedAtMs,
    tombstone: stored.tombstone,
  };
}
