/** Names of the placement duties: pools are hashed onto a fixed number of shards. */
import MurmurHash from 'imurmurhash';

/** Number of shards; each is one duty. */
export const PLACEMENT_SHARDS = 16;

/** Finds the name of the duty under which the tasks of a pool are placed. */
export function findPlacementDuty(pool: string): string {
  return `placement-${MurmurHash(pool).result() % PLACEMENT_SHARDS}`;
}
