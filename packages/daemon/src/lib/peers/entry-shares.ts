/**
 * This entry's share of each service. Its slots at each upstream process are computed from the
 * demand that the entries exchange; they determine its admission capacity and the upstreams that it
 * prefers.
 */
import {
  createFleetDemand,
  resolveValues,
  type Admission,
  type Candidate,
  type Config,
  type Instance,
  type Peer,
} from 'vanilladock';

/** What the shares need from the entry. */
export interface EntrySharesOptions<T extends Candidate> {
  readonly id: string;
  readonly admission: Admission;
  /** Lists the upstreams of a service that currently accept work. */
  readonly listCandidates: (service: string) => readonly T[];
}

/** The shares of one entry. */
export interface EntryShares<T extends Candidate> {
  /**
   * Records the demand on this entry and on `peers`, which replace the earlier ones; `teams` is the
   * peers' demand by team, in requests per second, and `peerCount` is their number.
   */
  readonly observeDemand: (
    peers: readonly Peer[],
    teams: ReadonlyMap<string, number>,
    peerCount: number,
  ) => void;
  /**
   * Recomputes the slots and the admission capacity of every configured service from the newest
   * list of instances. Until the first call, this entry has no slots.
   */
  readonly update: (config: Config, instances: readonly Instance[]) => void;
  /** Lists the candidates at which this entry has a free slot; all of them when there is none. */
  readonly listFreeCandidates: (service: string) => readonly T[];
}

/** Lists the live upstream processes of a service; all entries that read the list agree on them. */
function listProcesses(instances: readonly Instance[], service: string): readonly string[] {
  return instances
    .filter(
      (instance) =>
        instance.role === 'upstream' && instance.state === 'live' && instance.service === service,
    )
    .map(({ id }) => id);
}

/** Time after its start in which an entry may not yet have heartbeats of all listed entries. */
const DISCOVERY_MS = 10_000;

/** Lists the live entries of the instance list. */
function listEntries(instances: readonly Instance[]): readonly string[] {
  return instances
    .filter(({ role, state }) => role === 'entry' && state === 'live')
    .map(({ id }) => id);
}

/**
 * Creates the shares of an entry that knows no peer yet. For the first `DISCOVERY_MS`, the entries
 * on the instance list count as sharers without demand, so that an entry that starts under high
 * load does not take the slots that the others use.
 */
export function createEntryShares<T extends Candidate>(
  options: EntrySharesOptions<T>,
): EntryShares<T> {
  const { id: ownId, admission, listCandidates } = options;
  const demand = createFleetDemand(ownId);
  const discoveryEndsAtMs = performance.now() + DISCOVERY_MS;
  const ownSlots = new Map<string, ReadonlyMap<string, number>>();
  const getSlots = (service: string, process: string) => ownSlots.get(service)?.get(process) ?? 0;
  return {
    observeDemand: (peers, teams, peerCount) => {
      demand.retain(peers.map(({ id }) => id));
      demand.observe(ownId, admission.getDemand().services);
      peers.forEach((peer) => demand.observe(peer.id, peer.demand));
      admission.setPeerDemand(teams, peerCount);
    },
    update: (config, instances) => {
      if (performance.now() < discoveryEndsAtMs) {
        listEntries(instances).forEach((id) => demand.observe(id, new Map()));
      }
      config.services.forEach(({ name, pool }) => {
        const { slots } = resolveValues(config, { service: name, pool }, Date.now());
        const processes = listProcesses(instances, name);
        ownSlots.set(name, demand.computeOwnSlots(name, processes, slots));
        const capacity = listCandidates(name).reduce((sum, { id }) => sum + getSlots(name, id), 0);
        admission.setCapacity(name, capacity);
      });
    },
    listFreeCandidates: (service) => {
      const candidates = listCandidates(service);
      const free = candidates.filter(({ id, inFlight }) => inFlight < getSlots(service, id));
      return free.length > 0 ? free : candidates;
    },
  };
}
