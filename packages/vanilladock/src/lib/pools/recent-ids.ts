/**
 * Ids of the records that a fold applied recently, so that a repeated append has no effect. The
 * bound on their number depends only on the log, so every reader keeps the same ids.
 */
import { OrderedSet } from 'immutable';

/** Ids in the order of their records. */
export type RecentIds = OrderedSet<string>;

/** Smallest number of newest ids that are kept. */
export const MIN_RECENT_IDS = 4096;

/** Creates an empty set of ids. */
export function createRecentIds(): RecentIds {
  return OrderedSet();
}

/** Adds an id; drops the older half once there are twice `MIN_RECENT_IDS`. */
export function addRecentId(ids: RecentIds, id: string): RecentIds {
  const added = ids.add(id);
  return added.size < 2 * MIN_RECENT_IDS ? added : OrderedSet(added.skip(MIN_RECENT_IDS));
}
