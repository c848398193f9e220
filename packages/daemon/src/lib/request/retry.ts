/**
 * Retry filter: a request is sent again only when that cannot run it twice, when the budget of its
 * service allows it, and while the service has room. An upstream's refusal because it is leaving
 * costs nothing of the budget, since nothing was run and the upstream is passed over from then on.
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
  readonly observeRequest: (service: string) => void;
  /** Takes a retry out of the budget, a share from 0 to 1 of the service's requests. */
  readonly takeRetry: (service: string, share: number) => boolean;
  /** Decides on one more attempt after a failed one; takes it out of the budget. */
  readonly mayRetry: (context: RequestContext, result: ForwardResult, attempts: number) => boolean;
}

const MAX_ATTEMPTS = 4;

/** Creates the retry filter. */
export function createRetryFilter(isShedding: (service: string) => boolean): RetryFilter {
  const budgets = new Map<string, RetryBudget>();
  const getBudget = (service: string, nowMs: number) =>
    budgets.get(service) ?? createRetryBudget(nowMs);

  const takeFromBudget = (service: string, share: number): boolean => {
    if (isShedding(service)) return false;
    const nowMs = performance.now();
    const taken = takeRetry(getBudget(service, nowMs), share, nowMs);
    if (taken !== undefined) budgets.set(service, taken);
    return taken !== undefined;
  };
  return {
    observeRequest: (service) => {
      const nowMs = performance.now();
      budgets.set(service, addRequest(getBudget(service, nowMs), nowMs));
    },
    takeRetry: takeFromBudget,
    mayRetry: ({ isIdempotent, service, values }, { failure, observation }, attempts) => {
      if (failure === undefined || attempts >= MAX_ATTEMPTS) return false;
      if (failure.code === 'bad-request') return false;
      if (!isRetryable(failure.verdict, isIdempotent)) return false;
      const isFree = observation.stay === 'leaving';
      return isFree || takeFromBudget(service, values.retryBudgetShare);
    },
  };
}
