/**
 * Retry filter: a request is sent again only when a second run is impossible or harmless, when the
 * retry budget of its service allows it, and while the service does not shed load. A refusal by an
 * upstream that is leaving is not charged to the budget: nothing ran, and the upstream is skipped
 * from then on. A request that breaks one connection after another may be crashing its upstreams,
 * and is not sent to a third one.
 */
import {
  addRequest,
  createRetryBudget,
  isRetryable,
  takeRetry,
  type RetryBudget,
} from 'vanilladock';
import type { RequestContext } from './context.js';
import type { ForwardResult } from './forward.js';

/** The retry filter of one entry. */
export interface RetryFilter {
  /** Counts a first attempt of a request; the retry budget is a share of these. */
  readonly observeRequest: (service: string) => void;
  /**
   * Takes a retry out of the budget; false when there is none or the service sheds load. `share`
   * is the allowed number of retries as a share, from 0 to 1, of the service's requests.
   */
  readonly takeRetry: (service: string, share: number) => boolean;
  /**
   * Decides whether to try again after a failed attempt; takes the retry out of the budget. `counts`
   * includes that attempt.
   */
  readonly mayRetry: (
    context: RequestContext,
    result: ForwardResult,
    counts: AttemptCounts,
  ) => boolean;
}

/** Attempts that were made for a request. */
export interface AttemptCounts {
  readonly attempts: number;
  /** Attempts whose upstream had the request when their connection broke. */
  readonly breaks: number;
}

const MAX_ATTEMPTS = 4;

/** Upstreams whose connections one request may break. */
const MAX_BREAKS = 2;

/** Counts an attempt that has failed. */
export function addAttempt(counts: AttemptCounts, { failure }: ForwardResult): AttemptCounts {
  const hasBroken = failure?.code === 'upstream-reset' && failure.verdict === 'may-have-run';
  return { attempts: counts.attempts + 1, breaks: counts.breaks + (hasBroken ? 1 : 0) };
}

/** Creates the retry filter. */
export function createRetryFilter(isShedding: (service: string) => boolean): RetryFilter {
  const budgets = new Map<string, RetryBudget>();
  const getBudget = (service: string, nowMs: number) =>
    budgets.get(service) ?? createRetryBudget(nowMs);

  const takeFromBudget = (service: string, share: number): boolean => {
    if (isShedding(service)) return false;
    const nowMs = performance.now();
    const updatedBudget = takeRetry(getBudget(service, nowMs), share, nowMs);
    if (updatedBudget !== undefined) budgets.set(service, updatedBudget);
    return updatedBudget !== undefined;
  };
  return {
    observeRequest: (service) => {
      const nowMs = performance.now();
      budgets.set(service, addRequest(getBudget(service, nowMs), nowMs));
    },
    takeRetry: takeFromBudget,
    mayRetry: ({ isIdempotent, service, values }, { failure, observation }, counts) => {
      if (failure === undefined || counts.attempts >= MAX_ATTEMPTS) return false;
      if (counts.breaks >= MAX_BREAKS) return false;
      if (failure.code === 'bad-request') return false;
      if (!isRetryable(failure.verdict, isIdempotent)) return false;
      const isUncharged = observation.departureSignal === 'leaving';
      return isUncharged || takeFromBudget(service, values.retryBudgetShare);
    },
  };
}
