/**
 * One deadline for the drain of an entry. A request is taken only while its own time limit ends
 * before the last time at which the entry answers, so that each request taken gets its full time;
 * any other is refused as not run, and another entry serves it. A request that was sent to an
 * upstream before the drain may go on until that time and then gets its final answer.
 */
import type { Failure } from '../verdict.js';

/** Times of a drain as the settings give them, in milliseconds. */
export interface DrainTimes {
  /** Time between failing readiness and refusing connections. */
  readonly noticeMs: number;
  /** Longest wait for requests in progress after the notice. */
  readonly limitMs: number;
}

/** A drain in progress; times are on the monotonic clock, in milliseconds. */
export interface DrainPlan {
  readonly noticeEndsAtMs: number;
  /** Last time at which a request gets its answer. */
  readonly answerByMs: number;
  /** Time at which the connections that are left are closed. */
  readonly closeByMs: number;
}

/** Whether a request may be sent to an upstream; a refused one did not run. */
export type DrainDecision =
  { readonly kind: 'take' } | { readonly kind: 'refuse'; readonly failure: Failure };

/**
 * Part of the limit in which the last answers leave, in milliseconds. It is longer than the time
 * for which an entry discards the rest of a rejected body (500 ms) before it ends the answer.
 */
const ANSWER_RESERVE_MS = 1_000;

/** Largest share of the limit that is reserved for the last answers. */
const MAX_RESERVE_SHARE = 1 / 3;

/** Shortest time after which a refused caller is asked to come back, in milliseconds. */
const MIN_RETRY_AFTER_MS = 1_000;

const TAKE: DrainDecision = { kind: 'take' };

/** Plans a drain that starts at `startedAtMs` on the monotonic clock. */
export function planDrain(startedAtMs: number, { noticeMs, limitMs }: DrainTimes): DrainPlan {
  const noticeEndsAtMs = startedAtMs + noticeMs;
  const closeByMs = noticeEndsAtMs + limitMs;
  const reserveMs = Math.min(ANSWER_RESERVE_MS, limitMs * MAX_RESERVE_SHARE);
  return { noticeEndsAtMs, answerByMs: closeByMs - reserveMs, closeByMs };
}

/** Builds the refusal of a request that was not sent; it is to be sent again over a new connection. */
export function makeDrainingFailure(retryAfterMs = MIN_RETRY_AFTER_MS): Failure {
  return {
    code: 'draining',
    verdict: 'not-run',
    message: 'This entry is stopping and did not run the request; connect again and send it again.',
    retryAfterMs,
  };
}

/**
 * Decides whether a request with a deadline on the monotonic clock may be sent to an upstream now;
 * without a plan, no drain is in progress. A refused caller comes back when the notice has ended,
 * because new connections may reach this entry until then.
 */
export function decideDrainingRequest(
  plan: DrainPlan | undefined,
  deadlineAtMs: number,
  nowMs: number,
): DrainDecision {
  if (plan === undefined || deadlineAtMs <= plan.answerByMs) return TAKE;
  const retryAfterMs = Math.max(MIN_RETRY_AFTER_MS, plan.noticeEndsAtMs - nowMs);
  return { kind: 'refuse', failure: makeDrainingFailure(retryAfterMs) };
}
