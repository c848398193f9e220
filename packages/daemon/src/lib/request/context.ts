/** Per-request context shared by the filters of the request path, and the headers that they use. */
import type { Urgency, Values } from 'vanilladock';

/** Names of the entry's own request and response headers, in lower case. */
export const HEADERS = {
  team: 'vanilladock-team',
  urgency: 'vanilladock-urgency',
  requestId: 'vanilladock-request-id',
  idempotent: 'vanilladock-idempotent',
  deadlineMs: 'vanilladock-deadline-ms',
  code: 'vanilladock-code',
  verdict: 'vanilladock-verdict',
  /** Set by an upstream to state that it did not run the request. */
  notRun: 'vanilladock-not-run',
} as const;

/** A request classified by its head. */
export interface RequestContext {
  /** Id that the caller gave, else a random one. */
  readonly id: string;
  readonly service: string;
  readonly team: string;
  readonly urgency: Urgency;
  /** Whether the method is idempotent or the caller states that the request is. */
  readonly isIdempotent: boolean;
  /** On the monotonic clock, in milliseconds. */
  readonly arrivedAtMs: number;
  /** On the monotonic clock, in milliseconds. */
  readonly deadlineAtMs: number;
  /** Path and query to send to the upstream, without the segment that names the service. */
  readonly path: string;
  /** Configuration values that apply to the service and team. */
  readonly values: Values;
}
