/**
 * Ids of the records that a fold has taken in lately, so that a repeated append has no effect. The
 * memory is bounded by a count that depends on the log alone, hence equal on every reader.
 */
import { OrderedSet } from 'immutable';

/** Ids in the order of their records. */
export type RecentIds = OrderedSet<string>;

/** Ids that are remembered at the least. */
export const RECENT_IDS = 4096;

/** Creates an empty memory. */
export function createRecentIds(): RecentIds {
  return OrderedSet();
}

/** Adds an id; forgets the older half when twice the least number is held. */
export function addRecentId(ids: RecentIds, id: string): RecentIds {
  const added = ids.add(id);
  return added.size < 2 * RECENT_IDS ? added : OrderedSet(added.skip(RECENT_IDS));
}
