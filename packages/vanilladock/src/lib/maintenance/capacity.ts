/**
 * Folds pools and maintenance together, because each constrains the other. A release may not take
 * an instance that has a permit or is lost, nor shrink a pool so far that its unavailable instances
 * exceed the budget. A removal drops the maintenance state of its instance.
 */
import type { PlacedRecord } from '../log/record.js';
import { countMembers, createPoolState, foldPool, getPool, type PoolState } from '../pools/fold.js';
import { addRecentId } from '../pools/recent-ids.js';
import type { ReleaseRecord, RemovalRecord } from '../pools/records.js';
import {
  countUnavailable,
  createMaintenanceState,
  foldMaintenance,
  type MaintenanceState,
} from './fold.js';
import { computeBudget, type PolicyOf } from './policy.js';

/** Pools and their maintenance. */
export interface CapacityState {
  readonly pools: PoolState;
  readonly maintenance: MaintenanceState;
}

/** Creates the state before any record. */
export function createCapacityState(): CapacityState {
  return { pools: createPoolState(), maintenance: createMaintenanceState() };
}

/**
 * Says whether an instance may leave its pool without exceeding the pool's budget; always when the
 * pool has no unavailable instance. Does not check that the instance is a member of the pool.
 */
export function isReleaseAllowed(
  state: CapacityState,
  record: Pick<ReleaseRecord, 'instanceId' | 'from' | 'at'>,
  policyOf: PolicyOf,
): boolean {
  const { pools, maintenance } = state;
  const { instanceId, from, at } = record;
  if (maintenance.permits.has(instanceId) || maintenance.lost.has(instanceId)) return false;
  const unavailable = countUnavailable(maintenance, pools, from);
  const share = policyOf(from, at).maxUnavailableShare;
  return unavailable === 0 || unavailable <= computeBudget(share, countMembers(pools, from) - 1);
}

/** Drops the maintenance state of a removed instance. */
function dropInstance(state: MaintenanceState, instanceId: string): MaintenanceState {
  return {
    ...state,
    lost: state.lost.delete(instanceId),
    maintained: state.maintained.delete(instanceId),
    refusals: state.refusals.delete(instanceId),
  };
}

/**
 * Says whether an instance may be removed. Not while it has a permit, because a reboot looks like a
 * removal, nor while its pool has permits that would exceed the budget of the smaller pool. Until
 * the removal is allowed, the instance counts as lost.
 */
function isRemovalAllowed(
  state: CapacityState,
  record: RemovalRecord,
  policyOf: PolicyOf,
): boolean {
  const { pools, maintenance } = state;
  const { instanceId, at } = record;
  if (maintenance.permits.has(instanceId)) return false;
  const pool = getPool(pools, instanceId);
  const others = pools.members.get(pool ?? '')?.delete(instanceId);
  if (pool === undefined || others === undefined) return true;
  if (!others.some((id) => maintenance.permits.has(id))) return true;
  const unavailable = others.count((id) => maintenance.permits.has(id) || maintenance.lost.has(id));
  return unavailable <= computeBudget(policyOf(pool, at).maxUnavailableShare, others.size);
}

/** Folds a removal; void when the removal is not allowed yet. */
function foldRemoval(
  state: CapacityState,
  placed: PlacedRecord<RemovalRecord>,
  policyOf: PolicyOf,
): CapacityState {
  const { instanceId, id } = placed.record;
  if (!isRemovalAllowed(state, placed.record, policyOf)) return dropRecord(state, id);
  const pools = foldPool(state.pools, placed);
  if (pools.memberships === state.pools.memberships) return { ...state, pools };
  return { pools, maintenance: dropInstance(state.maintenance, instanceId) };
}

/** Voids a record permanently: its id is kept, so that a repeated append has no effect either. */
function dropRecord(state: CapacityState, id: string): CapacityState {
  const recentIds = addRecentId(state.pools.recentIds, id);
  return { ...state, pools: { ...state.pools, recentIds } };
}

/**
 * Folds one record of the log; kinds that concern neither pools nor maintenance change nothing.
 * `policyOf` is asked for the policies at the record's date.
 */
export function foldCapacity(
  state: CapacityState,
  placed: PlacedRecord,
  policyOf: PolicyOf,
): CapacityState {
  const { record, offset } = placed;
  const { pools, maintenance } = state;
  switch (record.kind) {
    case 'duty.claim':
      return {
        pools: foldPool(pools, { record, offset }),
        maintenance: foldMaintenance(maintenance, { record, offset }, { pools, policyOf }),
      };
    case 'pool.release':
      if (!isReleaseAllowed(state, record, policyOf)) return dropRecord(state, record.id);
      return { pools: foldPool(pools, { record, offset }), maintenance };
    case 'pool.acknowledgement':
    case 'pool.join':
      return { pools: foldPool(pools, { record, offset }), maintenance };
    case 'pool.removal':
      return foldRemoval(state, { record, offset }, policyOf);
    case 'maintenance.permit':
    case 'maintenance.outcome':
    case 'maintenance.observation':
      return {
        pools,
        maintenance: foldMaintenance(maintenance, { record, offset }, { pools, policyOf }),
      };
    case 'config.publication':
    case 'log.snapshot':
    case 'task.submission':
    case 'task.lease':
    case 'task.outcome':
    case 'task.cancellation':
    case 'worker.quarantine':
      return state;
    default:
      return record satisfies never;
  }
}
