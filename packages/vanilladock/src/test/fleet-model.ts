/**
 * Model of a small fleet whose steps are chosen by tests: planners that race for both duties,
 * entries that apply the log with a delay, a log that is unavailable or loses responses, and
 * passing time. The fence, the barrier and the budget can be omitted to show that the checks of
 * `fleet-model-checks.ts` then find a fault.
 */
import { Map as ImmutableMap } from 'immutable';
import type { LogRecord } from '../lib/log/record.js';
import {
  createCapacityState,
  foldCapacity,
  type CapacityState,
} from '../lib/maintenance/capacity.js';
import type { PolicyOf } from '../lib/maintenance/policy.js';
import { decideJoin, type AcknowledgementObservation } from '../lib/pools/barrier.js';
import { MAINTENANCE_DUTY, MOVES_DUTY } from '../lib/pools/fences.js';
import { countMembers, getPool } from '../lib/pools/fold.js';
import { POLICY, type Body } from './fleet-records.js';

/** The safeguard that the model omits, to show which fault it prevents. */
export type Omission = 'nothing' | 'fence' | 'barrier' | 'budget';

export interface Planner {
  readonly applied: number;
  readonly movesFence: number;
  readonly wavesFence: number;
  /** Offset of the planner's newest record; the planner plans nothing before it has read it. */
  readonly lastAppend: number;
  /** When the planner first read the newest acknowledgement of each entry. */
  readonly sightings: readonly AcknowledgementObservation[];
}

export interface Entry {
  readonly applied: number;
  /** Time until which the entry may route, measured from before it sent its acknowledgement. */
  readonly leaseEndMs: number;
  readonly pending: { readonly offset: number; readonly sentMs: number } | undefined;
}

export interface Model {
  readonly records: readonly LogRecord[];
  readonly states: readonly CapacityState[];
  readonly planners: readonly Planner[];
  readonly entries: readonly Entry[];
  readonly nowMs: number;
  readonly isLogUnavailable: boolean;
}

export const LEASE_MS = 10;
/** Minimum number of instances in a pool, which planners check only against what they have read. */
export const MIN_INSTANCES = 2;
const SETTINGS = { leaseMs: LEASE_MS, renewMs: 3, driftShare: 0 };
export const getPolicy: PolicyOf = () => ({ ...POLICY, maxUnavailableShare: 0.5 });

export const getFleet = (model: Model, applied = model.records.length - 1): CapacityState =>
  model.states[applied + 1] ?? createCapacityState();

/** Omits the fence or the barrier of a record by filling in the values that the fold accepts. */
const applyOmission = (record: LogRecord, state: CapacityState, omission: Omission): LogRecord => {
  const fence =
    'instanceId' in record && 'fence' in record && omission === 'fence'
      ? {
          fence:
            record.kind === 'maintenance.permit'
              ? state.maintenance.fences.get(MAINTENANCE_DUTY, -1)
              : state.pools.fences.get(MOVES_DUTY, -1),
        }
      : {};
  const barrier =
    record.kind === 'pool.join' && omission === 'barrier'
      ? {
          lapsed: [...state.pools.entries].map(([entryId, { offset }]) => {
            return { entryId, acknowledgementOffset: offset };
          }),
        }
      : {};
  return { ...record, ...fence, ...barrier };
};

export const appendTo = (
  model: Model,
  body: Body,
  omission: Omission = 'nothing',
  id = `r${model.records.length}`,
): Model => {
  const head = { version: 1, id, by: 'e', at: 0 } as const;
  const state = getFleet(model);
  const record = applyOmission({ ...head, ...body }, state, omission);
  const policy: PolicyOf =
    omission === 'budget' ? () => ({ ...POLICY, maxUnavailableShare: 1 }) : getPolicy;
  const next = foldCapacity(state, { offset: model.records.length, record }, policy);
  return { ...model, records: [...model.records, record], states: [...model.states, next] };
};

/** Creates a model with `size` instances in pool `a`, two in pool `b`, and all records applied. */
export const createModel = (planners: number, entries: number, size: number): Model => {
  const empty: Model = {
    records: [],
    states: [createCapacityState()],
    planners: [],
    entries: [],
    nowMs: 0,
    isLogUnavailable: false,
  };
  const makeClaim = (duty: string): Body => ({ kind: 'duty.claim', duty, follows: -1, leaseMs: 1 });
  let model = appendTo(appendTo(empty, makeClaim(MOVES_DUTY)), makeClaim(MAINTENANCE_DUTY));
  const ids = Array.from({ length: size }, (_, index) => ['a', `a-${index}`] as const);
  [...ids, ['b', 'b-0'] as const, ['b', 'b-1'] as const].forEach(([pool, instanceId]) => {
    model = appendTo(model, { kind: 'pool.join', instanceId, pool, releaseOffset: -1, fence: 0 });
  });
  for (let index = 0; index < entries; index += 1) {
    const appliedOffset = model.records.length - 1;
    model = appendTo(model, { kind: 'pool.acknowledgement', entryId: `e${index}`, appliedOffset });
  }
  const applied = model.records.length - 1;
  const observations = Array.from({ length: entries }, (_, index) => ({
    acknowledgementOffset: applied - entries + 1 + index,
    readAtMs: 0,
  }));
  const first = { applied, movesFence: 0, wavesFence: 1, lastAppend: 1, sightings: observations };
  const rival = { ...first, movesFence: -1, wavesFence: -1 };
  return {
    ...model,
    planners: Array.from({ length: planners }, (_, index) => (index === 0 ? first : rival)),
    entries: Array.from({ length: entries }, () => ({
      applied,
      leaseEndMs: LEASE_MS,
      pending: undefined,
    })),
  };
};

const updateAt = <T>(items: readonly T[], index: number, change: (item: T) => T): readonly T[] =>
  items.map((item, position) => (position === index ? change(item) : item));

/** Lets a planner read the log, which records the time of new acknowledgements. */
export const readPlanner = (model: Model, index: number): Model => {
  const applied = model.records.length - 1;
  const acknowledgements = getFleet(model).pools.entries;
  const observe = (planner: Planner): Planner => ({
    ...planner,
    applied,
    sightings: planner.sightings.map((observation, entryIndex) => {
      const offset =
        acknowledgements.get(`e${entryIndex}`)?.offset ?? observation.acknowledgementOffset;
      if (offset === observation.acknowledgementOffset) return observation;
      return { acknowledgementOffset: offset, readAtMs: model.nowMs };
    }),
  });
  return { ...model, planners: updateAt(model.planners, index, observe) };
};

/** Lets an entry read the log, which confirms its own acknowledgement. */
export const readEntry = (model: Model, index: number): Model => {
  const observe = (entry: Entry): Entry => {
    const { pending } = entry;
    const leaseEndMs = pending ? pending.sentMs + LEASE_MS : entry.leaseEndMs;
    return { applied: model.records.length - 1, leaseEndMs, pending: undefined };
  };
  return { ...model, entries: updateAt(model.entries, index, observe) };
};

/** Appends the acknowledgement of an entry, unless one is pending. */
export const sendAcknowledgement = (model: Model, index: number): Model => {
  const entry = model.entries[index];
  if (entry === undefined || entry.pending !== undefined || model.isLogUnavailable) return model;
  const offset = model.records.length;
  const next = appendTo(model, {
    kind: 'pool.acknowledgement',
    entryId: `e${index}`,
    appliedOffset: entry.applied,
  });
  const pending = { offset, sentMs: model.nowMs };
  const entries = updateAt(next.entries, index, (it) => ({ ...it, pending }));
  return { ...next, entries };
};

/** Claims both duties according to what the planner has read, and keeps the resulting fences. */
export const appendClaimsOf = (model: Model, index: number): Model => {
  const planner = model.planners[index];
  if (planner === undefined || model.isLogUnavailable) return model;
  const fleet = getFleet(model, planner.applied);
  const movesFence = model.records.length;
  const moves = fleet.pools.fences.get(MOVES_DUTY, -1);
  const waves = fleet.maintenance.fences.get(MAINTENANCE_DUTY, -1);
  const claimed = appendTo(
    appendTo(model, { kind: 'duty.claim', duty: MOVES_DUTY, follows: moves, leaseMs: 1 }),
    { kind: 'duty.claim', duty: MAINTENANCE_DUTY, follows: waves, leaseMs: 1 },
  );
  const planners = updateAt(claimed.planners, index, (it) => ({
    ...it,
    movesFence,
    wavesFence: movesFence + 1,
    lastAppend: movesFence + 1,
  }));
  return { ...claimed, planners };
};

/** Says whether a planner has claimed its duties and has read all its own records. */
const isReady = (planner: Planner | undefined): planner is Planner =>
  planner !== undefined && planner.movesFence >= 0 && planner.applied >= planner.lastAppend;

/** Appends a record of a planner and keeps the record's offset. */
const appendAs = (model: Model, index: number, body: Body, omission: Omission): Model => {
  if (model.isLogUnavailable) return model;
  const lastAppend = model.records.length;
  const next = appendTo(model, body, omission);
  return { ...next, planners: updateAt(next.planners, index, (it) => ({ ...it, lastAppend })) };
};

export const appendReleaseOf = (
  model: Model,
  index: number,
  [instanceId, to]: readonly [string, string],
  omission: Omission,
): Model => {
  const planner = model.planners[index];
  if (!isReady(planner)) return model;
  const { pools } = getFleet(model, planner.applied);
  const from = getPool(pools, instanceId);
  if (from === undefined || from === to || countMembers(pools, from) <= MIN_INSTANCES) return model;
  const fence = planner.movesFence;
  return appendAs(model, index, { kind: 'pool.release', instanceId, from, to, fence }, omission);
};

export const appendRemovalOf = (model: Model, index: number, instanceId: string): Model => {
  const planner = model.planners[index];
  if (!isReady(planner)) return model;
  const { pools } = getFleet(model, planner.applied);
  const pool = getPool(pools, instanceId);
  if (pool !== undefined && countMembers(pools, pool) <= MIN_INSTANCES) return model;
  const fence = planner.movesFence;
  return appendAs(model, index, { kind: 'pool.removal', instanceId, fence }, 'nothing');
};

/** Joins an instance that the planner has read as released, once the barrier allows it. */
export const appendJoinOf = (model: Model, index: number, omission: Omission): Model => {
  const planner = model.planners[index];
  if (!isReady(planner)) return model;
  const { pools } = getFleet(model, planner.applied);
  const instanceId = pools.between.first('');
  const released = pools.memberships.get(instanceId);
  if (released?.kind !== 'released') return model;
  const observations = ImmutableMap(
    planner.sightings.map((observation, entryIndex) => [`e${entryIndex}`, observation]),
  );
  const verdict = decideJoin(pools, released.offset, observations, model.nowMs, SETTINGS);
  if (verdict.kind === 'waiting' && omission !== 'barrier') return model;
  const body: Body = {
    kind: 'pool.join',
    instanceId,
    pool: released.to,
    releaseOffset: released.offset,
    lapsed: verdict.kind === 'ready' ? verdict.lapsed : [],
    fence: planner.movesFence,
  };
  return appendAs(model, index, body, omission);
};

export const appendPermitOf = (
  model: Model,
  index: number,
  instanceId: string,
  omission: Omission,
): Model => {
  const planner = model.planners[index];
  if (!isReady(planner)) return model;
  const fence = planner.wavesFence;
  const body: Body = {
    kind: 'maintenance.permit',
    instanceId,
    wave: 'w',
    isCanary: false,
    fence,
  };
  return appendAs(model, index, body, omission);
};
