/**
 * Folds pools and maintenance together, for each limits the other: a release may not take an
 * instance that has a permit or is lost, nor shrink a pool so far that what is unavailable exceeds
 * its budget; a removed instance needs no permit any more.
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

/** Says whether the budget of the pool that an instance leaves still holds without it. */
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

/** Forgets the maintenance of a removed instance. */
function dropInstance(state: MaintenanceState, instanceId: string): MaintenanceState {
  return {
    ...state,
    lost: state.lost.delete(instanceId),
    maintained: state.maintained.delete(instanceId),
    refusals: state.refusals.delete(instanceId),
  };
}

/**
 * Says whether an instance may be forgotten. Not while it has a permit, for a reboot looks like a
 * removal, nor while its pool has permits that the budget of the smaller pool would not give; until
 * then it counts as lost.
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

/** Folds a removal. */
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

/** Makes a record void for good, also when it is appended again. */
function dropRecord(state: CapacityState, id: string): CapacityState {
  const recentIds = addRecentId(state.pools.recentIds, id);
  return { ...state, pools: { ...state.pools, recentIds } };
}

/** Folds one record of the log; kinds that concern neither half leave the state as it is. */
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
