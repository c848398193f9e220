/**
 * What each team may use at most in one pool, as stored for the planners after this one. Load pattern:
 * planners are killed one after the other while a worker gives no report. A killed planner tells
 * nothing, and the capacity of that worker may be more than the limit of a team, so that its jobs
 * would start nowhere until the worker's lease has ended. A planner therefore starts nothing beyond
 * what is stored, and stores a higher ceiling first. Ceilings are parts of the limit by powers of
 * two, so that few changes of an allotment lead to a write.
 */
import { z } from 'zod';
import { RESOURCE_NAMES } from '../placement/resources.js';
import type { Resources } from '../ports/workers.js';

/** Ceiling of a team; a resource that is absent has none. */
export type Ceiling = Readonly<Partial<Record<(typeof RESOURCE_NAMES)[number], number>>>;

/** Ceilings by team; what a team that is absent may use is not known. */
export type TeamCeilings = Readonly<Record<string, Ceiling>>;

const amountSchema = z.number().nonnegative().optional();

/** Ceilings, as records state them. */
export const teamCeilingsSchema = z.record(
  z.string(),
  z.object({ cores: amountSchema, memoryMb: amountSchema, accelerators: amountSchema }),
);

/** What a team with a limit needs in the pool. */
export interface CeilingNeed {
  readonly limit: Resources;
  /** The larger of what it uses and what it may use now. */
  readonly need: Resources;
}

/** Ceilings of one pool; times are monotonic, in milliseconds. */
export interface CeilingKeeper {
  /** Says whether a team, which uses `used` at most, stays below its ceilings with `size` more. */
  readonly hasRoom: (team: string, used: Resources, size: Resources) => boolean;
  /**
   * Plans what to store now, for all teams with a limit; undefined if what is stored will do and
   * nothing is written anyway, or if there is no such team. What it returns is kept to from then on,
   * as the write may succeed late.
   */
  readonly plan: (
    needs: ReadonlyMap<string, CeilingNeed>,
    nowMs: number,
    isWrittenAnyway: boolean,
  ) => TeamCeilings | undefined;
  /** Lists the teams that have a ceiling. */
  readonly listTeams: () => readonly string[];
  /** Records whether the write of what was planned last was stored; not called if that is open. */
  readonly observeWrite: (isStored: boolean) => void;
}

/** Ceilings that are too high are stored after this time, in milliseconds. */
const LOWER_AFTER_MS = 2_000;

/** The lowest ceiling is the limit divided by this. */
const MAX_DIVISOR = 16;

/** Rounding error that sums of amounts may have. */
const ROUNDING = 1e-6;

/** Computes the smallest part of a limit that a need fits into. */
function computePart(limit: number, need: number): number {
  let divisor = 1;
  while (divisor < MAX_DIVISOR && limit / (2 * divisor) >= need) divisor *= 2;
  return Math.max(need, limit / divisor);
}

/** Computes the ceiling of a team; only resources with a limit have one. */
function computeCeiling({ limit, need }: CeilingNeed): Ceiling {
  return Object.fromEntries(
    RESOURCE_NAMES.filter((name) => limit[name] > 0).map((name) => [
      name,
      computePart(limit[name], need[name]),
    ]),
  );
}

/** Says whether a need is above a ceiling. */
function isBeyond(ceiling: Ceiling, { limit, need }: CeilingNeed): boolean {
  return RESOURCE_NAMES.some((name) =>
    limit[name] > 0
      ? need[name] > (ceiling[name] ?? Infinity) + ROUNDING
      : ceiling[name] !== undefined,
  );
}

/** Says whether two ceilings are the same. */
function isSameCeiling(a: Ceiling | undefined, b: Ceiling): boolean {
  return a !== undefined && RESOURCE_NAMES.every((name) => a[name] === b[name]);
}

/** Creates the keeper of a planner that has found the given ceilings. */
export function createCeilingKeeper(inherited: TeamCeilings): CeilingKeeper {
  let stored = inherited;
  let pending: TeamCeilings | undefined;
  /** Since when ceilings differ from what the needs suggest. */
  let differsSinceMs: number | undefined;
  return {
    hasRoom: (team, used, size) =>
      [stored[team], pending?.[team]].every((ceiling) =>
        RESOURCE_NAMES.every(
          (name) =>
            size[name] <= 0 || used[name] + size[name] <= (ceiling?.[name] ?? Infinity) + ROUNDING,
        ),
      ),
    plan: (needs, nowMs, isWrittenAnyway) => {
      if (needs.size === 0 && Object.keys(stored).length === 0) return undefined;
      const isHeldBack = Object.entries(stored).some(([team, ceiling]) => {
        const need = needs.get(team);
        return need === undefined || isBeyond(ceiling, need);
      });
      const ceilings = [...needs].map(
        ([team, need]) => [team, computeCeiling(need), need] as const,
      );
      const isDifferent =
        isHeldBack || ceilings.some(([team, ceiling]) => !isSameCeiling(stored[team], ceiling));
      differsSinceMs = isDifferent ? (differsSinceMs ?? nowMs) : undefined;
      const isDue = differsSinceMs !== undefined && nowMs - differsSinceMs >= LOWER_AFTER_MS;
      if (!isHeldBack && !isDue && !isWrittenAnyway) return undefined;
      // A write that only raises some ceilings leaves the others, which are soon needed again.
      const areAllDue = isDue || isWrittenAnyway;
      pending = Object.fromEntries(
        ceilings.map(([team, ceiling, need]) => {
          const before = stored[team];
          const isKept = !areAllDue && before !== undefined && !isBeyond(before, need);
          return [team, isKept ? before : ceiling];
        }),
      );
      return pending;
    },
    listTeams: () => Object.keys(stored),
    observeWrite: (isStored) => {
      if (isStored && pending !== undefined) {
        stored = pending;
        differsSinceMs = undefined;
      }
      pending = undefined;
    },
  };
}
