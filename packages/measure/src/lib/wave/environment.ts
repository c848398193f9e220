/**
 * The simulated environment of the wave measurement: 950 instances in 7 data centres and 241 pools,
 * with a trace of failures, restarts, the loss of one rack and of one data centre. Everything is
 * drawn from the seed before the simulation starts, so that the core, its baseline and the bound
 * are measured under the same faults.
 */
import type { Instance, Random } from 'vanilladock';

/** Number of instances. */
export const INSTANCES = 950;
/** Number of pools. */
export const POOLS = 241;
/** Length of the simulation, in days. */
export const SIMULATED_DAYS = 28;
/** One second, in milliseconds. */
export const SECOND_MS = 1000;
/** One minute, in milliseconds. */
export const MINUTE_MS = 60 * SECOND_MS;
/** One hour, in milliseconds. */
export const HOUR_MS = 60 * MINUTE_MS;
/** One day, in milliseconds. */
export const DAY_MS = 24 * HOUR_MS;

const DATA_CENTRES = [
  { name: 'hobart', region: 'south' },
  { name: 'huonville', region: 'south' },
  { name: 'kingston', region: 'south' },
  { name: 'launceston', region: 'north' },
  { name: 'devonport', region: 'north' },
  { name: 'burnie', region: 'west' },
  { name: 'strahan', region: 'west' },
] as const;
/** Instances in each rack. */
const RACK_SIZE = 4;
const MIN_POOL_SIZE = 2;
const FAILURES_A_DAY = 5;
const RESTARTS_A_DAY = 350;
/** One in this many pools allows only the strict share to be unavailable. */
const STRICT_POOL_INTERVAL = 5;
const STRICT_UNAVAILABLE_SHARE = 0.1;
const DEFAULT_UNAVAILABLE_SHARE = 0.25;
const REBOOT_MS = 10 * MINUTE_MS;
/** Largest deviation of a reboot from `REBOOT_MS`, as a share of it. */
const REBOOT_SPREAD = 0.1;
const REBOOT_FAILURE_PROBABILITY = 0.003;
const REPAIR_MS = HOUR_MS;

/** An interval during which an instance is down without a permit. */
export interface Downtime {
  readonly fromMs: number;
  readonly untilMs: number;
}

/** The fleet and all events that will affect it. */
export interface Environment {
  readonly instances: ReadonlyMap<string, Instance>;
  /** Initial pool of each instance. */
  readonly pools: ReadonlyMap<string, string>;
  /** Share of each pool that may be unavailable at once. */
  readonly shares: ReadonlyMap<string, number>;
  /** Unplanned downtimes of each instance, sorted by start. */
  readonly downtimes: ReadonlyMap<string, readonly Downtime[]>;
  /** Duration of a planned reboot of each instance, in milliseconds. */
  readonly rebootMs: ReadonlyMap<string, number>;
  /** Instances whose first planned reboot fails and takes a repair of one hour. */
  readonly failingReboots: ReadonlySet<string>;
}

/** Picks a non-negative integer below the limit. */
export function pickInteger(random: Random, limit: number): number {
  return Math.floor(random() * limit);
}

/** Makes the instances, assigned to data centres in turn and within each one to racks of four. */
function makeInstances(): readonly Instance[] {
  return Array.from({ length: INSTANCES }, (_, index) => {
    const centre = DATA_CENTRES[index % DATA_CENTRES.length] ?? DATA_CENTRES[0];
    const rack = Math.floor(index / DATA_CENTRES.length / RACK_SIZE);
    return {
      id: `i${String(index).padStart(3, '0')}`,
      role: 'worker',
      address: `10.0.${index >> 8}.${index & 255}:9000`,
      location: { region: centre.region, dataCentre: centre.name, rack: `r${rack}` },
      state: 'live',
      attributes: {},
    };
  });
}

/** Makes pool sizes: two instances each, and the rest distributed in proportion to 1 / rank. */
function makePoolSizes(): readonly number[] {
  const extraInstances = INSTANCES - POOLS * MIN_POOL_SIZE;
  const weights = Array.from({ length: POOLS }, (_, rank) => 1 / (rank + 1));
  const total = weights.reduce((sum, weight) => sum + weight, 0);
  const sizes = weights.map(
    (weight) => MIN_POOL_SIZE + Math.floor((extraInstances * weight) / total),
  );
  const placed = sizes.reduce((sum, size) => sum + size, 0);
  return sizes.map((size, rank) => size + (rank < INSTANCES - placed ? 1 : 0));
}

/** Returns a shuffled copy of the items. */
function shuffle<T>(items: readonly T[], random: Random): readonly T[] {
  return items
    .map((item) => ({ item, key: random() }))
    .sort((a, b) => a.key - b.key)
    .map(({ item }) => item);
}

/** Draws failures and restarts of single instances over the whole simulation. */
function makeSingleDowntimes(ids: readonly string[], random: Random) {
  const makeDowntimes = (count: number, minMs: number, maxMs: number) =>
    Array.from({ length: count * SIMULATED_DAYS }, () => {
      const fromMs = random() * SIMULATED_DAYS * DAY_MS;
      const id = ids[pickInteger(random, ids.length)] ?? '';
      return { id, fromMs, untilMs: fromMs + minMs + random() * (maxMs - minMs) };
    });
  return [
    ...makeDowntimes(FAILURES_A_DAY, HOUR_MS / 2, 4 * HOUR_MS),
    ...makeDowntimes(RESTARTS_A_DAY, MINUTE_MS, 3 * MINUTE_MS),
  ];
}

/**
 * Losses of whole failure domains: a data centre during the first campaign, a rack during the
 * second.
 */
export const DOMAIN_LOSSES = {
  dataCentre: { fromMs: 1.5 * HOUR_MS, untilMs: 3.5 * HOUR_MS },
  rack: { fromMs: 25.2 * DAY_MS + 2 * HOUR_MS, untilMs: 25.2 * DAY_MS + 3 * HOUR_MS },
} as const;

/**
 * Creates the fleet and draws its pools, all its downtimes and its reboot times from `random`; the
 * same random numbers give the same environment.
 */
export function createEnvironment(random: Random): Environment {
  const instances = makeInstances();
  const ids = instances.map(({ id }) => id);
  const names = makePoolSizes().flatMap((size, rank) =>
    Array.from({ length: size }, () => `pool-${String(rank).padStart(3, '0')}`),
  );
  const shuffled = shuffle(ids, random);
  const pools = new Map(shuffled.map((id, index) => [id, names[index] ?? '']));
  const lostCentre = DATA_CENTRES[pickInteger(random, DATA_CENTRES.length)]?.name;
  const lostRack = instances[pickInteger(random, INSTANCES)]?.location;
  const events = makeSingleDowntimes(ids, random);
  const downtimes = new Map<string, Downtime[]>(ids.map((id) => [id, []]));
  events.forEach(({ id, fromMs, untilMs }) => downtimes.get(id)?.push({ fromMs, untilMs }));
  instances.forEach(({ id, location }) => {
    if (location.dataCentre === lostCentre) downtimes.get(id)?.push(DOMAIN_LOSSES.dataCentre);
    const isInRack =
      location.dataCentre === lostRack?.dataCentre && location.rack === lostRack.rack;
    if (isInRack) downtimes.get(id)?.push(DOMAIN_LOSSES.rack);
  });
  downtimes.forEach((list) => list.sort((a, b) => a.fromMs - b.fromMs));
  const shares = Array.from({ length: POOLS }, (_, rank) => {
    const share =
      rank % STRICT_POOL_INTERVAL === 0 ? STRICT_UNAVAILABLE_SHARE : DEFAULT_UNAVAILABLE_SHARE;
    return [`pool-${String(rank).padStart(3, '0')}`, share] as const;
  });
  return {
    instances: new Map(instances.map((instance) => [instance.id, instance])),
    pools,
    shares: new Map(shares),
    downtimes,
    rebootMs: new Map(
      ids.map((id) => [id, REBOOT_MS * (1 - REBOOT_SPREAD + 2 * REBOOT_SPREAD * random())]),
    ),
    failingReboots: new Set(ids.filter(() => random() < REBOOT_FAILURE_PROBABILITY)),
  };
}

/**
 * Gets the duration of an instance's planned reboot, in milliseconds; the first one may include a
 * repair.
 */
export function getRebootMs(environment: Environment, id: string, isFirst: boolean): number {
  const repairMs = isFirst && environment.failingReboots.has(id) ? REPAIR_MS : 0;
  return (environment.rebootMs.get(id) ?? 0) + repairMs;
}

/** Says whether an instance is down without a permit at `atMs`. */
export function isDown(environment: Environment, id: string, atMs: number): boolean {
  return (environment.downtimes.get(id) ?? []).some(
    ({ fromMs, untilMs }) => fromMs <= atMs && atMs < untilMs,
  );
}
