/**
 * Limits the queries to the advisor that are pending at once. Load pattern: a burst of steps that
 * all need an answer, from a service that works off queries in turn. Queries that wait there for
 * longer than their timeout cost as much as others but give no answer, so that without a limit none
 * is answered in time any more.
 */

/** Window of pending queries. Times are monotonic, in milliseconds. */
export interface QueryWindow {
  /** Says whether another query may be sent now. */
  readonly hasRoom: (pendingCount: number, nowMs: number) => boolean;
  /** Takes in the time from a query to its answer. */
  readonly observeAnswer: (durationMs: number) => void;
  /** Takes in that a query got no answer in time. */
  readonly observeTimeout: (nowMs: number) => void;
}

const INITIAL_SIZE = 4;
const MAX_SIZE = 16;

/** The window grows while answers take less than this. */
const SHORT_ANSWER_MS = 500;

/** The window shrinks when an answer takes longer than this. */
const LONG_ANSWER_MS = 1_000;

/** Pause after the first timeout; doubled with each further one until there is an answer. */
const FIRST_PAUSE_MS = 250;

const MAX_PAUSE_MS = 8_000;

/** Creates a window without pending queries. */
export function createQueryWindow(): QueryWindow {
  let size = INITIAL_SIZE;
  let pauseMs = FIRST_PAUSE_MS;
  let pausedUntilMs = 0;
  return {
    hasRoom: (pendingCount, nowMs) => pendingCount < size && pausedUntilMs <= nowMs,
    observeAnswer: (durationMs) => {
      pauseMs = FIRST_PAUSE_MS;
      if (durationMs < SHORT_ANSWER_MS) size = Math.min(MAX_SIZE, size + 1);
      if (durationMs > LONG_ANSWER_MS) size = Math.max(1, size - 1);
    },
    observeTimeout: (nowMs) => {
      size = Math.max(1, Math.floor(size / 2));
      pausedUntilMs = nowMs + pauseMs;
      pauseMs = Math.min(MAX_PAUSE_MS, pauseMs * 2);
    },
  };
}
