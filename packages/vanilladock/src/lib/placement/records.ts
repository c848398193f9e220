/** Placement records: submissions, leases, outcomes, cancellations and quarantines. */
import type { Urgency } from '../config/schema.js';
import type { RecordHead } from '../log/record.js';
import type { Resources } from '../ports/workers.js';

/**
 * Submits a task; a second submission with the same task id has no effect, unless the first was
 * refused or its task ended so long ago that it is no longer kept.
 */
export interface SubmissionRecord extends RecordHead {
  readonly kind: 'task.submission';
  readonly taskId: string;
  readonly team: string;
  readonly urgency: Urgency;
  /** Kind of work; resource sizes are learned per kind. */
  readonly taskKind: string;
  readonly pool: string;
  /** Size that the caller asks for; used until a size is learned for the kind. */
  readonly declared: Resources;
}

/** Grants a task to a worker; the record's offset is the lease's fencing token. */
export interface LeaseRecord extends RecordHead {
  readonly kind: 'task.lease';
  readonly taskId: string;
  readonly workerId: string;
  readonly size: Resources;
  /** Offset of the task's previous lease; -1 for none. Void unless that is the newest one. */
  readonly follows: number;
  readonly durationMs: number;
  /** Fencing token of the planner's claim; void unless current. */
  readonly fence: number;
}

/**
 * Ends a lease. `never-runnable` instead rejects a queued task without a lease; its `leaseOffset`
 * is the offset of the task's newest lease, or -1.
 */
export interface TaskOutcomeRecord extends RecordHead {
  readonly kind: 'task.outcome';
  readonly taskId: string;
  readonly leaseOffset: number;
  readonly result: 'succeeded' | 'failed' | 'checkpointed' | 'lapsed' | 'never-runnable';
  readonly used: Resources;
  readonly reason: string;
  /**
   * Fencing token of the planner's claim; void for `lapsed` and `never-runnable` unless current.
   */
  readonly fence: number;
}

/** Cancels a queued task, or marks a leased one for its worker to stop. */
export interface CancellationRecord extends RecordHead {
  readonly kind: 'task.cancellation';
  readonly taskId: string;
}

/** Quarantines or readmits a worker. */
export interface QuarantineRecord extends RecordHead {
  readonly kind: 'worker.quarantine';
  readonly workerId: string;
  /** Pool of the worker; the record is fenced by that pool's placement duty. */
  readonly pool: string;
  readonly isQuarantined: boolean;
  /** Offset of the worker's previous quarantine record; -1 for none. Void unless the newest. */
  readonly follows: number;
  readonly reason: string;
  readonly fence: number;
}

/** Any placement record. */
export type PlacementRecord =
  SubmissionRecord | LeaseRecord | TaskOutcomeRecord | CancellationRecord | QuarantineRecord;
