/**
 * Decides whether a request about a job is sent again. A submission that cannot reach a planner is
 * refused after the short time that a planned hand-over takes; queries and cancels, which are
 * idempotent, are retried for a little longer. No attempt starts that could not end before the
 * answer is due.
 */
import type { JobReply, JobRequest } from './job-request.js';

/** Time limits of a single call to a peer. */
const SUBMIT_TIMEOUT_MS = 1_000;
const QUERY_TIMEOUT_MS = 700;

/** An attempt may follow one redirect. */
const CALLS_PER_ATTEMPT = 2;

/** How long a query or cancel is retried; a reply that asks for a longer pause is final. */
const QUERY_RETRY_LIMIT_MS = 1_800;

/** How long a submission is retried while no planner is available, as during a hand-over. */
const HANDOVER_RETRY_LIMIT_MS = 300;

/** How long a submission that may have been stored is retried until its acceptance is confirmed. */
const SUBMIT_RETRY_LIMIT_MS = 2_200;

/** Pause between two attempts. */
export const RETRY_PAUSE_MS = 150;

/** Computes the time limit of a single call to a peer. */
export function computePeerTimeoutMs(kind: JobRequest['kind']): number {
  return kind === 'submit' ? SUBMIT_TIMEOUT_MS : QUERY_TIMEOUT_MS;
}

/** Computes how long one attempt of a request may last. */
export function computeAttemptLimitMs(kind: JobRequest['kind']): number {
  return computePeerTimeoutMs(kind) * CALLS_PER_ATTEMPT;
}

/** A reply and what is known of the attempts before it. */
export interface Attempt {
  readonly kind: JobRequest['kind'];
  readonly reply: JobReply;
  /** Whether an attempt, this one included, may have stored a submission or a cancel. */
  readonly mayBeStored: boolean;
  /** Time since the request arrived. */
  readonly ageMs: number;
  /** Time that is left until the answer is due. */
  readonly leftMs: number;
}

/** Says whether a reply leaves open that a later attempt succeeds. */
function isOpen({ kind, reply, mayBeStored, ageMs }: Attempt): boolean {
  switch (reply.kind) {
    case 'unknown':
      return true;
    case 'unavailable':
      if (reply.retryAfterMs > QUERY_RETRY_LIMIT_MS) return false;
      return kind !== 'submit' || mayBeStored || ageMs <= HANDOVER_RETRY_LIMIT_MS;
    case 'refused':
      // The job may have been stored by an earlier attempt, so that a refusal could be wrong.
      return mayBeStored;
    case 'accepted':
    case 'state':
    case 'no-such-job':
    case 'foreign-job':
    case 'cancelled':
    case 'pending':
    case 'content':
    case 'demand':
    case 'team-use':
    case 'elsewhere':
      return false;
    default:
      return reply satisfies never;
  }
}

/** Decides whether a request is sent again after an attempt. */
export function decideRetry(attempt: Attempt): 'retry' | 'final' {
  const limitMs = attempt.kind === 'submit' ? SUBMIT_RETRY_LIMIT_MS : QUERY_RETRY_LIMIT_MS;
  const isWithinLimit = attempt.ageMs <= limitMs;
  const isFitting = attempt.leftMs >= RETRY_PAUSE_MS + computeAttemptLimitMs(attempt.kind);
  return isOpen(attempt) && isWithinLimit && isFitting ? 'retry' : 'final';
}

/** Chooses the reply that is given after the last attempt. */
export function chooseFinalReply({ reply, mayBeStored }: Attempt): JobReply {
  const isRefusal = reply.kind === 'refused' || reply.kind === 'unavailable';
  return mayBeStored && (isRefusal || reply.kind === 'unknown')
    ? { kind: 'unknown', why: 'no planner has confirmed it' }
    : reply;
}
