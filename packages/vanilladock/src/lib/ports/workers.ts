/**
 * Port to the workers. A worker runs tasks under leases with fencing tokens and refuses a command
 * whose token is older than the newest that it has received for the task. It starts no token twice,
 * even after the first run has ended and is settled. It measures the duration of a lease on its own
 * clock from the moment at which it made the report that the command names, so that a late command
 * extends nothing.
 */
import type { Result } from 'ts-results-es';

/** Resources of a task or worker. */
export interface Resources {
  readonly cores: number;
  readonly memoryMb: number;
  readonly accelerators: number;
}

/** The lease of a task as sent to its worker. */
export interface TaskLease {
  readonly taskId: string;
  /** Offset of the record that granted the lease; later leases have higher tokens. */
  readonly fencingToken: number;
  readonly durationMs: number;
  /** The planner's duty; a lease can be renewed only under the duty that started it. */
  readonly duty: string;
  /** Token of the planner's claim; refused when older than the newest received for the duty. */
  readonly plannerFence: number;
  /** The report of the worker from which the duration counts; an unknown id is refused. */
  readonly reportId: string;
}

/** Renews every lease that a worker holds under a duty, each for its own duration. */
export interface WorkerRenewal {
  readonly kind: 'renew-worker';
  readonly duty: string;
  readonly plannerFence: number;
  readonly reportId: string;
  /** Tokens of leases whose outcomes are recorded; the worker stops reporting them. */
  readonly settled: readonly number[];
}

/** A command to a worker. */
export type WorkerCommand =
  | WorkerRenewal
  | { readonly kind: 'start'; readonly lease: TaskLease; readonly size: Resources }
  | { readonly kind: 'renew'; readonly lease: TaskLease }
  | { readonly kind: 'checkpoint'; readonly lease: TaskLease }
  | { readonly kind: 'throttle'; readonly lease: TaskLease; readonly share: number }
  | { readonly kind: 'stop'; readonly lease: TaskLease };

/**
 * `unknown`: no response, the command may have taken effect. `fenced`: the worker knows a newer
 * token, or the command starts a lease that was already used. `refused`: there was no effect.
 */
export interface WorkerError {
  readonly kind: 'unknown' | 'refused' | 'fenced';
  readonly message: string;
}

/** Report about one task, some seconds late; repeated until the task's outcome is settled. */
export interface TaskReport {
  readonly taskId: string;
  readonly fencingToken: number;
  readonly phase: 'running' | 'checkpointed' | 'stopped' | 'succeeded' | 'failed' | 'lapsed';
  readonly used: Resources;
  /** Share of its cores that the task may use; less than 1 while it is throttled. */
  readonly share: number;
}

/** Report of a worker about all its tasks at one moment. */
export interface WorkerReport {
  /** Opaque id of this report; ids are not reused after a restart of the worker. */
  readonly reportId: string;
  /** Newest fencing token of a planner whose command the worker has executed, by duty. */
  readonly plannerFences: Readonly<Record<string, number>>;
  readonly tasks: readonly TaskReport[];
}

/** The workers' command and report interface. */
export interface Workers {
  readonly send: (workerId: string, command: WorkerCommand) => Promise<Result<void, WorkerError>>;
  readonly fetchReport: (workerId: string) => Promise<Result<WorkerReport, WorkerError>>;
}
