/**
 * Folds permits, outcomes and observations. The availability budget is checked here, when a permit
 * is folded, so that planners that race or act on a stale list cannot exceed it. Instances with a
 * permit and lost instances both count as unavailable. A permit ends only by its outcome, which
 * rests on an observed return, and never by time alone; an instance that failed to return counts as
 * lost.
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
  /** Offset of the permit's record. */
  readonly offset: number;
  readonly pool: string;
  readonly wave: string;
  readonly isCanary: boolean;
  /** Date of the record in milliseconds since 1970. */
  readonly atMs: number;
}

/**
 * Why a permit is void. `lost`: the instance is already unavailable. `canary-first`: it is not a
 * canary and too few canaries of its wave have returned.
 */
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

/** Folded state of the fleet's maintenance. */
export interface MaintenanceState {
  /** Open permits by instance id. */
  readonly permits: Map<string, OpenPermit>;
  /** Dates of loss, in ms since 1970, of instances that are unavailable without a permit. */
  readonly lost: Map<string, number>;
  /** Date of the last completed maintenance by instance id, in milliseconds since 1970. */
  readonly maintained: Map<string, number>;
  /** Waves by name, the newest last; only the newest are kept. */
  readonly waves: OrderedMap<string, Wave>;
  /** The newest void permit of each instance, with the reason. */
  readonly refusals: Map<string, { readonly offset: number; readonly refusal: PermitRefusal }>;
  /** Moving average of the time from permit to return, in ms; undefined before the first return. */
  readonly typicalMs: number | undefined;
  readonly fences: Fences;
  readonly recentIds: RecentIds;
}

/** What the fold reads besides its own state; all of it is derived from the same log. */
export interface MaintenanceContext {
  readonly pools: PoolState;
  readonly policyOf: PolicyOf;
}

/** Records that the fold applies. */
export type MaintenanceFoldRecord = MaintenanceRecord | ClaimRecord;

/** Weight of the newest duration in the moving average. */
const TYPICAL_TIME_WEIGHT = 0.1;
/** Number of waves that the state keeps. */
const MAX_WAVES_KEPT = 128;

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

/** Counts the instances of a pool that have a permit or are lost; 0 for an unknown pool. */
export function countUnavailable(state: MaintenanceState, pools: PoolState, pool: string): number {
  const members = pools.members.get(pool);
  if (members === undefined) return 0;
  return members.count((id) => state.permits.has(id) || state.lost.has(id));
}

/**
 * Computes how many more instances of a pool may become unavailable within its budget; negative
 * when the budget is exceeded.
 */
export function computeFreeBudget(
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
  if (computeFreeBudget(state, context, pool, at) < 1) return 'budget-spent';
  const wave = state.waves.get(record.wave);
  if (wave?.stop !== undefined) return 'wave-stopped';
  const hasPassedCanaries = (wave?.canariesReturned ?? 0) >= policy.canaries;
  return record.isCanary || hasPassedCanaries ? undefined : 'canary-first';
}

/** Folds a permit: grants it, or records why it is void. */
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
    waves: state.waves.set(wave, granted).takeLast(MAX_WAVES_KEPT),
    refusals: state.refusals.delete(instanceId),
  };
}

/** Computes the moving average of the time from permit to return. */
function computeTypicalMs(state: MaintenanceState, permit: OpenPermit, atMs: number): number {
  const durationMs = Math.max(0, atMs - permit.atMs);
  if (state.typicalMs === undefined) return durationMs;
  return state.typicalMs + (durationMs - state.typicalMs) * TYPICAL_TIME_WEIGHT;
}

/** Folds an outcome; void unless it names the open permit of its instance. */
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

/** Folds losses and returns; open permits are unaffected, because only an outcome ends a permit. */
function foldObservation(state: MaintenanceState, record: ObservationRecord): MaintenanceState {
  if (!isCurrentFence(state.fences, MAINTENANCE_DUTY, record.fence)) return state;
  const lost = state.lost.withMutations((map) => {
    record.returned.forEach((id) => map.delete(id));
    record.lost.filter((id) => !map.has(id)).forEach((id) => map.set(id, record.at));
  });
  return { ...state, lost };
}

/** Applies a record that is not a repetition. */
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

/**
 * Folds one record about maintenance; `context` holds the state of pools at the same offset. A
 * repeated record has no effect; a void permit is kept in `refusals`.
 */
export function foldMaintenance(
  state: MaintenanceState,
  placed: PlacedRecord<MaintenanceFoldRecord>,
  context: MaintenanceContext,
): MaintenanceState {
  if (state.recentIds.has(placed.record.id)) return state;
  const applied = applyRecord(state, placed, context);
  return { ...applied, recentIds: addRecentId(applied.recentIds, placed.record.id) };
}
