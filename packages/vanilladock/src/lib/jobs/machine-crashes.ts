/**
 * Remembers which machines have crashed and under which jobs, as a machine that also crashes
 * without a job is no witness against it.
 */
import type { WorkerEntry } from '../ports/task-workers.js';

/** Crashes of machines. */
export interface MachineCrashes {
  /** Records a crash with the jobs that had runs on the machine. */
  readonly add: (machine: string, jobIds: readonly string[], nowMs: number) => void;
  /** Says whether a machine has crashed lately without runs of a job. */
  readonly hasCrashedWithout: (machine: string, jobId: string, nowMs: number) => boolean;
  /** Drops the crashes that a job explains. */
  readonly dropExplained: (jobId: string) => void;
}

/** A crash of a machine. */
interface MachineCrash {
  readonly jobIds: readonly string[];
  readonly atMs: number;
}

/** How long a crash is held against its machine. */
const CRASH_TTL_MS = 60_000;

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
  return {
    add: (machine, jobIds, nowMs) => {
      const known = listRecent(machine, nowMs);
      crashesByMachine.set(machine, [...known, { jobIds, atMs: nowMs }]);
    },
    hasCrashedWithout: (machine, jobId, nowMs) =>
      listRecent(machine, nowMs).some(({ jobIds }) => !jobIds.includes(jobId)),
    dropExplained: (jobId) =>
      [...crashesByMachine.keys()].forEach((machine) =>
        dropUnless(machine, ({ jobIds }) => !jobIds.includes(jobId)),
      ),
  };
}
