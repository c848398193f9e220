/**
 * Folds permits, outcomes and observations. The availability budget is checked here, on the permit
 * itself, so that planners that race or act on an old list cannot overdraw it: what is unavailable by
 * permit and what is lost count alike. A permit ends by its outcome, which rests on an observed
 * return, and never by time alone; an instance that failed to return counts as lost.
 */
import { Map, OrderedMap } from 'immutable';
import type { ClaimRecord } from '../duties/records.js';
import type { PlacedRecord } from '../log/record.js';
import {
  createFences,
  foldFence,
  isCurrentFence,
  MAINTENANCE_DUTY,
  type Fences,
} from '../pools/fences.js';
import { countMembers, getPool, type PoolState } from '../pools/fold.js';
import { addRecentId, createRecentIds, type RecentIds } from '../pools/recent-ids.js';
import { computeBudget, isWithinHours, type PolicyOf } from './policy.js';
import type {
  MaintenanceRecord,
  ObservationRecord,
  OutcomeRecord,
  PermitRecord,
} from './records.js';
import { addPermit, closePermit, createWave, type Wave } from './waves.js';

/** A permit that has not ended; its instance counts as unavailable. */
export interface OpenPermit {
  readonly id: string;
  readonly offset: number;
  readonly pool: string;
  readonly wave: string;
  readonly isCanary: boolean;
  /** Date of the record in milliseconds since 1970. */
  readonly atMs: number;
}

/** Why a permit is void. */
export type PermitRefusal =
  | 'superseded-planner'
  | 'not-in-a-pool'
  | 'has-permit'
  | 'lost'
  | 'frozen'
  | 'outside-hours'
  | 'single-instance'
  | 'budget-spent'
  | 'wave-stopped'
  | 'canary-first';

/** What maintenance knows of the fleet. */
export interface MaintenanceState {
  /** Open permits by instance id. */
  readonly permits: Map<string, OpenPermit>;
  /** Dates of loss, in milliseconds since 1970, of instances that are unavailable unplanned. */
  readonly lost: Map<string, number>;
  /** Dates of the last completed maintenance, in milliseconds since 1970. */
  readonly maintained: Map<string, number>;
  /** Waves by name, the newest last; the oldest are forgotten. */
  readonly waves: OrderedMap<string, Wave>;
  /** The newest void permit of each instance. */
  readonly refusals: Map<string, { readonly offset: number; readonly refusal: PermitRefusal }>;
  /** Moving average of the time from permit to return, in milliseconds; undefined at first. */
  readonly typicalMs: number | undefined;
  readonly fences: Fences;
  readonly recentIds: RecentIds;
}

/** What the fold needs besides its own state; all of it is derived from the same log. */
export interface MaintenanceContext {
  readonly pools: PoolState;
  readonly policyOf: PolicyOf;
}

/** Records that the fold takes in. */
export type MaintenanceFoldRecord = MaintenanceRecord | ClaimRecord;

const AVERAGE_WEIGHT = 0.1;
const WAVES_KEPT = 128;

/** Creates the state before any record. */
export function createMaintenanceState(): MaintenanceState {
  return {
    permits: Map(),
    lost: Map(),
    maintained: Map(),
    waves: OrderedMap(),
    refusals: Map(),
    typicalMs: undefined,
    fences: createFences(),
    recentIds: createRecentIds(),
  };
}

/** Counts the instances of a pool that are unavailable, by permit or by loss. */
export function countUnavailable(state: MaintenanceState, pools: PoolState, pool: string): number {
  const members = pools.members.get(pool);
  if (members === undefined) return 0;
  return members.count((id) => state.permits.has(id) || state.lost.has(id));
}

/** Counts the further instances of a pool that its budget lets become unavailable. */
export function countRoom(
  state: MaintenanceState,
  context: MaintenanceContext,
  pool: string,
  atMs: number,
): number {
  const share = context.policyOf(pool, atMs).maxUnavailableShare;
  const budget = computeBudget(share, countMembers(context.pools, pool));
  return budget - countUnavailable(state, context.pools, pool);
}

/** Decides why a permit is void; undefined when it is granted. */
export function decideRefusal(
  state: MaintenanceState,
  record: PermitRecord,
  context: MaintenanceContext,
): PermitRefusal | undefined {
  const { instanceId, at } = record;
  if (!isCurrentFence(state.fences, MAINTENANCE_DUTY, record.fence)) return 'superseded-planner';
  const pool = getPool(context.pools, instanceId);
  if (pool === undefined) return 'not-in-a-pool';
  if (state.permits.has(instanceId)) return 'has-permit';
  if (state.lost.has(instanceId)) return 'lost';
  const policy = context.policyOf(pool, at);
  if (policy.maintenanceFrozen) return 'frozen';
  if (!isWithinHours(policy.maintenanceHours, at)) return 'outside-hours';
  if (countMembers(context.pools, pool) < 2) return 'single-instance';
  if (countRoom(state, context, pool, at) < 1) return 'budget-spent';
  const wave = state.waves.get(record.wave);
  if (wave?.stop !== undefined) return 'wave-stopped';
  const isProven = (wave?.canariesReturned ?? 0) >= policy.canaries;
  return record.isCanary || isProven ? undefined : 'canary-first';
}

/** Folds a permit: grants it or keeps why it is void. */
function foldPermit(
  state: MaintenanceState,
  placed: PlacedRecord<PermitRecord>,
  context: MaintenanceContext,
): MaintenanceState {
  const { record, offset } = placed;
  const { instanceId, isCanary, wave, at } = record;
  const refusal = decideRefusal(state, record, context);
  if (refusal !== undefined) {
    return { ...state, refusals: state.refusals.set(instanceId, { offset, refusal }) };
  }
  const pool = getPool(context.pools, instanceId) ?? '';
  const permit = { id: record.id, offset, pool, wave, isCanary, atMs: at };
  const granted = addPermit(state.waves.get(wave) ?? createWave(at), isCanary, at);
  return {
    ...state,
    permits: state.permits.set(instanceId, permit),
    waves: state.waves.set(wave, granted).takeLast(WAVES_KEPT),
    refusals: state.refusals.delete(instanceId),
  };
}

/** Computes the moving average of the time from permit to return. */
function computeTypicalMs(state: MaintenanceState, permit: OpenPermit, atMs: number): number {
  const tookMs = Math.max(0, atMs - permit.atMs);
  if (state.typicalMs === undefined) return tookMs;
  return state.typicalMs + (tookMs - state.typicalMs) * AVERAGE_WEIGHT;
}

/** Folds the end of a permit; void unless it names the open permit of its instance. */
function foldOutcome(
  state: MaintenanceState,
  placed: PlacedRecord<OutcomeRecord>,
): MaintenanceState {
  const { instanceId, permitOffset, result, at } = placed.record;
  const permit = state.permits.get(instanceId);
  if (permit === undefined || permit.offset !== permitOffset) return state;
  const wave = closePermit(
    state.waves.get(permit.wave) ?? createWave(at),
    { instanceId, isCanary: permit.isCanary },
    result,
    at,
  );
  const closed = {
    ...state,
    permits: state.permits.delete(instanceId),
    waves: state.waves.set(permit.wave, wave),
  };
  switch (result) {
    case 'returned': {
      const maintained = state.maintained.set(instanceId, at);
      return { ...closed, maintained, typicalMs: computeTypicalMs(state, permit, at) };
    }
    case 'gave-back':
      return closed;
    case 'failed':
      return { ...closed, lost: state.lost.set(instanceId, at) };
    default:
      return result satisfies never;
  }
}

/** Folds losses and returns; an open permit is untouched, for only its outcome ends it. */
function foldObservation(state: MaintenanceState, record: ObservationRecord): MaintenanceState {
  if (!isCurrentFence(state.fences, MAINTENANCE_DUTY, record.fence)) return state;
  const lost = state.lost.withMutations((map) => {
    record.returned.forEach((id) => map.delete(id));
    record.lost.filter((id) => !map.has(id)).forEach((id) => map.set(id, record.at));
  });
  return { ...state, lost };
}

/** Applies a record that is no repetition. */
function applyRecord(
  state: MaintenanceState,
  placed: PlacedRecord<MaintenanceFoldRecord>,
  context: MaintenanceContext,
): MaintenanceState {
  const { record, offset } = placed;
  switch (record.kind) {
    case 'duty.claim':
      return { ...state, fences: foldFence(state.fences, { record, offset }) };
    case 'maintenance.permit':
      return foldPermit(state, { record, offset }, context);
    case 'maintenance.outcome':
      return foldOutcome(state, { record, offset });
    case 'maintenance.observation':
      return foldObservation(state, record);
    default:
      return record satisfies never;
  }
}

/** Folds one record about maintenance; the context holds the state of the same offset. */
export function foldMaintenance(
  state: MaintenanceState,
  placed: PlacedRecord<MaintenanceFoldRecord>,
  context: MaintenanceContext,
): MaintenanceState {
  if (state.recentIds.has(placed.record.id)) return state;
  const applied = applyRecord(state, placed, context);
  return { ...applied, recentIds: addRecentId(applied.recentIds, placed.record.id) };
}
