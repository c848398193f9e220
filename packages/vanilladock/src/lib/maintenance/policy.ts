/** The configuration values that govern maintenance, and the availability budget of a pool. */
import type { Values } from '../config/schema.js';

/** Configuration values for the maintenance of one pool. */
export type MaintenancePolicy = Pick<
  Values,
  | 'maxUnavailableShare'
  | 'maintenanceIntervalDays'
  | 'maintenanceFrozen'
  | 'maintenanceHours'
  | 'drainLimitMs'
  | 'rebootLimitMs'
  | 'canaries'
>;

/**
 * Resolves a pool's policy at a date in milliseconds since 1970. The fold passes the date of the
 * record, so that every reader resolves the same policy.
 */
export type PolicyOf = (pool: string, atMs: number) => MaintenancePolicy;

/** Milliseconds per day. */
export const DAY_MS = 86_400_000;

const HOUR_MS = 3_600_000;
/** Added before rounding down, so that a product such as 0.29 × 100 gives 29 and not 28. */
const ROUNDING_TOLERANCE = 1e-9;

/**
 * Computes how many instances of a pool may be unavailable at once. A pool of several instances
 * always has a budget of at least one, unless its share is 0; otherwise a pool of three at a share
 * of a quarter could never be maintained. A pool of one instance has no budget; another instance
 * has to join first.
 */
export function computeBudget(maxUnavailableShare: number, size: number): number {
  if (size < 2 || maxUnavailableShare === 0) return 0;
  return Math.max(1, Math.floor(maxUnavailableShare * size + ROUNDING_TOLERANCE));
}

/**
 * Says whether a date, in milliseconds since 1970, lies within the hours of the day (UTC) in which
 * permits may be granted: from the first (inclusive) to the second (exclusive), past midnight when
 * the second is smaller.
 */
export function isWithinHours(hours: readonly [number, number], atMs: number): boolean {
  const hour = (atMs % DAY_MS) / HOUR_MS;
  const [from, to] = hours;
  return from < to ? hour >= from && hour < to : hour >= from || hour < to;
}
