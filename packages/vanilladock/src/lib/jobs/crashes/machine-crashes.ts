/**
 * Remembers which machines have crashed and under which jobs, as a machine that also crashes
 * without a job is no witness against it.
 */
import type { WorkerEntry } from '../../ports/task-workers.js';
import type { MachineCrashAge } from './told-crashes.js';

/** A crash of a machine. */
interface MachineCrash {
  readonly machine: string;
  /** Key of the worker's incarnation. */
  readonly incarnation: string;
  /** The jobs that had runs there. */
  readonly jobIds: readonly string[];
  readonly atMs: number;
}

/** Crashes of machines. */
export interface MachineCrashes {
  readonly add: (crash: Omit<MachineCrash, 'atMs'>, nowMs: number) => void;
  /**
   * Says whether a machine has crashed lately without runs of a job; crashes of incarnations that
   * `isIgnored` do not count.
   */
  readonly hasCrashedWithout: (
    machine: string,
    jobId: string,
    nowMs: number,
    isIgnored?: (incarnation: string) => boolean,
  ) => boolean;
  /** Lists the newest crashes, as the next planner is told. */
  readonly list: (nowMs: number) => readonly MachineCrashAge[];
  /** Adds the crashes that the preceding planner has told, as of `atMs`. */
  readonly addTold: (crashes: readonly MachineCrashAge[], atMs: number) => void;
  /** Drops the crashes that a job explains. */
  readonly dropExplained: (jobId: string) => void;
}

/** How long a crash is held against its machine. */
const CRASH_TTL_MS = 60_000;

/** Number of crashes of which the next planner is told. */
const MAX_TOLD_CRASHES = 50;

/** Returns the name of a worker's machine: its instance, or its address without one. */
export function getMachine({ instance, address }: WorkerEntry): string {
  return instance ?? address;
}

/** Creates the memory without any crash. */
export function createMachineCrashes(): MachineCrashes {
  const crashesByMachine = new Map<string, readonly MachineCrash[]>();
  const dropUnless = (machine: string, isRetained: (crash: MachineCrash) => boolean) => {
    const retained = (crashesByMachine.get(machine) ?? []).filter(isRetained);
    if (retained.length === 0) crashesByMachine.delete(machine);
    else crashesByMachine.set(machine, retained);
    return retained;
  };
  const listRecent = (machine: string, nowMs: number) =>
    dropUnless(machine, ({ atMs }) => nowMs - atMs <= CRASH_TTL_MS);
  const addCrash = (crash: MachineCrash, nowMs: number) => {
    const known = listRecent(crash.machine, nowMs);
    crashesByMachine.set(crash.machine, [...known, crash]);
  };
  return {
    add: (crash, nowMs) => addCrash({ ...crash, atMs: nowMs }, nowMs),
    list: (nowMs) =>
      [...crashesByMachine.keys()]
        .flatMap((machine) => listRecent(machine, nowMs))
        .map(({ atMs, ...crash }) => ({ ...crash, agoMs: nowMs - atMs }))
        .sort((a, b) => a.agoMs - b.agoMs)
        .slice(0, MAX_TOLD_CRASHES),
    addTold: (crashes, atMs) =>
      crashes.forEach(({ agoMs, ...crash }) => addCrash({ ...crash, atMs: atMs - agoMs }, atMs)),
    hasCrashedWithout: (machine, jobId, nowMs, isIgnored = () => false) =>
      listRecent(machine, nowMs).some(
        ({ jobIds, incarnation }) => !jobIds.includes(jobId) && !isIgnored(incarnation),
      ),
    dropExplained: (jobId) =>
      [...crashesByMachine.keys()].forEach((machine) =>
        dropUnless(machine, ({ jobIds }) => !jobIds.includes(jobId)),
      ),
  };
}
