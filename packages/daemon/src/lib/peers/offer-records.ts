/**
 * Offers log records that an operator has read to the entries, each of which folds or ignores them.
 */
import type { StoredRecord } from 'vanilladock';
import type { OfferRecords } from '../cli/publish.js';
import { createCatchUpClient } from './catch-up-client.js';

/**
 * Creates a function that offers records to the entries at their peer addresses. An entry that is
 * behind the first record folds none of them; it fetches the missing ones from a peer as soon as
 * that peer has notified it of the new configuration. Failed calls are ignored; the promise
 * resolves once every call has ended.
 */
export function createRecordOffer(key: string, listEntries: () => readonly string[]): OfferRecords {
  const client = createCatchUpClient(key);
  return async (records: readonly StoredRecord[]) => {
    await Promise.all(listEntries().map((address) => client.sendRecords(address, records)));
  };
}
