/** The values of the configuration that govern maintenance, and the availability budget of a pool. */
import type { Values } from '../config/schema.js';

/** What the configuration says about the maintenance of one pool. */
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
 * Resolves a pool's policy at a date in milliseconds since 1970. The fold asks with the date of the
 * record, so that every reader gets the same answer.
 */
export type PolicyOf = (pool: string, atMs: number) => MaintenancePolicy;

/** Milliseconds of a day. */
export const DAY_MS = 86_400_000;

const HOUR_MS = 3_600_000;
const ROUNDING = 1e-9;

/**
 * Computes how many instances of a pool may be unavailable at once. A pool of several instances may
 * always spare one, unless its share is 0; else a pool of three at a share of a quarter could never
 * be maintained. A pool of one instance may spare none; it needs another to join first.
 */
export function computeBudget(maxUnavailableShare: number, size: number): number {
  if (size < 2 || maxUnavailableShare === 0) return 0;
  return Math.max(1, Math.floor(maxUnavailableShare * size + ROUNDING));
}

/** Says whether a date lies within the hours of the day at which permits may be given. */
export function isWithinHours(hours: readonly [number, number], atMs: number): boolean {
  const hour = (atMs % DAY_MS) / HOUR_MS;
  const [from, to] = hours;
  return from < to ? hour >= from && hour < to : hour >= from || hour < to;
}
