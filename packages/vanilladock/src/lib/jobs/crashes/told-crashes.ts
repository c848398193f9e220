/**
 * What a planner that has stopped tells its successor of crashes beside their stored records: how
 * long ago they were, and which machines have crashed, so that suspects do not wait anew and a
 * machine that fails is no witness against them.
 */
import { z } from 'zod';

/** The crash of an incarnation, with the time since it was recorded. */
export interface CrashAge {
  readonly id: string;
  readonly bornMs: number;
  /** In milliseconds. */
  readonly agoMs: number;
}

/** The crash of a machine, with the jobs that had runs there. */
export interface MachineCrashAge {
  readonly machine: string;
  /** Key of the worker's incarnation. */
  readonly incarnation: string;
  readonly jobIds: readonly string[];
  /** Time since the crash, in milliseconds. */
  readonly agoMs: number;
}

/** Crashes that a planner knows of. */
export interface ToldCrashes {
  /** Crashes under tasks that are not done. */
  readonly incarnations: readonly CrashAge[];
  readonly machines: readonly MachineCrashAge[];
}

/** Crashes, as messages and records state them. */
export const toldCrashesSchema = z.object({
  incarnations: z.array(z.object({ id: z.string(), bornMs: z.number(), agoMs: z.number() })),
  machines: z.array(
    z.object({
      machine: z.string(),
      incarnation: z.string(),
      jobIds: z.array(z.string()),
      agoMs: z.number(),
    }),
  ),
});

/** Brings the times of crashes to a moment that is so much later. */
export function addElapsedToCrashes(
  { incarnations, machines }: ToldCrashes,
  elapsedMs: number,
): ToldCrashes {
  const addAge = <T extends { readonly agoMs: number }>(crash: T): T => ({
    ...crash,
    agoMs: crash.agoMs + elapsedMs,
  });
  return { incarnations: incarnations.map(addAge), machines: machines.map(addAge) };
}
