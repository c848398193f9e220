/**
 * The domains whose folds make up the state of the fleet, in the order in which they fold a record.
 * To add a domain, add a line to `DomainStates` and one to `DOMAINS`. A fold may read the states of
 * the domains before it, which have already folded the same record.
 */
import { createConfigState, foldConfig, type ConfigState } from '../config/fold.js';
import type { ConfigRecord } from '../config/records.js';
import { createPlacementRules, createPolicyLookup } from '../config/rules.js';
import { createDutyState, foldDuty, isCurrentClaim, type DutyState } from '../duties/fold.js';
import type { ClaimRecord } from '../duties/records.js';
import { createCapacityState, foldCapacity, type CapacityState } from '../maintenance/capacity.js';
import type { MaintenanceRecord } from '../maintenance/records.js';
import { foldPlacement } from '../placement/fold.js';
import type { PlacementRecord } from '../placement/records.js';
import { createPlacementState, type PlacementState } from '../placement/state.js';
import type { PoolRecord } from '../pools/records.js';
import type { LogRecord, PlacedRecord } from './record.js';

/** Folded states by domain. */
export interface DomainStates {
  /** Configuration in force and the outcomes of publications. */
  readonly config: ConfigState;
  /** Claims on duties. */
  readonly duties: DutyState;
  /** Membership of instances in pools, and their maintenance. */
  readonly capacity: CapacityState;
  /** Tasks, their leases and outcomes, and quarantined workers. */
  readonly placement: PlacementState;
}

/** A domain: the kinds of records that it folds, its initial state and its fold. */
export interface Domain<State> {
  readonly kinds: readonly string[];
  /** Creates the state before the first record. */
  readonly create: () => State;
  /** Folds a record of these kinds; the same object as result means no effect. */
  readonly fold: (state: State, placed: PlacedRecord, states: DomainStates) => State;
}

/** Makes a domain from a fold that is typed for the records of its kinds. */
function makeDomain<State, Folded extends LogRecord>(
  kinds: readonly Folded['kind'][],
  create: () => State,
  fold: (state: State, placed: PlacedRecord<Folded>, states: DomainStates) => State,
): Domain<State> {
  return { kinds, create, fold: fold as Domain<State>['fold'] };
}

/** All domains, in the order of folding. */
export const DOMAINS: { readonly [Name in keyof DomainStates]: Domain<DomainStates[Name]> } = {
  config: makeDomain<ConfigState, ConfigRecord>(
    ['config.publication'],
    createConfigState,
    foldConfig,
  ),
  duties: makeDomain<DutyState, ClaimRecord>(['duty.claim'], createDutyState, foldDuty),
  capacity: makeDomain<CapacityState, ClaimRecord | PoolRecord | MaintenanceRecord>(
    [
      'duty.claim',
      'pool.release',
      'pool.acknowledgement',
      'pool.join',
      'pool.removal',
      'maintenance.permit',
      'maintenance.outcome',
      'maintenance.observation',
    ],
    createCapacityState,
    (state, placed, { config }) => foldCapacity(state, placed, createPolicyLookup(config.config)),
  ),
  placement: makeDomain<PlacementState, PlacementRecord>(
    ['task.submission', 'task.lease', 'task.outcome', 'task.cancellation', 'worker.quarantine'],
    createPlacementState,
    (state, placed, { config, duties }) =>
      foldPlacement(
        state,
        placed,
        createPlacementRules(config.config, placed.record.at, (duty, fence) =>
          isCurrentClaim(duties, duty, fence),
        ),
      ),
  ),
};
