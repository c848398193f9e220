/** Names of the placement duties: pools are spread over a fixed number of shards by a hash. */
import MurmurHash from 'imurmurhash';

/** Shards into which the pools are spread; each is one duty. */
export const PLACEMENT_SHARDS = 16;

/** Finds the duty under which tasks of a pool are placed. */
export function findPlacementDuty(pool: string): string {
  return `placement-${MurmurHash(pool).result() % PLACEMENT_SHARDS}`;
}
