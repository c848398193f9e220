/** Hands records that an operator has read from the log to the entries, for each to fold or pass over. */
import type { StoredRecord } from 'vanilladock';
import type { OfferRecords } from '../cli/publish.js';
import { createCatchUpClient } from './catch-up-client.js';

/**
 * Creates the offer to entries at their peer addresses. An entry that is behind the first record folds
 * none of them; it asks the others as soon as one has told it of the new configuration.
 */
export function createOffer(key: string, listEntries: () => readonly string[]): OfferRecords {
  const client = createCatchUpClient(key);
  return async (records: readonly StoredRecord[]) => {
    await Promise.all(listEntries().map((address) => client.sendRecords(address, records)));
  };
}
