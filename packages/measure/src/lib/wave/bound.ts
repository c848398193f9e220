/**
 * The least time that a campaign over all pools can take: each pool reboots whenever its budget,
 * less what is truly down, has room, with full knowledge of the faults, and nothing but reboots
 * takes time. Also the baseline: one data centre after the other, one instance of a pool at a time,
 * knowing as much and spending as little on anything but reboots.
 */
import { computeBudget } from 'vanilladock';
import { getRebootMs, isDown, MINUTE_MS, SECOND_MS, type World } from './world.js';

const STEP_MS = 10 * SECOND_MS;
const LONGEST_MS = 4 * 24 * 60 * MINUTE_MS;

/** Instances of one pool, each with its reboot time. */
interface PoolWork {
  readonly ids: readonly string[];
  readonly budget: number;
  /** Whether the instances are rebooted for the first time. */
  readonly isFirst: boolean;
}

/** Computes how long one pool takes over some of its instances from a start on. */
function computePoolMs(
  world: World,
  members: readonly string[],
  work: PoolWork,
  startMs: number,
): number {
  const waiting = [...work.ids].sort(
    (a, b) => (world.rebootMs.get(b) ?? 0) - (world.rebootMs.get(a) ?? 0),
  );
  const ends = new Map<string, number>();
  let endMs = startMs;
  for (let nowMs = startMs; waiting.length > 0 && nowMs < startMs + LONGEST_MS; nowMs += STEP_MS) {
    [...ends].filter(([, end]) => end <= nowMs).forEach(([id]) => ends.delete(id));
    const down = members.filter((id) => !ends.has(id) && isDown(world, id, nowMs)).length;
    let room = work.budget - down - ends.size;
    while (room > 0) {
      const at = nowMs;
      const index = waiting.findIndex((id) => !isDown(world, id, at));
      if (index < 0) break;
      const [id = ''] = waiting.splice(index, 1);
      const end = nowMs + getRebootMs(world, id, work.isFirst);
      ends.set(id, end);
      endMs = Math.max(endMs, end);
      room -= 1;
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

/** Computes the least time of a campaign that starts at a time with this membership. */
export function computeBoundMs(
  world: World,
  pools: ReadonlyMap<string, string>,
  startMs: number,
  isFirst: boolean,
): number {
  const times = [...groupByPool(pools)].map(([pool, ids]) => {
    const budget = computeBudget(world.shares.get(pool) ?? 0, ids.length);
    return budget === 0 ? 0 : computePoolMs(world, ids, { ids, budget, isFirst }, startMs);
  });
  return Math.max(...times);
}

/** Computes the time of the baseline for the same campaign. */
export function computeBaselineMs(
  world: World,
  pools: ReadonlyMap<string, string>,
  startMs: number,
  isFirst: boolean,
): number {
  const getCentre = (id: string) => world.instances.get(id)?.location.dataCentre ?? '';
  const centres = [...new Set([...pools.keys()].map(getCentre))].sort();
  const groups = [...groupByPool(pools)];
  return centres.reduce((tookMs, centre) => {
    const times = groups.map(([, members]) => {
      const ids = members.filter((id) => getCentre(id) === centre);
      return computePoolMs(world, members, { ids, budget: 1, isFirst }, startMs + tookMs);
    });
    return tookMs + Math.max(...times);
  }, 0);
}
