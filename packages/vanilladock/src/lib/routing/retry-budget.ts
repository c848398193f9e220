/**
 * Retry budget of one service. Retries are limited to a share of the recent requests so that they
 * do not amplify an overload. A small number is always allowed so that a service with little
 * traffic can retry at all.
 */

/** Numbers of first attempts and retries in the current and in the previous window. */
export interface RetryBudget {
  /** Start of the current window on the monotonic clock, in milliseconds. */
  readonly startedAtMs: number;
  readonly requests: number;
  readonly retries: number;
  readonly previousRequests: number;
  readonly previousRetries: number;
}

/** Length of a window in which requests and retries are counted. */
const WINDOW_MS = 10_000;
/** Retries that are allowed within two windows, however few the requests. */
const MIN_RETRIES = 10;

/** Creates the budget of a service that has had no requests. */
export function createRetryBudget(nowMs: number): RetryBudget {
  return { startedAtMs: nowMs, requests: 0, retries: 0, previousRequests: 0, previousRetries: 0 };
}

/** Starts a new window when the current one has ended. */
function refreshWindow(budget: RetryBudget, nowMs: number): RetryBudget {
  const ageMs = nowMs - budget.startedAtMs;
  if (ageMs < WINDOW_MS) return budget;
  const isRecent = ageMs < 2 * WINDOW_MS;
  return {
    startedAtMs: nowMs,
    requests: 0,
    retries: 0,
    previousRequests: isRecent ? budget.requests : 0,
    previousRetries: isRecent ? budget.retries : 0,
  };
}

/** Counts a first attempt; `nowMs` is on the monotonic clock, in milliseconds. */
export function addRequest(budget: RetryBudget, nowMs: number): RetryBudget {
  const current = refreshWindow(budget, nowMs);
  return { ...current, requests: current.requests + 1 };
}

/**
 * Takes one retry from the budget; undefined when it is exhausted. `share`, from 0 to 1, is the
 * largest share of the requests in the current and previous window that may be retried.
 */
export function takeRetry(
  budget: RetryBudget,
  share: number,
  nowMs: number,
): RetryBudget | undefined {
  const current = refreshWindow(budget, nowMs);
  const requests = current.requests + current.previousRequests;
  const retries = current.retries + current.previousRetries;
  if (retries >= Math.max(MIN_RETRIES, share * requests)) return undefined;
  return { ...current, retries: current.retries + 1 };
}
