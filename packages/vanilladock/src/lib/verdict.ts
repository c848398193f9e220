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
  | 'upgrade-refused'
  | 'not-ready'
  | 'draining'
  | 'queue-full'
  | 'quota-exceeded'
  | 'deadline-passed'
  | 'no-upstream'
  | 'connect-failed'
  | 'upstream-refused'
  | 'upstream-reset'
  | 'upstream-timeout'
  | 'upstream-truncated'
  | 'caller-left'
  | 'never-runnable'
  | 'store-unavailable';

/** A failure as reported to a caller. */
export interface Failure {
  readonly code: FailureCode;
  readonly verdict: Verdict;
  /** What happened and what the caller can do, in one sentence. */
  readonly message: string;
  /** Milliseconds after which a retry is likely to be served; only for `not-run`. */
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
