/**
 * What this entry may use of each service: from the demand that the entries tell one another to slots
 * at each upstream process, and from these to admission's places and the choice of upstreams.
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
  /** Upstreams of a service that may be given work now. */
  readonly listCandidates: (service: string) => readonly T[];
}

/** Shares of one entry. */
export interface EntryShares<T extends Candidate> {
  /** Takes in what this entry and its peers are asked. */
  readonly observeDemand: (
    peers: readonly Peer[],
    teams: ReadonlyMap<string, number>,
    peerCount: number,
  ) => void;
  /** Computes the places of every service anew. */
  readonly update: (config: Config, instances: readonly Instance[]) => void;
  /** Candidates at which this entry has a slot free; all of them when it has none. */
  readonly listFree: (service: string) => readonly T[];
}

/** Lists the live processes of a service, which are the same for all entries that read the list. */
function listProcesses(instances: readonly Instance[], service: string): readonly string[] {
  return instances
    .filter((one) => one.role === 'upstream' && one.state === 'live' && one.service === service)
    .map(({ id }) => id);
}

/** Time after its start in which an entry may not have heard all the entries that are listed. */
const INTRODUCTION_MS = 10_000;

/** Lists the live entries of the instance list. */
function listEntries(instances: readonly Instance[]): readonly string[] {
  return instances
    .filter(({ role, state }) => role === 'entry' && state === 'live')
    .map(({ id }) => id);
}

/**
 * Creates the shares of an entry that knows of no peer. Until it has had time to hear its peers, those
 * that the instance list shows count as sharers without demand: an entry that starts in a rush must not
 * take the slots that the others use.
 */
export function createEntryShares<T extends Candidate>(
  options: EntrySharesOptions<T>,
): EntryShares<T> {
  const { id: ownId, admission, listCandidates } = options;
  const demand = createFleetDemand(ownId);
  const introducedAtMs = performance.now() + INTRODUCTION_MS;
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
      if (performance.now() < introducedAtMs) {
        listEntries(instances).forEach((id) => demand.observe(id, new Map()));
      }
      config.services.forEach(({ name, pool }) => {
        const { slots } = resolveValues(config, { service: name, pool }, Date.now());
        const processes = listProcesses(instances, name);
        ownSlots.set(name, demand.computeOwnSlots(name, processes, slots));
        const places = listCandidates(name).reduce((sum, { id }) => sum + getSlots(name, id), 0);
        admission.setCapacity(name, places);
      });
    },
    listFree: (service) => {
      const candidates = listCandidates(service);
      const free = candidates.filter(({ id, inFlight }) => inFlight < getSlots(service, id));
      return free.length > 0 ? free : candidates;
    },
  };
}
