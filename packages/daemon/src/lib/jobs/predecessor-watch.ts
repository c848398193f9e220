/** Ends a planner's waits for earlier planners of its pool once it is known that they have stopped. */
import type { PoolPlanner } from 'vanilladock/lib/jobs/pool-planner.js';
import { readMoment } from './clock.js';
import type { Predecessor } from './duty-notices.js';
import type { PoolMeta } from './stored-pool.js';

/** Watch of the planners before one planner. */
export interface PredecessorWatch {
  /**
   * Applies what is known of them, or becomes known, to the loaded planner; `stored` is the metadata
   * that it has found. Resolves when nothing more will be known.
   */
  readonly apply: (planner: PoolPlanner, stored: PoolMeta) => Promise<void>;
}

/** Says whether metadata were written by the planner with the token; old ones do not tell. */
function isWriter(meta: PoolMeta, token: number | undefined): boolean {
  return meta.token === undefined || meta.token === token;
}

/** Starts to query the preceding planner. */
export function watchPredecessor(query: () => Promise<Predecessor>): PredecessorWatch {
  const queried = query();
  return {
    apply: async (planner, stored) => {
      const { hasStopped, token } = await queried;
      // A predecessor that did not have the reports of all workers yet may itself have succeeded a
      // planner that still gives orders, and so may one that never loaded the pool.
      if (hasStopped && stored.isSettled !== false && isWriter(stored, token)) {
        planner.observePredecessorStopped(readMoment());
      }
    },
  };
}
