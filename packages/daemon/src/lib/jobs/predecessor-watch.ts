/** Ends a planner's waits for earlier planners of its pool once it is known that they have stopped. */
import type { PoolPlanner } from 'vanilladock/lib/jobs/pool-planner.js';
import type { HandOver, TimedHandOver } from 'vanilladock/lib/jobs/hand-over.js';
import { waitMs } from './clock.js';
import type { Predecessor } from './duty-notices.js';
import type { PoolMeta } from './stored-pool.js';

/** Watch of the planners before one planner. */
export interface PredecessorWatch {
  /**
   * Applies what is known of them, or becomes known, to the loaded planner; `stored` is the metadata
   * that it has found. Resolves when none of them sends orders any more.
   */
  readonly apply: (planner: PoolPlanner, stored: PoolMeta) => Promise<void>;
  /**
   * Makes what a planner under the token tells that has ordered nothing: what it was told itself;
   * undefined if that is nothing.
   */
  readonly makePassedOn: (token: number) => TimedHandOver | undefined;
}

/** Says whether metadata were written by the planner with the token; old ones do not tell. */
function isWriter(meta: PoolMeta, token: number | undefined): boolean {
  return meta.token === undefined || meta.token === token;
}

/** Says whether a hand-over covers the planner that wrote the metadata. */
function isAbout({ token, passedOnBy }: HandOver, meta: PoolMeta): boolean {
  return meta.token !== undefined && [token, passedOnBy].includes(meta.token);
}

/**
 * Computes when no planner before this one orders any more, if the one that wrote the metadata stopped
 * at `stoppedMs`; undefined if it did not know how long those before it may order. A length that is
 * read after it was stored is too long, never too short.
 */
function computeOrdersEndMs(
  { isSettled, earlierOrdersMs, token }: PoolMeta,
  stoppedMs: number,
  readMs: number,
): number | undefined {
  if (isSettled !== false) return stoppedMs;
  if (earlierOrdersMs === undefined || token === undefined) return undefined;
  return Math.max(stoppedMs, readMs + earlierOrdersMs);
}

/** Starts to query the preceding planner. */
export function watchPredecessor(query: () => Promise<Predecessor>): PredecessorWatch {
  let told: TimedHandOver | undefined;
  const queried = query().then((predecessor) => {
    ({ told } = predecessor);
    return predecessor;
  });
  return {
    apply: async (planner, stored) => {
      const readMs = performance.now();
      const { hasStopped, token, knownMs } = await queried;
      // Only the planner that wrote the metadata, or a later one, knows of all orders before them.
      if (told !== undefined && isAbout(told.handOver, stored)) planner.observeHandOver(told);
      else if (hasStopped && isWriter(stored, token)) {
        const endMs = computeOrdersEndMs(stored, knownMs, readMs);
        if (endMs !== undefined) planner.observePredecessorStopped(endMs);
      }
      await waitMs(planner.computeEarlierOrdersMs(performance.now()));
    },
    makePassedOn: (token) => told && { ...told, handOver: { ...told.handOver, passedOnBy: token } },
  };
}
