/**
 * A lower bound on the duration of a campaign over all pools: each pool reboots instances whenever
 * its budget, less the instances actually down, allows it; faults are fully known, and only reboots
 * take time. Also the baseline: one data centre after the other and one instance of a pool at a
 * time, with the same two simplifications.
 */
import { computeBudget } from 'vanilladock';
import { getRebootMs, isDown, MINUTE_MS, SECOND_MS, type Environment } from './environment.js';

const STEP_MS = 10 * SECOND_MS;
const MAX_CAMPAIGN_MS = 4 * 24 * 60 * MINUTE_MS;

/** The instances of one pool that are to be rebooted. */
interface PoolWork {
  readonly ids: readonly string[];
  readonly budget: number;
  /** Whether the instances are rebooted for the first time. */
  readonly isFirst: boolean;
}

/**
 * Computes how long one pool takes to reboot some of its instances, in milliseconds from `startMs`.
 */
function computePoolMs(
  environment: Environment,
  members: readonly string[],
  work: PoolWork,
  startMs: number,
): number {
  const waiting = [...work.ids].sort(
    (a, b) => (environment.rebootMs.get(b) ?? 0) - (environment.rebootMs.get(a) ?? 0),
  );
  const ends = new Map<string, number>();
  let endMs = startMs;
  for (
    let nowMs = startMs;
    waiting.length > 0 && nowMs < startMs + MAX_CAMPAIGN_MS;
    nowMs += STEP_MS
  ) {
    [...ends].filter(([, end]) => end <= nowMs).forEach(([id]) => ends.delete(id));
    const down = members.filter((id) => !ends.has(id) && isDown(environment, id, nowMs)).length;
    let freeBudget = work.budget - down - ends.size;
    while (freeBudget > 0) {
      const stepStartMs = nowMs;
      const index = waiting.findIndex((id) => !isDown(environment, id, stepStartMs));
      if (index < 0) break;
      const [id = ''] = waiting.splice(index, 1);
      const end = nowMs + getRebootMs(environment, id, work.isFirst);
      ends.set(id, end);
      endMs = Math.max(endMs, end);
      freeBudget -= 1;
    }
  }
  return endMs - startMs;
}

/** Groups members by pool. */
function groupByPool(pools: ReadonlyMap<string, string>): ReadonlyMap<string, readonly string[]> {
  const groups = new Map<string, string[]>();
  pools.forEach((pool, id) => groups.set(pool, [...(groups.get(pool) ?? []), id]));
  return groups;
}

/** Computes the lower bound on the duration of a campaign with this membership, in milliseconds. */
export function computeBoundMs(
  environment: Environment,
  pools: ReadonlyMap<string, string>,
  startMs: number,
  isFirst: boolean,
): number {
  const times = [...groupByPool(pools)].map(([pool, ids]) => {
    const budget = computeBudget(environment.shares.get(pool) ?? 0, ids.length);
    return budget === 0 ? 0 : computePoolMs(environment, ids, { ids, budget, isFirst }, startMs);
  });
  return Math.max(...times);
}

/** Computes the duration of the same campaign under the baseline, in milliseconds. */
export function computeBaselineMs(
  environment: Environment,
  pools: ReadonlyMap<string, string>,
  startMs: number,
  isFirst: boolean,
): number {
  const getCentre = (id: string) => environment.instances.get(id)?.location.dataCentre ?? '';
  const centres = [...new Set([...pools.keys()].map(getCentre))].sort();
  const groups = [...groupByPool(pools)];
  return centres.reduce((elapsedMs, centre) => {
    const times = groups.map(([, members]) => {
      const ids = members.filter((id) => getCentre(id) === centre);
      return computePoolMs(environment, members, { ids, budget: 1, isFirst }, startMs + elapsedMs);
    });
    return elapsedMs + Math.max(...times);
  }, 0);
}
