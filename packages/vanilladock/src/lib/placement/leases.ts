/**
 * Decides on the time of leases. A worker counts a lease by its own clock from the moment when it made
 * the report that the command names, and the planner from when it received that report, which is
 * later: so the worker has always stopped before the planner counts the lease as lapsed, however long
 * a command or a planner was held up. The drift share covers clocks that run at different rates.
 *
 * A planner whose claim has lapsed, because the log service is down, goes on renewing the leases of
 * running tasks for a bounded time. A later planner cannot know that it did; so from a worker that has
 * not yet obeyed the later planner's own claim, it waits that bounded time out as well.
 */
import type { WorkerReport } from '../ports/workers.js';

/** Share by which two clocks may run apart. */
export const CLOCK_DRIFT_SHARE = 0.005;

/** Time added to every lapse for the worker to stop a task, in milliseconds. */
export const STOP_MARGIN_MS = 1_000;

/** Longest time for which leases are renewed after the planner's claim has lapsed. */
export const STRETCH_LIMIT_MS = 75 * 60_000;

/** Share of a lease after which it is renewed. */
export const RENEW_SHARE = 1 / 3;

/** What a planner knows of its claim on a duty; times are by its own clock, in milliseconds. */
export interface DutyView {
  readonly duty: string;
  /** Offset of the claim. */
  readonly fence: number;
  /** From when the planner may act: its claim was read back and earlier ones have lapsed. */
  readonly sinceMs: number;
  /** Until when no other may act on a later claim. */
  readonly heldUntilMs: number;
  /** Whether a later claim has been seen. */
  readonly isSuperseded: boolean;
  /** Longest time after `sinceMs` for which earlier planners may renew; 0 when they gave it up. */
  readonly predecessorStretchMs: number;
}

/** `held`: may decide all. `stretching`: may only renew running tasks. `lost`: may do nothing. */
export type DutyPhase = 'held' | 'stretching' | 'lost';

/** Classifies what a planner may do under its claim. */
export function classifyDuty(duty: DutyView, nowMs: number): DutyPhase {
  if (duty.isSuperseded) return 'lost';
  if (nowMs < duty.heldUntilMs) return 'held';
  return nowMs < duty.heldUntilMs + STRETCH_LIMIT_MS ? 'stretching' : 'lost';
}

/** What a planner knows of one worker; times are by the planner's clock, in milliseconds. */
export interface WorkerContact {
  readonly reportId: string;
  /** When the newest report was received. */
  readonly receivedMs: number;
  /** When the first report that shows the planner's own claim was received; undefined before. */
  readonly acceptedMs: number | undefined;
  /** When the newest report that the planner has named in a command was received; -1 for none. */
  readonly echoedMs: number;
  /** When the report that the newest renewal named was received; -Infinity for none. */
  readonly renewedMs: number;
}

/** Computes when a duration counted by another clock has surely passed. */
export function computeSafeEnd(fromMs: number, durationMs: number): number {
  return fromMs + durationMs * (1 + CLOCK_DRIFT_SHARE) + STOP_MARGIN_MS;
}

/** Computes from when the newest lease that a worker may hold counts at the latest. */
export function computeLeaseBase(duty: DutyView, contact: WorkerContact | undefined): number {
  const echoedMs = contact?.echoedMs ?? -1;
  if (contact?.acceptedMs !== undefined) return Math.max(echoedMs, contact.acceptedMs);
  const stretchMs = duty.predecessorStretchMs * (1 + CLOCK_DRIFT_SHARE);
  return Math.max(echoedMs, duty.sinceMs + stretchMs);
}

/** Says whether all leases of a worker have lapsed, so that their tasks may start elsewhere. */
export function isWorkerLapsed(
  duty: DutyView,
  contact: WorkerContact | undefined,
  durationMs: number,
  nowMs: number,
): boolean {
  return nowMs >= computeSafeEnd(computeLeaseBase(duty, contact), durationMs);
}

/** Says whether a worker's leases are due to be renewed. */
export function isRenewalDue(contact: WorkerContact, durationMs: number): boolean {
  return contact.receivedMs - contact.renewedMs >= durationMs * RENEW_SHARE;
}

/** Takes in a report received at a time under a claim. */
export function observeReport(
  contact: WorkerContact | undefined,
  report: WorkerReport,
  duty: DutyView,
  nowMs: number,
): WorkerContact {
  const isAccepted = report.plannerFences[duty.duty] === duty.fence;
  return {
    reportId: report.reportId,
    receivedMs: nowMs,
    acceptedMs: contact?.acceptedMs ?? (isAccepted ? nowMs : undefined),
    echoedMs: contact?.echoedMs ?? -1,
    renewedMs: contact?.renewedMs ?? -Infinity,
  };
}

/** Takes in that a command naming the newest report is sent. */
export function observeEcho(contact: WorkerContact): WorkerContact {
  return { ...contact, echoedMs: contact.receivedMs };
}

/** Takes in that a renewal naming the newest report is sent. */
export function observeRenewal(contact: WorkerContact): WorkerContact {
  return { ...observeEcho(contact), renewedMs: contact.receivedMs };
}
