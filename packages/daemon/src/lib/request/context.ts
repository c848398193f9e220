/** What the filters of the request path pass on about one request, and the headers they read. */
import type { Urgency, Values } from 'vanilladock';

/** Request and answer headers of the entry, in lower case. */
export const HEADERS = {
  team: 'vanilladock-team',
  urgency: 'vanilladock-urgency',
  requestId: 'vanilladock-request-id',
  idempotent: 'vanilladock-idempotent',
  deadlineMs: 'vanilladock-deadline-ms',
  code: 'vanilladock-code',
  verdict: 'vanilladock-verdict',
  /** Set by an upstream to say that it did not run the request. */
  notRun: 'vanilladock-not-run',
} as const;

/** A classified request. */
export interface RequestContext {
  readonly id: string;
  readonly service: string;
  readonly team: string;
  readonly urgency: Urgency;
  readonly isIdempotent: boolean;
  /** On the monotonic clock, in milliseconds. */
  readonly arrivedAtMs: number;
  readonly deadlineAtMs: number;
  /** Path and query to send to the upstream. */
  readonly path: string;
  readonly values: Values;
}
