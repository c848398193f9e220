/**
 * Derives the maintenance policy and the placement rules from the configuration in force. Before
 * the first configuration no instance may be stopped and no team may hold cores.
 */
import { DAY_MS, type MaintenancePolicy, type PolicyOf } from '../maintenance/policy.js';
import type { PlacementRules } from '../placement/state.js';
import { resolveValues } from './resolve.js';
import type { Config } from './schema.js';

const NO_MAINTENANCE: MaintenancePolicy = {
  maxUnavailableShare: 0,
  maintenanceIntervalDays: 365,
  maintenanceFrozen: true,
  maintenanceHours: [0, 24],
  drainLimitMs: DAY_MS,
  rebootLimitMs: DAY_MS,
  canaries: 0,
};

/**
 * Creates the lookup of each pool's maintenance policy in a configuration; without a configuration,
 * every policy forbids maintenance. A pool that is not listed gets the defaults.
 */
export function createPolicyLookup(config: Config | undefined): PolicyOf {
  if (config === undefined) return () => NO_MAINTENANCE;
  return (pool, atMs) => resolveValues(config, { pool }, atMs);
}

/**
 * Creates the placement rules of a configuration at a date, in milliseconds since 1970. Without a
 * configuration every quota is 0 cores; a team that is not listed gets the defaults.
 */
export function createPlacementRules(
  config: Config | undefined,
  atMs: number,
  isCurrentClaim: PlacementRules['isCurrentClaim'],
): PlacementRules {
  if (config === undefined) return { getQuotaCores: () => 0, getWeight: () => 1, isCurrentClaim };
  return {
    getQuotaCores: (team) => resolveValues(config, { team }, atMs).quotaCores,
    getWeight: (team) => resolveValues(config, { team }, atMs).weight,
    isCurrentClaim,
  };
}
