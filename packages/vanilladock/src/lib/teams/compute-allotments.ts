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
  /** For how long nothing of the team has run there, in milliseconds, where that is known. */
  readonly idleMs?: number | undefined;
}

/** One resource of a team in one pool. */
interface Share {
  readonly used: number;
  readonly wanted: number;
  readonly unit: number;
  readonly held: number;
}

/** Relative rounding error that a sum of allotments may have. */
const ROUNDING = 1e-9;

/** Pools in order of precedence for what cannot be divided. */
type Shares = readonly Share[];

const sumAmounts = (amounts: readonly number[]) => amounts.reduce((sum, amount) => sum + amount, 0);

/** Gives each pool that waits for a task one of them, as far as the amount goes. */
function giveOneTaskEach(amount: number, shares: Shares): readonly number[] {
  let left = amount;
  return shares.map(({ wanted, unit }) => {
    const gain = unit > 0 ? Math.min(wanted, unit) : 0;
    if (gain > left) return 0;
    left -= gain;
    return gain;
  });
}

/** Divides an amount that is less than what is wanted, by wants and in whole tasks. */
function spreadByWants(amount: number, shares: Shares): readonly number[] {
  const first = giveOneTaskEach(amount, shares);
  const wants = shares.map(({ wanted }, index) => Math.max(0, wanted - (first[index] ?? 0)));
  const rest = Math.max(0, amount - sumAmounts(first));
  const totalWant = sumAmounts(wants);
  const gains = shares.map(({ unit }, index) => {
    const part = totalWant > 0 ? Math.min(1, rest / totalWant) * (wants[index] ?? 0) : 0;
    return unit > 0 ? Math.floor(part / unit) * unit : part;
  });
  let left = rest - sumAmounts(gains);
  const parts = shares.map(({ unit }, index) => {
    const gain = (first[index] ?? 0) + (gains[index] ?? 0);
    const isWanted = (gains[index] ?? 0) < (wants[index] ?? 0) && unit > 0 && unit <= left;
    if (isWanted) left -= unit;
    return isWanted ? gain + unit : gain;
  });
  // Smaller tasks than the largest may fit into the rest.
  const next = parts.findIndex((part, index) => part < (shares[index]?.wanted ?? 0));
  return parts.map((part, index) => (index === next ? part + Math.max(0, left) : part));
}

/**
 * Divides the limit by wants. A pool that uses more than its part is to get no more until enough of
 * its tasks have ended; as they may last, the others share what it does not use.
 */
function spreadAmongWaiting(limit: number, shares: Shares): readonly number[] {
  const targets = shares.map(() => 0);
  let rest = limit;
  let indexes: readonly number[] = shares.map((_, index) => index);
  for (;;) {
    const members = indexes.flatMap((index) => shares[index] ?? []);
    const parts = spreadByWants(Math.max(0, rest), members);
    indexes.forEach((index, place) => {
      targets[index] = parts[place] ?? 0;
    });
    const isAbove = (index: number) => (shares[index]?.used ?? 0) > (targets[index] ?? 0);
    const above = indexes.filter(isAbove);
    if (above.length === 0) return targets;
    rest -= sumAmounts(above.map((index) => shares[index]?.used ?? 0));
    indexes = indexes.filter((index) => !above.includes(index));
  }
}

/** Computes the allotments that suit the wants best, as if all could be changed at once. */
function computeTargets(limit: number, shares: Shares): readonly number[] {
  const wants = shares.map(({ used, wanted }) => Math.max(used, wanted));
  const surplus = limit - sumAmounts(wants);
  return surplus >= 0
    ? wants.map((want) => want + surplus / shares.length)
    : spreadAmongWaiting(limit, shares);
}

/**
 * Computes the allotments of one resource that may be sent now. Each leaves room for what may be in
 * force in the other pools; what is used there may be an overestimate and is no reason to allot it.
 * While none may be raised, none is lowered for another pool either.
 */
function computeAmounts(limit: number, shares: Shares, mayRaise: boolean): readonly number[] {
  let inForce = sumAmounts(shares.map(({ held, used }) => Math.max(held, used)));
  if (!mayRaise && inForce <= limit * (1 + ROUNDING)) return shares.map(({ held }) => held);
  const targets = computeTargets(limit, shares);
  return shares.map(({ held, used }, index) => {
    const own = Math.max(held, used);
    const highest = mayRaise ? Math.max(held, limit - (inForce - own)) : held;
    const amount = Math.min(targets[index] ?? 0, highest);
    inForce += Math.max(0, amount - own);
    return amount;
  });
}

/** Says whether a pool waits while nothing of the team runs there. */
const isIdle = ({ used, wanted }: PoolUse) =>
  RESOURCE_NAMES.every((name) => used[name] <= 0) &&
  RESOURCE_NAMES.some((name) => wanted[name] > 0);

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
  const ordered = [...uses].sort(
    ([, a], [, b]) =>
      Number(isIdle(b)) - Number(isIdle(a)) ||
      (b.idleMs ?? 0) - (a.idleMs ?? 0) ||
      b.oldestWaitMs - a.oldestWaitMs,
  );
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
