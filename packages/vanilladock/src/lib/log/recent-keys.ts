/**
 * Remembers the keys of recently folded records, so that a repeated append has no effect. Keys are
 * short hashes of record ids, kept in two generations; once the newer one is full it replaces the
 * older. The keys depend only on the log, so they are equal on every reader.
 */
import { createHash } from 'node:crypto';
import { Set } from 'immutable';

/** Two generations of record keys. */
export interface RecentKeys {
  /** Generation that new keys are added to. */
  readonly newer: Set<string>;
  /** The full generation before it; empty until one has been full. */
  readonly older: Set<string>;
}

/** Minimum number of keys that are remembered; the maximum is twice as many. */
export const RECENT_KEYS_KEPT = 2048;

/** Length of a key, in base64 characters of 6 bits. */
const KEY_LENGTH = 12;

/** Creates an empty set of keys. */
export function createRecentKeys(): RecentKeys {
  return { newer: Set(), older: Set() };
}

/** Makes the short key of a record id. */
export function makeKey(id: string): string {
  return createHash('sha256').update(id).digest('base64url').slice(0, KEY_LENGTH);
}

/** Says whether a key is remembered. */
export function hasKey(keys: RecentKeys, key: string): boolean {
  return keys.newer.has(key) || keys.older.has(key);
}

/**
 * Returns the keys with one added. When the newer generation becomes full, the older one is
 * dropped; the result remembers at least the newest `RECENT_KEYS_KEPT` keys.
 */
export function addKey(keys: RecentKeys, key: string): RecentKeys {
  const newer = keys.newer.add(key);
  return newer.size < RECENT_KEYS_KEPT ? { ...keys, newer } : { newer: Set(), older: newer };
}
