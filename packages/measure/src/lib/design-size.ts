/** Builds fleets of a given size for measurements: the configuration text and the workers. */
import type { Instance } from 'vanilladock';
import { stringify } from 'yaml';

/** Size of a fleet. */
export interface FleetSize {
  readonly workers: number;
  readonly pools: number;
  readonly teams: number;
  readonly services: number;
  readonly upstreams: number;
  readonly dataCentres: number;
  readonly regions: number;
}

/** The fleet size that the system is designed for. */
export const DESIGN_SIZE: FleetSize = {
  workers: 950,
  pools: 241,
  teams: 340,
  services: 5,
  upstreams: 35,
  dataCentres: 7,
  regions: 3,
};

/** Shares of the design size at which slopes are measured. */
export const SLOPE_SHARES = [0.25, 0.5, 0.75, 1] as const;

/** Scales the numbers of workers, pools and teams of the design size; the rest is unchanged. */
export function makeScaledSize(share: number): FleetSize {
  const toScale = (count: number) => Math.max(1, Math.round(count * share));
  const { workers, pools, teams } = DESIGN_SIZE;
  return {
    ...DESIGN_SIZE,
    workers: toScale(workers),
    pools: toScale(pools),
    teams: toScale(teams),
  };
}

const WORKERS_PER_RACK = 4;

/** Default settings of every configuration built here. */
export const MEASURE_DEFAULTS = {
  deadlineMs: 10_000,
  maxBodyBytes: 10_485_760,
  queueLength: 2_000,
  retryBudgetShare: 0.1,
  slots: 8,
  connections: 64,
  maxEjectedShare: 0.5,
  leaveGraceMs: 2_000,
  weight: 1,
  quotaPerSecond: 500,
  quotaCores: 400,
  maxUnavailableShare: 0.25,
  maintenanceIntervalDays: 28,
  maintenanceFrozen: false,
  maintenanceHours: [0, 24],
  drainLimitMs: 600_000,
  rebootLimitMs: 900_000,
  canaries: 1,
  keptWorkWeight: 10,
  bufferWeight: 1,
  moveWeight: 1,
  urgentReserveShare: 0.1,
  taskLeaseMs: 30_000,
} as const;

/** Makes a list of `count` values from their indices. */
function makeList<T>(count: number, make: (index: number) => T): readonly T[] {
  return Array.from({ length: count }, (_, index) => make(index));
}

/** Makes the location of the instance with an index. */
function makeLocation(size: FleetSize, index: number) {
  const rack = Math.floor(index / WORKERS_PER_RACK);
  const dataCentre = rack % size.dataCentres;
  return {
    region: `region-${dataCentre % size.regions}`,
    dataCentre: `dc-${dataCentre}`,
    rack: `rack-${rack}`,
  };
}

/**
 * Builds the configuration of a fleet as YAML; each `note` gives a different text, by a changed
 * weight of one team and the stated reason for it.
 */
export function buildConfigText(size: FleetSize, note = 0, isFrozen = false): string {
  const urgencies = ['quick', 'heavy', 'patient'] as const;
  return stringify({
    dataCentres: makeList(size.dataCentres, (index) => ({
      name: `dc-${index}`,
      region: `region-${index % size.regions}`,
    })),
    pools: makeList(size.pools, (index) => ({ name: `pool-${index}`, spare: index === 0 })),
    services: makeList(size.services, (index) => ({
      name: `service-${index}`,
      pool: `pool-${index % size.pools}`,
      urgency: urgencies[index % urgencies.length],
    })),
    teams: makeList(size.teams, (index) => ({ name: `team-${index}` })),
    defaults: { ...MEASURE_DEFAULTS, maintenanceFrozen: isFrozen },
    exceptions: [
      {
        scope: { team: 'team-0' },
        set: { weight: 1 + (note % 100) / 100 },
        author: 'measure',
        reason: `Change ${note} of a measurement.`,
      },
    ],
  });
}

/** Builds the workers of a fleet, spread over pools, data centres and racks. */
export function buildWorkers(size: FleetSize): readonly Instance[] {
  return makeList(size.workers, (index) => ({
    id: `worker-${index}`,
    role: 'worker' as const,
    address: `10.${Math.floor(index / 62_500)}.${Math.floor(index / 250) % 250}.${index % 250}:7000`,
    location: makeLocation(size, index),
    state: 'live' as const,
    attributes: { pool: `pool-${index % size.pools}` },
  }));
}
