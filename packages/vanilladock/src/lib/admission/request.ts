/** The input and the results of admission: requests, their tickets, effects and refusals. */
import type { Urgency, Values } from '../config/schema.js';
import type { Failure, FailureCode } from '../verdict.js';
import type { Leaf } from './share-tree.js';

/** The properties of a request that admission decides by. */
export interface AdmissionRequest {
  readonly id: string;
  readonly service: string;
  readonly team: string;
  readonly urgency: Urgency;
  /** Deadline on the monotonic clock, in milliseconds. */
  readonly deadlineAtMs: number;
  /** The configured values that are in effect for the request. */
  readonly values: Pick<Values, 'weight' | 'quotaPerSecond' | 'queueLength'>;
}

/** Stage of a request in admission; `ended` covers completed and refused requests. */
export type TicketState = 'waiting' | 'running' | 'ended';

/** A request in admission and its state. */
export interface Ticket {
  readonly request: AdmissionRequest;
  /** The request's team within its urgency, which is charged for it. */
  readonly leaf: Leaf;
  state: TicketState;
  /** When the request got its slot, on the monotonic clock; 0 before that. */
  startedAtMs: number;
}

/**
 * An effect of an admission decision on a request: it starts, or it is refused and ends. A request
 * whose caller left is refused too.
 */
export type Effect =
  | { readonly kind: 'start'; readonly ticket: Ticket }
  | { readonly kind: 'refuse'; readonly ticket: Ticket; readonly failure: Failure };

/**
 * The ticket of a new request, in its state after the decision, and the effects of the arrival on
 * it and on other requests. Without an effect on it, it waits.
 */
export interface Arrival {
  readonly ticket: Ticket;
  readonly effects: readonly Effect[];
}

/** Codes with which admission refuses requests. */
export type RefusalCode = Extract<
  FailureCode,
  'queue-full' | 'quota-exceeded' | 'deadline-passed' | 'caller-left'
>;

const MESSAGES: Readonly<Record<RefusalCode, string>> = {
  'queue-full':
    'The service cannot take the request in time, so it did not run; send it again after the given time.',
  'quota-exceeded':
    "The team's quota is used up, so the request did not run; send it again after the given time.",
  'deadline-passed':
    'The deadline passed before a place came free, so the request did not run; send it again after the given time.',
  'caller-left': 'The caller left before a place came free; the request did not run.',
};

/**
 * Makes a refusal, whose verdict is always `not-run`; `retryAfterMs` is the time from now after
 * which the caller may retry.
 */
export function makeRefusal(code: RefusalCode, retryAfterMs: number): Failure {
  return { code, verdict: 'not-run', message: MESSAGES[code], retryAfterMs };
}
