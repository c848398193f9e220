/**
 * Verdicts and failures. A verdict tells whether a request may have run at an upstream. Every
 * answer that an entry generates itself carries a verdict and a stable failure code.
 */

/**
 * Whether a request ran: `not-run` when it certainly did not, `may-have-run` when that is unknown,
 * `ran` when an upstream answered it.
 */
export type Verdict = 'not-run' | 'may-have-run' | 'ran';

/** Stable codes of refusals and failures, as sent in the header `vanilladock-code`. */
export type FailureCode =
  | 'bad-request'
  | 'unknown-service'
  | 'body-too-large'
  /** The caller asked for a protocol upgrade or a tunnel (CONNECT). */
  | 'upgrade-refused'
  /** The entry has no configuration yet; another entry may serve the request. */
  | 'not-ready'
  | 'draining'
  /** Overload: no place for the request or task, or its turn would come too late. */
  | 'queue-full'
  /** The rate quota of the caller's team is used up. */
  | 'quota-exceeded'
  /** The deadline passed, or came too close, before the request was sent to an upstream. */
  | 'deadline-passed'
  /** The service has no upstream that takes work. */
  | 'no-upstream'
  /** No connection to the upstream opened, or it broke before the request was sent. */
  | 'connect-failed'
  /** The upstream stated that it did not run the request. */
  | 'upstream-refused'
  /** The connection broke after the request was sent, so it may have run. */
  | 'upstream-reset'
  /** The deadline passed while the upstream had the request, so it may have run. */
  | 'upstream-timeout'
  /** The upstream answered, but its answer is incomplete or cannot be verified. */
  | 'upstream-truncated'
  /** The caller closed its connection before the answer. */
  | 'caller-left'
  | 'never-runnable'
  /** The log service does not respond, so a task cannot be recorded. */
  | 'store-unavailable';

/** A failure as reported to a caller. */
export interface Failure {
  readonly code: FailureCode;
  readonly verdict: Verdict;
  /** What happened and what the caller can do, in one sentence. */
  readonly message: string;
  /** Milliseconds from now after which a retry is likely to be served; only for `not-run`. */
  readonly retryAfterMs?: number;
}

/**
 * Says whether a failed request may be retried: it did not run, or may have run but is idempotent.
 */
export function isRetryable(verdict: Verdict, isIdempotent: boolean): boolean {
  switch (verdict) {
    case 'not-run':
      return true;
    case 'may-have-run':
      return isIdempotent;
    case 'ran':
      return false;
    default:
      return verdict satisfies never;
  }
}
