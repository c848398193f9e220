/**
 * Logs how long the inherited jobs of a pool wait for what earlier planners ordered, also when the
 * planner ends before they may go on, and what else stands when it ends, so that waits can be added
 * up over successive planners.
 */
import type { InheritanceWaits } from 'vanilladock/lib/jobs/inheritance.js';
import type { PoolPlanner } from 'vanilladock/lib/jobs/pool-planner.js';
import { countUnansweredRuns } from 'vanilladock/lib/jobs/worker-exclusion.js';
import type { JsonLog } from '../json-log.js';

/** Pool and claim of a planner. */
export interface SettlingLogOptions {
  readonly pool: string;
  readonly token: number;
  /** When the claim was taken; monotonic, in milliseconds. */
  readonly claimedMs: number;
  readonly log: JsonLog;
}

/** Log of one planner; times are monotonic, in milliseconds. */
export interface SettlingLog {
  /** Records what inherited jobs wait for; they wait for nothing any more if it is undefined. */
  readonly observeWaits: (waits: InheritanceWaits | undefined, nowMs: number) => void;
  /** Logs the end of the planner, which may not have loaded its jobs. */
  readonly logEnd: (
    planner: Pick<PoolPlanner, 'getFigures' | 'table'> | undefined,
    nowMs: number,
  ) => void;
}

/** Greatest number of worker ids in one line. */
const MAX_LISTED_WORKERS = 5;

/** Creates the log of a planner that has not loaded its jobs yet. */
export function createSettlingLog(options: SettlingLogOptions): SettlingLog {
  const { pool, token, claimedMs, log } = options;
  let phase: 'loading' | 'waiting' | 'settled' = 'loading';
  let lastWaits: InheritanceWaits | undefined;
  const makeFields = () => ({
    mayPredecessorOrder: lastWaits?.mayPredecessorOrder,
    unreportedWorkers: lastWaits?.unreportedWorkers.length,
    unreported: lastWaits?.unreportedWorkers.slice(0, MAX_LISTED_WORKERS),
  });
  return {
    observeWaits: (waits, nowMs) => {
      if (phase === 'settled') return;
      phase = waits === undefined ? 'settled' : 'waiting';
      // The last thing that was waited for is named when the wait ends.
      if (waits !== undefined) {
        lastWaits = waits;
        return;
      }
      const waitedMs = Math.round(nowMs - claimedMs);
      log.info({ event: 'pool-settled', pool, token, waitedMs, ...makeFields() });
    },
    logEnd: (planner, nowMs) => {
      const heldMs = Math.round(nowMs - claimedMs);
      const waits = phase === 'waiting' ? makeFields() : {};
      const { waitingTasks, workers } = planner?.getFigures(nowMs) ?? {};
      log.info({
        event: 'pool-released',
        pool,
        token,
        phase,
        heldMs,
        ...waits,
        waitingTasks,
        unansweredRuns: planner && countUnansweredRuns(planner.table),
        workers,
      });
    },
  };
}
