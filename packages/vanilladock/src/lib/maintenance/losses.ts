/**
 * Detects unplanned losses and returns from the platform's instance list. The list lags and may
 * omit an instance briefly, so an absence counts as a loss only after some time; a return counts at
 * once. The absence of an instance with a permit is expected and left to the executor.
 */
import { Map } from 'immutable';
import { getPool } from '../pools/fold.js';
import type { Instance } from '../topology.js';
import type { CapacityState } from './capacity.js';

/** The platform's list as last read. */
export interface ListReading {
  readonly instances: ReadonlyMap<string, Instance>;
  /** Monotonic time just before the list was requested, in milliseconds. */
  readonly requestedAtMs: number;
}

/** Monotonic time, in milliseconds, since which each instance has been missing or leaving. */
export type Absences = Map<string, number>;

/** Creates the absences of a planner that has just taken over. */
export function createAbsences(): Absences {
  return Map();
}

/** Ids of instances whose loss or return is to be recorded, and the absences for the next plan. */
export interface LossPlan {
  readonly absences: Absences;
  readonly lost: readonly string[];
  readonly returned: readonly string[];
}

/** Share of a failure domain's members from which the whole domain counts as lost. */
const MIN_LOST_DOMAIN_SHARE = 0.5;

/** Says whether the list shows an instance as live, which means that it may take work. */
export function isLive(list: ListReading, instanceId: string): boolean {
  return list.instances.get(instanceId)?.state === 'live';
}

/**
 * Plans which losses and returns to record; an absence of `lostAfterMs` or more is a loss. Losses
 * that are already recorded are not listed again.
 */
export function planObservation(
  fleet: CapacityState,
  absences: Absences,
  list: ListReading,
  lostAfterMs: number,
): LossPlan {
  const { permits, lost } = fleet.maintenance;
  const members = [...fleet.pools.memberships]
    .filter(([, { kind }]) => kind === 'member')
    .map(([id]) => id);
  const absent = members.filter((id) => !permits.has(id) && !isLive(list, id));
  const nextAbsences = Map(absent.map((id) => [id, absences.get(id) ?? list.requestedAtMs]));
  return {
    absences: nextAbsences,
    lost: absent.filter(
      (id) => !lost.has(id) && list.requestedAtMs - (nextAbsences.get(id) ?? 0) >= lostAfterMs,
    ),
    returned: [...lost.keys()].filter((id) => isLive(list, id)),
  };
}

/** Lists the failure domains of an instance that can be lost as a whole. */
function listDomains({ location }: Instance): readonly string[] {
  return [location.dataCentre, `${location.dataCentre}/${location.rack}`];
}

/** Counts instances by failure domain. */
function countByDomain(instances: Iterable<Instance>): ReadonlyMap<string, number> {
  const counts = new globalThis.Map<string, number>();
  for (const instance of instances) {
    listDomains(instance).forEach((domain) => counts.set(domain, (counts.get(domain) ?? 0) + 1));
  }
  return counts;
}

/**
 * Lists the data centres and racks (`dataCentre/rack`) that have lost at least two members and at
 * least half of them.
 */
export function listLostDomains(
  fleet: CapacityState,
  locations: ReadonlyMap<string, Instance>,
): ReadonlySet<string> {
  const lost = [...fleet.maintenance.lost.keys()].flatMap((id) => locations.get(id) ?? []);
  const suspects = [...countByDomain(lost)].filter(([, count]) => count > 1);
  if (suspects.length === 0) return new Set();
  const members = [...locations.values()].filter(
    ({ id }) => getPool(fleet.pools, id) !== undefined,
  );
  const totals = countByDomain(members);
  return new Set(
    suspects
      .filter(([domain, count]) => count >= (totals.get(domain) ?? 0) * MIN_LOST_DOMAIN_SHARE)
      .map(([domain]) => domain),
  );
}

/** Says whether an instance belongs to one of the lost domains. */
export function isInLostDomain(domains: ReadonlySet<string>, instance: Instance): boolean {
  const { dataCentre, rack } = instance.location;
  return domains.has(dataCentre) || domains.has(`${dataCentre}/${rack}`);
}
