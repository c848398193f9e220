/** Records about tasks: submissions, leases, outcomes, cancellations and quarantined workers. */
import type { Urgency } from '../config/schema.js';
import type { RecordHead } from '../log/record.js';
import type { Resources } from '../ports/workers.js';

/** A task as its caller submitted it; a second one with the same task id has no effect. */
export interface SubmissionRecord extends RecordHead {
  readonly kind: 'task.submission';
  readonly taskId: string;
  readonly team: string;
  readonly urgency: Urgency;
  /** Kind of work, by which sizes are learned. */
  readonly taskKind: string;
  readonly pool: string;
  readonly declared: Resources;
}

/** Grants a task to a worker; its offset is the lease's fencing token. */
export interface LeaseRecord extends RecordHead {
  readonly kind: 'task.lease';
  readonly taskId: string;
  readonly workerId: string;
  readonly size: Resources;
  /** Offset of the lease that this one replaces; -1 for none. Void unless it is the current one. */
  readonly follows: number;
  readonly durationMs: number;
  readonly fence: number;
}

/**
 * How a lease ended. `never-runnable` refuses a queued task that holds no lease: its `leaseOffset` is
 * the offset of the task's newest lease, or -1.
 */
export interface TaskOutcomeRecord extends RecordHead {
  readonly kind: 'task.outcome';
  readonly taskId: string;
  readonly leaseOffset: number;
  readonly result: 'succeeded' | 'failed' | 'checkpointed' | 'lapsed' | 'never-runnable';
  readonly used: Resources;
  readonly reason: string;
  /** Fencing token of the planner's claim; void for `lapsed` and `never-runnable` unless current. */
  readonly fence: number;
}

/** Withdraws a task. */
export interface CancellationRecord extends RecordHead {
  readonly kind: 'task.cancellation';
  readonly taskId: string;
}

/** Takes a worker out of use, or puts it back, on evidence. */
export interface QuarantineRecord extends RecordHead {
  readonly kind: 'worker.quarantine';
  readonly workerId: string;
  /** Pool of the worker, under whose duty it is judged. */
  readonly pool: string;
  readonly isQuarantined: boolean;
  /** Offset of the worker's record that this one follows; -1 for none. */
  readonly follows: number;
  readonly reason: string;
  readonly fence: number;
}

/** Any record about placement. */
export type PlacementRecord =
  SubmissionRecord | LeaseRecord | TaskOutcomeRecord | CancellationRecord | QuarantineRecord;
