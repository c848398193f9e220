/**
 * Measurement `slots`: compares policies that share the 8 slots of each process among entries, in
 * simulated time and under several load cases. The results are tabled in docs/design/003-slots.md.
 */
import {
  chooseUpstream,
  computeSlotShares,
  createFleetDemand,
  type FleetDemand,
} from 'vanilladock';
import type { Figures, Measure } from './measure.js';
import {
  runSlotCase,
  type SlotCase,
  type SlotEntry,
  type SlotFleet,
  type SlotPolicy,
} from './slots-driver.js';

/** Slots of each process; the same as in `slots-driver.ts`. */
const SLOTS = 8;

const CASES: readonly SlotCase[] = [
  { name: 'even', load: 1.1, firstShare: 0, slowness: 1 },
  { name: 'calm', load: 0.8, firstShare: 0, slowness: 1 },
  { name: 'skewed', load: 0.9, firstShare: 0.6, slowness: 1 },
  { name: 'churn', load: 0.95, firstShare: 0, leaveAt: 0.3, joinAt: 0.7, slowness: 1 },
  { name: 'slow', load: 0.95, firstShare: 0, slowness: 5 },
];

/** Chooses the less loaded of two random processes, by the entry's own counts. */
function chooseOfTwo(entry: SlotEntry, { processes, random }: SlotFleet) {
  const candidates = processes.map((process) => ({
    id: process.id,
    address: '',
    inFlight: entry.inFlight.get(process.id) ?? 0,
    process,
  }));
  return chooseUpstream(candidates, random)?.process;
}

/** Lists the demand of the live entries. */
function listDemand({ entries }: SlotFleet) {
  return entries
    .filter(({ isLive }) => isLive)
    .map(({ id, running, queue }) => ({ id, demand: running + queue.length }));
}

/** Makes the policy `equal`: equal shares for all configured entries. */
function makeEqualPolicy(): SlotPolicy {
  return {
    name: 'equal',
    exchange: () => {},
    choose: (entry, fleet) => {
      const limit = (fleet.processes.length * SLOTS) / fleet.entries.length;
      return entry.running < Math.round(limit) ? chooseOfTwo(entry, fleet) : undefined;
    },
  };
}

/** Makes the policy `two`: the power of two choices, without limits. */
function makeOpenPolicy(): SlotPolicy {
  return { name: 'two', exchange: () => {}, choose: chooseOfTwo };
}

/**
 * Makes the policy `subset`: each entry uses three processes, and of each the same whole number of
 * slots.
 */
function makeSubsetPolicy(): SlotPolicy {
  const SUBSET = 3;
  return {
    name: 'subset',
    exchange: () => {},
    choose: (entry, fleet) => {
      const index = fleet.entries.indexOf(entry);
      const count = fleet.processes.length;
      const start = Math.floor((index * count) / fleet.entries.length);
      const sharers = (fleet.entries.length * SUBSET) / count;
      const limit = Math.round(SLOTS / sharers);
      const own = Array.from({ length: SUBSET }, (_, at) => fleet.processes[(start + at) % count]);
      return own
        .filter((process) => process !== undefined)
        .filter(({ id }) => (entry.inFlight.get(id) ?? 0) < limit)
        .sort((a, b) => (entry.inFlight.get(a.id) ?? 0) - (entry.inFlight.get(b.id) ?? 0))[0];
    },
  };
}

/** Makes the policy `demand`: shares in proportion to demand, each over all processes. */
function makeDemandPolicy(): SlotPolicy {
  let shares: ReadonlyMap<string, number> = new Map();
  return {
    name: 'demand',
    exchange: (fleet) => {
      shares = computeSlotShares('s', fleet.processes.length * SLOTS, listDemand(fleet));
    },
    choose: (entry, fleet) =>
      entry.running < (shares.get(entry.id) ?? 1) ? chooseOfTwo(entry, fleet) : undefined,
  };
}

/**
 * Makes a policy of shares in proportion to demand that assigns the slots of each process to
 * entries; `extra`, which may be negative, is added to the slots of each process.
 */
function makeDealtPolicy(name: string, extra: number): SlotPolicy {
  const demands = new Map<string, FleetDemand>();
  const dealt = new Map<string, ReadonlyMap<string, number>>();
  const reportedDemand = new Map<string, number>();
  return {
    name,
    exchange: (fleet) => {
      const ids = fleet.processes.map(({ id }) => id);
      const now = listDemand(fleet);
      now.forEach((own) => {
        const view = demands.get(own.id) ?? createFleetDemand(own.id);
        demands.set(own.id, view);
        view.retain(now.map(({ id }) => id));
        now.forEach(({ id, demand }) => {
          const known = id === own.id ? demand : (reportedDemand.get(id) ?? 0);
          view.observe(id, new Map([['s', known]]));
        });
        dealt.set(own.id, view.computeOwnSlots('s', ids, SLOTS + extra));
      });
      now.forEach(({ id, demand }) => reportedDemand.set(id, demand));
    },
    choose: (entry, { processes }) => {
      const own = dealt.get(entry.id);
      const countFree = (id: string) => (own?.get(id) ?? 0) - (entry.inFlight.get(id) ?? 0);
      return processes
        .filter(({ id }) => countFree(id) > 0)
        .sort((a, b) => countFree(b.id) - countFree(a.id))[0];
    },
  };
}

const POLICIES = [
  makeEqualPolicy,
  makeOpenPolicy,
  makeSubsetPolicy,
  makeDemandPolicy,
  () => makeDealtPolicy('strict', -1),
  () => makeDealtPolicy('dealt', 0),
  () => makeDealtPolicy('headroom', 1),
];

/**
 * Simulates every policy under every load case. The figures are named after both, such as
 * `dealt_even_goodput`; `SlotFigures` describes their values. The same seed gives the same figures.
 */
export function compareSlotPolicies(seed: number): Figures {
  const figures = POLICIES.flatMap((makePolicy) =>
    CASES.flatMap((slotCase) => {
      const policy = makePolicy();
      const result = runSlotCase(policy, slotCase, seed);
      const prefix = `${policy.name}_${slotCase.name}`;
      return [
        [`${prefix}_goodput`, result.goodput],
        [`${prefix}_lost`, result.lost],
        [`${prefix}_upstream_wait_p99_ms`, result.upstreamWaitP99Ms],
        [`${prefix}_wait_p99_ms`, result.waitP99Ms],
      ] as const;
    }),
  );
  return Object.fromEntries(figures.map(([key, value]) => [key, Number(value.toFixed(4))]));
}

/** The measurement `slots`. */
export const SLOTS_MEASURE: Measure = {
  name: 'slots',
  describe: 'policies for sharing upstream slots among entries, in simulated time',
  run: ({ seed }) => Promise.resolve(compareSlotPolicies(seed)),
};
