/**
 * Demand over all live entries: smooths what each entry tells of its services, and derives this entry's
 * slots at each upstream process.
 */
import { computeNextShare, computeSlotShares, spreadSlots } from '../admission/slot-shares.js';

/** Demand of the entries and the slots that follow from it. */
export interface FleetDemand {
  /** Takes in what one entry is asked, by service; called at each exchange. */
  readonly observe: (entry: string, demand: ReadonlyMap<string, number>) => void;
  /** Forgets the entries that are not listed. */
  readonly retain: (entries: readonly string[]) => void;
  /** Computes this entry's slots at each process of a service. */
  readonly computeOwnSlots: (
    service: string,
    processes: readonly string[],
    slotsEach: number,
  ) => ReadonlyMap<string, number>;
}

/**
 * Requests that a process is given beyond its slots, so that a slot which comes free does not stand idle
 * until the next request has crossed the network.
 */
const TRANSIT_SLOTS = 1;
/** Weight of the newest demand in the smoothed one. */
const SAMPLE_WEIGHT = 0.3;

/** Creates the demand of a fleet in which only this entry is known. */
export function createFleetDemand(ownId: string): FleetDemand {
  const entries = new Map<string, Map<string, number>>([[ownId, new Map()]]);
  const ownShares = new Map<string, number>();
  const updateDemand = (known: Map<string, number>, service: string, demand: number) => {
    const before = known.get(service) ?? demand;
    known.set(service, before + SAMPLE_WEIGHT * (demand - before));
  };
  return {
    observe: (entry, demand) => {
      const known = entries.get(entry) ?? new Map<string, number>();
      entries.set(entry, known);
      demand.forEach((value, service) => updateDemand(known, service, value));
    },
    retain: (ids) => {
      [...entries.keys()]
        .filter((id) => id !== ownId && !ids.includes(id))
        .forEach((id) => entries.delete(id));
    },
    computeOwnSlots: (service, processes, slotsEach) => {
      const demands = [...entries].map(([id, known]) => ({ id, demand: known.get(service) ?? 0 }));
      const slots = processes.length * (slotsEach + TRANSIT_SLOTS);
      const shares = new Map(computeSlotShares(service, slots, demands));
      const wanted = shares.get(ownId) ?? 0;
      const current = ownShares.get(service) ?? 0;
      const share = computeNextShare(current, wanted, slots / entries.size);
      ownShares.set(service, share);
      return spreadSlots(shares, ownId, processes, share);
    },
  };
}
