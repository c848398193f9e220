/**
 * Divides the limit of one team among the planners of its pools. Load pattern: queues peak by turns,
 * so that one pool at a time needs most of a team's limit. Each planner starts tasks up to its
 * allotment without asking; the allotments that may be in force at any moment add up to the limit at
 * most. What a pool no longer needs is taken back first and given to others once its planner has
 * confirmed that.
 */
import { RESOURCE_NAMES } from '../placement/resources.js';
import type { Resources } from '../ports/workers.js';

/** A team in one pool, as its planner last reported it and as allotments were last sent to it. */
export interface PoolUse {
  /** What the team's tasks use, at most. */
  readonly used: Resources;
  /** What its tasks use or could use at once, if they all ran. */
  readonly wanted: Resources;
  /** The most of each resource that one of the waiting tasks needs. */
  readonly unit: Resources;
  /** The largest allotment that may be in force. */
  readonly held: Resources;
  /** How long the oldest of its waiting jobs has waited, in milliseconds. */
  readonly oldestWaitMs: number;
}

/** One resource of a team in one pool. */
interface Share {
  readonly used: number;
  readonly wanted: number;
  readonly unit: number;
  readonly held: number;
}

/**
 * Distributes what is free among the needs in whole tasks; shares come in order of precedence for
 * what is left after rounding down.
 */
function spreadByNeed(free: number, shares: readonly Share[], needs: readonly number[]) {
  const totalNeed = needs.reduce((sum, need) => sum + need, 0);
  const gains = shares.map(({ unit }, index) => {
    const part = (free * (needs[index] ?? 0)) / totalNeed;
    return unit > 0 ? Math.floor(part / unit) * unit : part;
  });
  let left = free - gains.reduce((sum, gain) => sum + gain, 0);
  return shares.map(({ unit }, index) => {
    const gain = gains[index] ?? 0;
    const isNeeded = gain < (needs[index] ?? 0) && unit > 0 && unit <= left;
    if (isNeeded) left -= unit;
    return isNeeded ? gain + unit : gain;
  });
}

/** Computes the allotments that suit the needs best, as if all could be changed at once. */
function computeTargets(limit: number, shares: readonly Share[]): readonly number[] {
  const free = limit - shares.reduce((sum, { used }) => sum + used, 0);
  if (free <= 0) return shares.map(({ used }) => used);
  const needs = shares.map(({ used, wanted }) => Math.max(0, wanted - used));
  const surplus = free - needs.reduce((sum, need) => sum + need, 0);
  const gains =
    surplus >= 0
      ? needs.map((need) => need + surplus / shares.length)
      : spreadByNeed(free, shares, needs);
  return shares.map(({ used }, index) => used + (gains[index] ?? 0));
}

/**
 * Computes the allotments of one resource that may be sent now. Each leaves room for what may be in
 * force in the other pools; what is used there may be an overestimate and is no reason to allot it.
 */
function computeAmounts(
  limit: number,
  shares: readonly Share[],
  mayRaise: boolean,
): readonly number[] {
  const targets = computeTargets(limit, shares);
  let inForce = shares.reduce((sum, { held, used }) => sum + Math.max(held, used), 0);
  return shares.map(({ held, used }, index) => {
    const own = Math.max(held, used);
    const highest = mayRaise ? Math.max(held, limit - (inForce - own)) : held;
    const amount = Math.min(targets[index] ?? 0, highest);
    inForce += Math.max(0, amount - own);
    return amount;
  });
}

/**
 * Computes the allotments of a team by pool. With `mayRaise` false, as long as the use of some pool
 * is not known, allotments are only lowered. A resource without a limit is allotted 0.
 */
export function computeAllotments(
  limit: Resources,
  uses: ReadonlyMap<string, PoolUse>,
  mayRaise: boolean,
): ReadonlyMap<string, Resources> {
  // One order for all resources, so that what is left of each goes to the same pool.
  const ordered = [...uses].sort(([, a], [, b]) => b.oldestWaitMs - a.oldestWaitMs);
  const amounts = RESOURCE_NAMES.map((name) => {
    const shares = ordered.map(([, { used, wanted, unit, held }]) => ({
      used: used[name],
      wanted: wanted[name],
      unit: unit[name],
      held: held[name],
    }));
    return limit[name] > 0 ? computeAmounts(limit[name], shares, mayRaise) : shares.map(() => 0);
  });
  const [cores = [], memoryMb = [], accelerators = []] = amounts;
  return new Map(
    ordered.map(([pool], index) => [
      pool,
      {
        cores: cores[index] ?? 0,
        memoryMb: memoryMb[index] ?? 0,
        accelerators: accelerators[index] ?? 0,
      },
    ]),
  );
}
