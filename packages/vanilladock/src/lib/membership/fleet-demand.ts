/**
 * Demand over all live entries: smooths the demand that each entry reports for its services, and
 * derives this entry's slots at each upstream process.
 */
import { computeNextShare, computeSlotShares, spreadSlots } from '../admission/slot-shares.js';

/** Demand of the entries, and the slots derived from it. */
export interface FleetDemand {
  /**
   * Records the number of requests running and waiting at one entry, by service; called at each
   * exchange. A service that is absent keeps its earlier demand.
   */
  readonly observe: (entry: string, demand: ReadonlyMap<string, number>) => void;
  /** Drops all entries that are not listed, except this one. */
  readonly retain: (entries: readonly string[]) => void;
  /**
   * Computes this entry's slots at each process of a service, by process id; empty without
   * processes. Every call lets the entry's share grow by one step; see `computeNextShare`.
   * `slotsEach` is the number of requests that one process runs at once.
   */
  readonly computeOwnSlots: (
    service: string,
    processes: readonly string[],
    slotsEach: number,
  ) => ReadonlyMap<string, number>;
}

/**
 * Requests that are sent to a process beyond its slots, so that a released slot is not idle until
 * the next request has crossed the network.
 */
const TRANSIT_SLOTS = 1;
/** Weight of the newest sample in the smoothed demand. */
const SAMPLE_WEIGHT = 0.3;

/** Creates the demand of a fleet that consists of this entry only. */
export function createFleetDemand(ownId: string): FleetDemand {
  const entries = new Map<string, Map<string, number>>([[ownId, new Map()]]);
  const ownShares = new Map<string, number>();
  const updateDemand = (demandByService: Map<string, number>, service: string, demand: number) => {
    const previous = demandByService.get(service) ?? demand;
    demandByService.set(service, previous + SAMPLE_WEIGHT * (demand - previous));
  };
  return {
    observe: (entry, demand) => {
      const demandByService = entries.get(entry) ?? new Map<string, number>();
      entries.set(entry, demandByService);
      demand.forEach((value, service) => updateDemand(demandByService, service, value));
    },
    retain: (ids) => {
      [...entries.keys()]
        .filter((id) => id !== ownId && !ids.includes(id))
        .forEach((id) => entries.delete(id));
    },
    computeOwnSlots: (service, processes, slotsEach) => {
      const demands = [...entries].map(([id, demandByService]) => ({
        id,
        demand: demandByService.get(service) ?? 0,
      }));
      const slots = processes.length * (slotsEach + TRANSIT_SLOTS);
      const shares = new Map(computeSlotShares(service, slots, demands));
      const targetShare = shares.get(ownId) ?? 0;
      const currentShare = ownShares.get(service) ?? 0;
      const share = computeNextShare(currentShare, targetShare, slots / entries.size);
      ownShares.set(service, share);
      return spreadSlots(shares, ownId, processes, share);
    },
  };
}
