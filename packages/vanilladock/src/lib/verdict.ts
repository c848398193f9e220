/**
 * Verdicts and refusals. A verdict says whether a request may have run at an upstream; every answer
 * that an entry gives on its own account carries one, together with a stable code.
 */

/** `not-run`: proved not to have run. `may-have-run`: unknown. `ran`: an upstream answered it. */
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

/** A failure as told to a caller. */
export interface Failure {
  readonly code: FailureCode;
  readonly verdict: Verdict;
  /** What happened and what to do next, in one sentence. */
  readonly message: string;
  /** Milliseconds after which a retry is likely to be served; only for `not-run`. */
  readonly retryAfterMs?: number;
}

/** Says whether a failed request may be sent again without running it twice. */
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
