/** Logs while a pool's planner makes no plans because its claim is not in force. */
import type { JsonLog } from '../json-log.js';

/** Pool and claim whose planner is watched. */
export interface PlanPauseOptions {
  readonly pool: string;
  readonly token: number;
  readonly log: JsonLog;
}

/** Log of the pauses; times are monotonic, in milliseconds. */
export interface PlanPauseLog {
  /** Records that a plan is made. */
  readonly observePlan: (nowMs: number) => void;
  /** Records that a due plan was left out. */
  readonly observeSkip: (nowMs: number) => void;
  /** Returns the time since the last plan; 0 if no due plan was left out since then. */
  readonly getPausedMs: (nowMs: number) => number;
}

/** A planner without plans for this long counts as paused. */
const PAUSED_AFTER_MS = 2_000;

/** Minimum time between two lines about the same pause. */
const LOG_INTERVAL_MS = 2_000;

/** Creates the log; `startedMs` is when the runner of the planner was started. */
export function createPlanPauseLog(options: PlanPauseOptions, startedMs: number): PlanPauseLog {
  const { pool, token, log } = options;
  let lastPlanMs = startedMs;
  let isPaused = false;
  /** When the last line about the present pause was written; undefined while plans are made. */
  let loggedMs: number | undefined;
  return {
    observePlan: (nowMs) => {
      if (loggedMs !== undefined) {
        const pausedMs = Math.round(nowMs - lastPlanMs);
        log.info({ event: 'plans-resumed', pool, token, pausedMs });
      }
      loggedMs = undefined;
      isPaused = false;
      lastPlanMs = nowMs;
    },
    observeSkip: (nowMs) => {
      isPaused = true;
      const pausedMs = nowMs - lastPlanMs;
      const isLogDue = loggedMs === undefined || nowMs - loggedMs >= LOG_INTERVAL_MS;
      if (pausedMs < PAUSED_AFTER_MS || !isLogDue) return;
      loggedMs = nowMs;
      log.warn({ event: 'plans-paused', pool, token, pausedMs: Math.round(pausedMs) });
    },
    getPausedMs: (nowMs) => (isPaused ? nowMs - lastPlanMs : 0),
  };
}
