/**
 * Lease timing. A worker measures a lease on its own clock from the moment at which it made the
 * report that the command names. The planner measures it from the receipt of that report, which is
 * later. The worker therefore always stops before the planner considers the lease lapsed, however
 * long a command or a planner was delayed. The drift share covers clocks that run at different
 * rates.
 *
 * A planner whose claim has lapsed because the log service is down keeps renewing the leases of
 * running tasks for a bounded grace period. A later planner cannot know whether it did, so for a
 * worker that has not yet accepted the later planner's claim it also waits until that grace period
 * is over.
 */
import type { WorkerReport } from '../ports/workers.js';

/** Largest relative drift between two clocks. */
export const CLOCK_DRIFT_SHARE = 0.005;

/** Margin added to every lapse for the worker to stop its tasks, in milliseconds. */
export const STOP_MARGIN_MS = 1_000;

/** Longest grace period, after the planner's claim has lapsed, in which leases are renewed. */
export const RENEWAL_GRACE_MS = 75 * 60_000;

/** Share of a lease's duration after which it is renewed. */
export const RENEW_SHARE = 1 / 3;

/** A planner's view of its claim on a duty; times are on its monotonic clock. */
export interface DutyView {
  readonly duty: string;
  /** Offset of the claim's record, which is its fencing token. */
  readonly fence: number;
  /** Time from which the planner may act: its claim was read back and earlier ones have lapsed. */
  readonly sinceMs: number;
  /** Time before which no other planner may act on a later claim. */
  readonly heldUntilMs: number;
  /** Whether a later claim has been seen. */
  readonly isSuperseded: boolean;
  /** Longest time after `sinceMs` in which earlier planners may renew; 0 when they released it. */
  readonly predecessorGraceMs: number;
}

/** `held`: may decide everything. `grace`: may only renew running tasks. `lost`: may do nothing. */
export type DutyPhase = 'held' | 'grace' | 'lost';

/** Classifies what a planner may do under its claim at `nowMs`, on its monotonic clock. */
export function classifyDuty(duty: DutyView, nowMs: number): DutyPhase {
  if (duty.isSuperseded) return 'lost';
  if (nowMs < duty.heldUntilMs) return 'held';
  return nowMs < duty.heldUntilMs + RENEWAL_GRACE_MS ? 'grace' : 'lost';
}

/** Exchange of reports and commands with one worker; times are on the planner's clock, in ms. */
export interface WorkerContact {
  readonly reportId: string;
  /** When the newest report was received. */
  readonly receivedMs: number;
  /** When the first report that accepts the planner's claim was received; undefined before that. */
  readonly acceptedMs: number | undefined;
  /** Time of receipt of the newest report that the planner named in a command; -1 for none. */
  readonly echoedMs: number;
  /** Time of receipt of the report that the newest renewal named; -Infinity for none. */
  readonly renewedMs: number;
}

/**
 * Computes when a duration measured on another clock has certainly elapsed, with drift and
 * `STOP_MARGIN_MS`. The result is on the clock of `fromMs`.
 */
export function computeSafeEnd(fromMs: number, durationMs: number): number {
  return fromMs + durationMs * (1 + CLOCK_DRIFT_SHARE) + STOP_MARGIN_MS;
}

/**
 * Computes the latest possible start of the newest lease that a worker may hold, on the planner's
 * clock. Before the worker has accepted the claim, that includes renewals by earlier planners.
 */
export function computeLeaseBase(duty: DutyView, contact: WorkerContact | undefined): number {
  const echoedMs = contact?.echoedMs ?? -1;
  if (contact?.acceptedMs !== undefined) return Math.max(echoedMs, contact.acceptedMs);
  const graceMs = duty.predecessorGraceMs * (1 + CLOCK_DRIFT_SHARE);
  return Math.max(echoedMs, duty.sinceMs + graceMs);
}

/**
 * Says whether all leases of a worker have lapsed, so that their tasks may start elsewhere.
 * `durationMs` is the longest of them; `contact` is undefined before the worker's first report.
 */
export function isWorkerLapsed(
  duty: DutyView,
  contact: WorkerContact | undefined,
  durationMs: number,
  nowMs: number,
): boolean {
  return nowMs >= computeSafeEnd(computeLeaseBase(duty, contact), durationMs);
}

/** Says whether a worker's leases are due to be renewed; only a newer report can make them due. */
export function isRenewalDue(contact: WorkerContact, durationMs: number): boolean {
  return contact.receivedMs - contact.renewedMs >= durationMs * RENEW_SHARE;
}

/** Updates the contact, undefined for a first report, with a report received at `nowMs`. */
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

/** Updates the contact for a command that names the newest report. */
export function observeEcho(contact: WorkerContact): WorkerContact {
  return { ...contact, echoedMs: contact.receivedMs };
}

/** Updates the contact for a renewal that names the newest report. */
export function observeRenewal(contact: WorkerContact): WorkerContact {
  return { ...observeEcho(contact), renewedMs: contact.receivedMs };
}
