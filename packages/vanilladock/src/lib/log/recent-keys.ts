/**
 * Memory of the records taken in lately, by which a repeated append has no effect. Short hashes of the
 * ids are held in two generations; a full newer one replaces the older. What is held depends on the
 * log alone, so it is equal on every reader.
 */
import { createHash } from 'node:crypto';
import { Set } from 'immutable';

/** Keys of records, newer and older. */
export interface RecentKeys {
  readonly newer: Set<string>;
  readonly older: Set<string>;
}

/** Records that are remembered at the least; at most twice as many are. */
export const RECENT_KEYS_KEPT = 2048;

const KEY_LENGTH = 12;

/** Creates an empty memory. */
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

/** Adds a key. */
export function addKey(keys: RecentKeys, key: string): RecentKeys {
  const newer = keys.newer.add(key);
  return newer.size < RECENT_KEYS_KEPT ? { ...keys, newer } : { newer: Set(), older: newer };
}
