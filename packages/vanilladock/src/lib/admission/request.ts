/** What admission knows of a request, and the answers that it gives. */
import type { Urgency, Values } from '../config/schema.js';
import type { Failure, FailureCode } from '../verdict.js';
import type { Leaf } from './leaf.js';

/** What admission needs to know of a request. */
export interface AdmissionRequest {
  readonly id: string;
  readonly service: string;
  readonly team: string;
  readonly urgency: Urgency;
  /** On the monotonic clock, in milliseconds. */
  readonly deadlineAtMs: number;
  readonly values: Pick<Values, 'weight' | 'quotaPerSecond' | 'queueLength'>;
}

/** Where a request stands. */
export type TicketState = 'waiting' | 'running' | 'ended';

/** One request in admission. */
export interface Ticket {
  readonly request: AdmissionRequest;
  readonly leaf: Leaf;
  state: TicketState;
  startedAtMs: number;
}

/** What a change in admission means for a request. */
export type Effect =
  | { readonly kind: 'start'; readonly ticket: Ticket }
  | { readonly kind: 'refuse'; readonly ticket: Ticket; readonly failure: Failure };

/** An arrival's ticket and what the arrival means for it and for others. */
export interface Arrival {
  readonly ticket: Ticket;
  readonly effects: readonly Effect[];
}

/** Codes of the refusals that admission gives. */
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

/** Makes a refusal; its verdict is always `not-run`. */
export function makeRefusal(code: RefusalCode, retryAfterMs: number): Failure {
  return { code, verdict: 'not-run', message: MESSAGES[code], retryAfterMs };
}
