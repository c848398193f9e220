/**
 * Decides what the crashes of workers say about the tasks that ran there. Load pattern: a worker
 * crashes with a dozen runs, one of which is the cause and crashes the next worker too, while
 * workers also crash on their own, one at a time or many at once. A task is given up once a worker
 * has crashed again on which, of all suspects, only its job ran.
 */

import type { StepSpec } from '../spec.js';

/**
 * What a crash says about a task. `recent`: the run had just started when the worker was last heard
 * of. `earlier`: it had gone on for some time. `mass`: several workers were lost at that moment,
 * which says little. `none`: the run had gone on for long, or a later one has. `explained`: another
 * task was found to be the cause.
 */
export type Suspicion = 'recent' | 'earlier' | 'mass' | 'none' | 'explained';

/** A crash of a worker under a run of a task. */
export interface CrashRecord {
  readonly workerId: string;
  /** Start of the worker's incarnation, in milliseconds since 1970. */
  readonly bornMs: number;
  /** Machine of the worker: its instance, or its address where the instance is not known. */
  readonly machine: string;
  /** Whether the incarnation has ended with a confirmed run; else the worker does not answer. */
  readonly isConfirmed: boolean;
  /** Present if it is not known whether the run has begun; such a record is never confirmed. */
  readonly isStartUnknown?: true | undefined;
  /**
   * Present if the run may have ended before the crash, as the worker was silent for longer than the
   * run needed, or may be up still. Such a record names no suspect and asks for a third one.
   */
  readonly isMomentUnknown?: true | undefined;
  readonly suspicion: Suspicion;
  /** Whether no other job had a run there that may have been the cause, nor the machine itself. */
  readonly isAlone: boolean;
  /**
   * When the crash was recorded, on the planner's monotonic clock; when it was loaded if the planner
   * before has not told it.
   */
  readonly atMs: number;
}

/**
 * Why a job is given up. `crashed-alone`: a suspect crashed a worker of another machine, on which it
 * ran alone.
 * `crashed-often`: three crashes that no other cause explains, on several machines. `crash-limit`:
 * the number of crashes alone.
 */
export type GiveUpReason = 'crashed-alone' | 'crashed-often' | 'crash-limit';

/** A run that started at most this long before the last sign of life counts as recent. */
const RECENT_START_MS = 300;

/** A run that has gone on for this long is not suspected, and needs no worker of its own. */
export const PROVEN_RUN_MS = 4_000;

/**
 * A crash after a run of this length is not counted at all, and such a run ends what earlier crashes
 * say of its task: else those of machines add up over the lifetime of a lasting one.
 */
export const LONG_RUN_MS = 10_000;

/** Number of workers lost at one moment from which the loss of one of them says little. */
const MASS_LOSS_WORKERS = 3;

/** How long a suspect of a single crash waits for a worker of its own, and a lasting one. */
const ISOLATION_PATIENCE_MS = 6_000;
const LASTING_PATIENCE_MS = 3_000;

/** How long a lasting suspect of two crashes waits for one since the second. */
const LASTING_PATIENCE_TWICE_MS = 6_000;

/** Crashes from which a suspect runs on a worker of its own, also if others explain them. */
const ISOLATED_CRASHES = 3;

/** Confirmed crashes without which no job is given up. */
const MIN_CRASHES = 2;

/** Crashes alone, each at the moment of others or at an unknown one, at which a job is given up. */
const ALONE_MASS_CRASHES = 2;

/** Crashes on several machines, not explained otherwise, at which a job is given up. */
const OFTEN_CRASHES = 3;

/** Crashes of any kind at which a job is given up. */
const MAX_CRASHES = 5;

/** Says whether the loss of this many workers at one moment has a cause outside of their tasks. */
export function isMassLoss(coincident: number, hasCommonJob: boolean): boolean {
  return coincident >= MASS_LOSS_WORKERS && !hasCommonJob;
}

/**
 * Classifies a crash for a run that is known to have gone on for `aliveMs`; undefined if it does not
 * count.
 */
export function classifyCrash(aliveMs: number, isMass: boolean): Suspicion | undefined {
  if (aliveMs >= LONG_RUN_MS) return undefined;
  if (aliveMs >= PROVEN_RUN_MS) return 'none';
  if (isMass) return 'mass';
  return aliveMs <= RECENT_START_MS ? 'recent' : 'earlier';
}

/** Lists the crashes that make a task suspect. */
function listSuspicious(crashes: readonly CrashRecord[]): readonly CrashRecord[] {
  return crashes.filter(({ suspicion }) => suspicion !== 'none' && suspicion !== 'explained');
}

/** Lists those of them that were under the run for certain, and the only ones then, or one of two. */
function listSingle(crashes: readonly CrashRecord[]): readonly CrashRecord[] {
  return listSuspicious(crashes).filter(
    ({ suspicion, isMomentUnknown }) => suspicion !== 'mass' && isMomentUnknown !== true,
  );
}

/** Says whether a task may have crashed a worker. */
export function isSuspect({ crashes }: { readonly crashes: readonly CrashRecord[] }): boolean {
  return crashes.length > 0 && listSuspicious(crashes).length > 0;
}

/** Makes the record of a crash after which a run of its task has gone on for long. */
export function dropSuspicion(crash: CrashRecord): CrashRecord {
  return isSuspect({ crashes: [crash] }) ? { ...crash, suspicion: 'none' } : crash;
}

/**
 * Says whether a crash names a suspect: only its job ran there, for certain, and no other worker was
 * lost.
 */
export function isTelling(crash: CrashRecord): boolean {
  return crash.isAlone && listSingle([crash]).length > 0;
}

/**
 * Says whether a task must run on a worker without other jobs: it is a suspect of several crashes,
 * or had just started at the only one and has not waited too long since. A lasting one of two crashes
 * has waited too long later than that. Members of a gang start on
 * many workers at once, so that none of them can run alone.
 */
export function isToBeIsolated(
  { crashes }: { readonly crashes: readonly CrashRecord[] },
  { isLasting, isGang }: Pick<StepSpec, 'isLasting' | 'isGang'>,
  nowMs: number,
): boolean {
  if (crashes.length === 0 || isGang) return false;
  const [first, second] = listSuspicious(crashes);
  if (first === undefined) return false;
  const counted = crashes.filter(({ suspicion }) => suspicion !== 'none');
  if (counted.length >= ISOLATED_CRASHES) return true;
  if (second !== undefined) return !isLasting || nowMs - second.atMs < LASTING_PATIENCE_TWICE_MS;
  const patienceMs = isLasting ? LASTING_PATIENCE_MS : ISOLATION_PATIENCE_MS;
  const isPatient = nowMs - first.atMs < patienceMs;
  return first.isConfirmed && first.suspicion === 'recent' && isPatient;
}

/** Counts the machines of crashes. */
function countMachines(crashes: readonly CrashRecord[]): number {
  return new Set(crashes.map(({ machine }) => machine)).size;
}

/**
 * Says whether a suspect crashed a worker of another machine on which only its job ran, after a
 * crash that no other task explains.
 */
function hasCrashedAlone(crashes: readonly CrashRecord[]): boolean {
  const [, ...later] = listSuspicious(crashes);
  const alone = later.filter(({ isConfirmed, isAlone }) => isConfirmed && isAlone);
  const isEnough = alone.some(isTelling) || alone.length >= ALONE_MASS_CRASHES;
  return isEnough && countMachines(crashes.filter(({ isConfirmed }) => isConfirmed)) > 1;
}

/** Returns how many confirmed crashes it takes: one more if one of them may not be under a run. */
function getMinCrashes(confirmed: readonly CrashRecord[]): number {
  return MIN_CRASHES + (confirmed.some(({ isMomentUnknown }) => isMomentUnknown) ? 1 : 0);
}

/** Says whether the limit is reached by a crash that no other task explains. */
function hasReachedLimit(crashes: readonly CrashRecord[]): boolean {
  const confirmed = crashes.filter(({ isConfirmed }) => isConfirmed);
  if (crashes.length < MAX_CRASHES || confirmed.length < MIN_CRASHES) return false;
  return crashes.at(-1)?.suspicion !== 'explained';
}

/** Decides whether the job of a task with these crashes, oldest first, is given up. */
export function decideGiveUp(crashes: readonly CrashRecord[]): GiveUpReason | undefined {
  const confirmed = crashes.filter(({ isConfirmed }) => isConfirmed);
  if (confirmed.length >= getMinCrashes(confirmed)) {
    if (hasCrashedAlone(crashes)) return 'crashed-alone';
    const single = listSingle(confirmed);
    if (single.length >= OFTEN_CRASHES && countMachines(single) > 1) return 'crashed-often';
  }
  return hasReachedLimit(crashes) ? 'crash-limit' : undefined;
}
