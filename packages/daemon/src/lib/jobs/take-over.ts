/** Takes over the stored state of a pool: reads it and records that the pool has a next planner. */
import { waitMs } from './clock.js';
import type { PoolStore } from './pool-store.js';
import type { PoolMeta, StoredPool } from './stored-pool.js';

/** Stored state as a new planner begins with it. */
export interface TakenPool extends StoredPool {
  /** Metadata as the preceding planner left them. */
  readonly previous: PoolMeta;
}

/** Counts what a planner begins with, for the log. */
export function countTaken({ meta, jobs, tombstones, expiredJobs }: TakenPool) {
  const { generation, workers } = meta;
  return {
    generation,
    jobs: jobs.length,
    tombstones: tombstones.length,
    expiredJobs: expiredJobs.length,
    inheritedWorkers: workers.length,
    longLeases: workers.filter(({ longLeaseTasks }) => longLeaseTasks !== undefined).length,
  };
}

/** Pause before refused metadata are written again. */
const RETRY_MS = 250;

/**
 * Takes over a pool under the claim with this token; resolves once the new generation is recorded,
 * so that no two planners number their runs alike. Undefined if another planner has taken over or the store was closed.
 */
export async function takeOverPool(
  store: PoolStore,
  token: number,
): Promise<TakenPool | undefined> {
  const stored = await store.load();
  if (stored === undefined) return undefined;
  const previous = stored.meta;
  const meta = {
    ...previous,
    generation: previous.generation + 1,
    token,
    isSettled: false,
    // What is known of it is about the planners before the previous one.
    earlierOrdersMs: undefined,
  };
  for (;;) {
    const outcome = await store.write([store.encodeMeta(meta)]);
    if (outcome === 'stored') return { ...stored, meta, previous };
    if (outcome === 'lost') return undefined;
    await waitMs(RETRY_MS);
  }
}
