/**
 * Remembers when workers stopped to answer, and with which runs, so that crashes at the same moment
 * can be told from single ones. Load pattern: a rack, a data centre or a whole pool is lost at once.
 */
import { PROVEN_RUN_MS } from './crash-evidence.js';
import type { CrashMoment, GoneSign } from './crash-moment.js';
import { makeIncarnationKey, type Incarnation } from '../ended-incarnations.js';
import type { InheritedRuns } from '../inherited-runs.js';
import { computeAliveMs, findLastSign } from './last-sign.js';
import type { PoolContext } from '../pool-context.js';
import { parseTaskKey } from '../spec.js';
import type { Assignment, Task, Worker } from '../state.js';
import type { ToldWorker } from '../told-workers.js';
import { listWorkerTasks } from '../worker-loss.js';

/** A run that a worker had when it stopped to answer. */
export interface SilencedRun {
  readonly taskKey: string;
  readonly jobId: string;
  readonly run: number;
  /** For how long the run is known to have gone on; 0 for one that was not confirmed. */
  readonly aliveMs: number;
  /** Whether the worker had confirmed the run. */
  readonly isConfirmed: boolean;
  /** Whether a report of the incarnation had listed the run. */
  readonly isReported: boolean;
}

/** The moment at which a worker stopped to answer; times are monotonic, in milliseconds. */
export interface Silence extends CrashMoment {
  readonly workerId: string;
  readonly bornMs: number;
  readonly atMs: number;
  /** Whether the worker was to end: it was draining, or its instance was being evacuated. */
  readonly isEndPlanned: boolean;
  readonly runs: readonly SilencedRun[];
  /** Jobs of all runs there that may have been the cause, also of runs that belong to no task. */
  readonly possibleCauses: ReadonlySet<string>;
  /** Whether the end of the incarnation was dealt with; its entry may remain listed for a while. */
  readonly isSettled: boolean;
}

/** Silences of a pool's workers. */
export interface WorkerSilences {
  /**
   * Records that a worker has stopped to answer; the first record of an incarnation counts. Of one
   * that has not reported to this planner, what the preceding one has told counts.
   */
  readonly add: (worker: Worker, nowMs: number) => Silence;
  readonly find: (workerId: string, bornMs: number) => Silence | undefined;
  /**
   * Records that the process of an incarnation was found to be gone; the first time of each sign
   * counts. Returns its silence; undefined if it has not been silent.
   */
  readonly recordGone: (
    incarnation: Incarnation,
    sign: GoneSign,
    nowMs: number,
  ) => Silence | undefined;
  /** Marks the end of an incarnation as dealt with; no effect if it has not been silent. */
  readonly recordSettled: (workerId: string, bornMs: number) => void;
  /** Drops the silence of an incarnation that answers again. */
  readonly drop: (workerId: string, bornMs: number) => void;
  /** Counts the workers that stopped to answer within a moment of this one, itself included. */
  readonly countCoincident: (silence: Silence) => number;
  /** Says whether some job had runs on every worker that stopped to answer at that moment. */
  readonly hasCommonJob: (silence: Silence) => boolean;
}

/** Workers that stop to answer within this time count as lost at the same moment. */
const MOMENT_MS = 200;

/** How long a silence is remembered. */
const SILENCE_TTL_MS = 60_000;

/** An evacuation explains the end of a worker for this long after it has lapsed. */
const EVACUATION_MARGIN_MS = 3_000;

/** Says whether a worker is to end: it is draining, or its instance is moved or maintained. */
export function isEnding({ entry, evacuateUntilMs }: Worker, nowMs: number): boolean {
  const isEvacuated = evacuateUntilMs > 0 && evacuateUntilMs + EVACUATION_MARGIN_MS > nowMs;
  return entry.phase === 'draining' || isEvacuated;
}

/** Makes the record of a run as of the last sign of life of its worker. */
function makeRun(taskKey: string, assignment: Assignment, lastSignMs: number): SilencedRun {
  const { jobId } = parseTaskKey(taskKey);
  const { run, confirmedMs, isReported } = assignment;
  const aliveMs = computeAliveMs(confirmedMs ?? lastSignMs, lastSignMs);
  return { taskKey, jobId, run, aliveMs, isConfirmed: confirmedMs !== undefined, isReported };
}

/** Lists the runs on a worker that this planner knows of by itself, also those without a task. */
function listOwnRuns(
  { orphanedRuns }: Worker,
  tasks: readonly Task[],
  lastSignMs: number,
): readonly SilencedRun[] {
  const assigned = tasks.flatMap(({ key, state }) =>
    state.kind === 'assigned' ? [makeRun(key, state, lastSignMs)] : [],
  );
  const orphaned = [...orphanedRuns].map(([taskKey, { assignment }]) =>
    makeRun(taskKey, assignment, lastSignMs),
  );
  return [...assigned, ...orphaned];
}

/** Makes the records of the runs that were told of a worker. */
function makeInheritedRuns({ runs, lastSignAgoMs }: ToldWorker): readonly SilencedRun[] {
  return runs.map(({ taskKey, run, confirmedAgoMs, isReported }) => {
    const { jobId } = parseTaskKey(taskKey);
    const aliveMs = computeAliveMs(lastSignAgoMs, confirmedAgoMs ?? lastSignAgoMs);
    return {
      taskKey,
      jobId,
      run,
      aliveMs,
      isConfirmed: confirmedAgoMs !== undefined,
      isReported,
    };
  });
}

/**
 * Lists the jobs whose runs may be the cause of a crash. A run that belongs to no task, such as one of
 * a job that was cancelled or given up, goes on until it has stopped; its age is not known.
 */
function listPossibleCauses(
  orphans: Iterable<string>,
  runs: readonly SilencedRun[],
): ReadonlySet<string> {
  return new Set([
    ...runs.filter(({ aliveMs }) => aliveMs < PROVEN_RUN_MS).map(({ jobId }) => jobId),
    ...[...orphans].map((key) => parseTaskKey(key).jobId),
  ]);
}

/** Creates the memory without any silence. */
export function createWorkerSilences(
  context: PoolContext,
  inheritedRuns: Pick<InheritedRuns, 'find' | 'getSilentMs' | 'getLastSignMs'>,
): WorkerSilences {
  const silences = new Map<string, Silence>();
  const makeSilence = (worker: Worker, nowMs: number): Silence => {
    const { id: workerId, bornMs } = worker.entry;
    const told = worker.clock === undefined ? inheritedRuns.find(workerId, bornMs) : undefined;
    const tasks = listWorkerTasks(context, worker);
    const ownSignMs = findLastSign(worker, tasks);
    const ownRuns = listOwnRuns(worker, tasks, ownSignMs);
    const runs = [...(told === undefined ? [] : makeInheritedRuns(told)), ...ownRuns];
    const orphans = [...worker.orphanedRuns.keys(), ...(told?.orphans ?? [])];
    return {
      workerId,
      bornMs,
      atMs: told === undefined ? nowMs : inheritedRuns.getSilentMs(told),
      lastSignMs: told === undefined ? ownSignMs : inheritedRuns.getLastSignMs(told),
      refusedMs: undefined,
      replacedMs: undefined,
      isEndPlanned: told?.isEndPlanned === true || isEnding(worker, nowMs),
      runs,
      possibleCauses: listPossibleCauses(orphans, runs),
      isSettled: false,
    };
  };
  const listCoincident = ({ atMs }: Silence) =>
    [...silences.values()].filter((other) => Math.abs(other.atMs - atMs) <= MOMENT_MS);
  const dropOld = (nowMs: number) =>
    silences.forEach(({ atMs }, key) => {
      if (nowMs - atMs > SILENCE_TTL_MS) silences.delete(key);
    });
  return {
    add: (worker, nowMs) => {
      const { id: workerId, bornMs } = worker.entry;
      const key = makeIncarnationKey(workerId, bornMs);
      const known = silences.get(key);
      if (known !== undefined) return known;
      dropOld(nowMs);
      const silence = makeSilence(worker, nowMs);
      silences.set(key, silence);
      return silence;
    },
    find: (workerId, bornMs) => silences.get(makeIncarnationKey(workerId, bornMs)),
    recordGone: ({ id, bornMs }, sign, nowMs) => {
      const key = makeIncarnationKey(id, bornMs);
      const known = silences.get(key);
      if (known === undefined) return undefined;
      const field = sign === 'refused' ? 'refusedMs' : 'replacedMs';
      const silence = { ...known, [field]: known[field] ?? nowMs };
      silences.set(key, silence);
      return silence;
    },
    recordSettled: (workerId, bornMs) => {
      const key = makeIncarnationKey(workerId, bornMs);
      const silence = silences.get(key);
      if (silence !== undefined) silences.set(key, { ...silence, isSettled: true });
    },
    drop: (workerId, bornMs) => silences.delete(makeIncarnationKey(workerId, bornMs)),
    countCoincident: (silence) => listCoincident(silence).length,
    hasCommonJob: (silence) => {
      const jobLists = listCoincident(silence).map(({ runs }) => runs.map(({ jobId }) => jobId));
      return silence.runs.some(({ jobId }) => jobLists.every((jobs) => jobs.includes(jobId)));
    },
  };
}
