/**
 * Port to the workers. A worker runs tasks under leases with fencing tokens and refuses a command
 * whose token is older than the newest that it has seen for the task; it starts no token twice, also
 * when the first start has ended and is settled. It counts the time of a lease
 * by its own clock from the moment when it made the report that the command names, so that a command
 * which arrives late extends nothing.
 */
import type { Result } from 'ts-results-es';

/** Resources of a task or worker. */
export interface Resources {
  readonly cores: number;
  readonly memoryMb: number;
  readonly accelerators: number;
}

/** A task's lease as given to a worker. */
export interface TaskLease {
  readonly taskId: string;
  /** Offset of the record that granted the lease; later leases have larger tokens. */
  readonly fencingToken: number;
  readonly durationMs: number;
  /** The planner's duty; a lease is renewed only under the duty that started it. */
  readonly duty: string;
  /** Fencing token of the planner's claim; refused when older than the newest seen for the duty. */
  readonly plannerFence: number;
  /** The worker's report from whose making the duration counts; an unknown one is refused. */
  readonly reportId: string;
}

/** Renews every lease that a worker holds under a duty, each for its own duration. */
export interface WorkerRenewal {
  readonly kind: 'renew-worker';
  readonly duty: string;
  readonly plannerFence: number;
  readonly reportId: string;
  /** Tokens of leases whose outcomes are recorded; the worker need not report them any more. */
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

/** `unknown`: no answer, the command may have taken effect. */
export interface WorkerError {
  readonly kind: 'unknown' | 'refused' | 'fenced';
  readonly message: string;
}

/** What a worker reports of one task, some seconds late, until its outcome is settled. */
export interface TaskReport {
  readonly taskId: string;
  readonly fencingToken: number;
  readonly phase: 'running' | 'checkpointed' | 'stopped' | 'succeeded' | 'failed' | 'lapsed';
  readonly used: Resources;
  /** Share of its cores that the task may use; less than 1 while it is throttled. */
  readonly share: number;
}

/** Everything that a worker reports at one moment. */
export interface WorkerReport {
  /** Opaque name of this report, different after a restart of the worker. */
  readonly reportId: string;
  /** Newest fencing token of a planner whose command the worker has obeyed, for each duty. */
  readonly plannerFences: Readonly<Record<string, number>>;
  readonly tasks: readonly TaskReport[];
}

/** The workers' command and report interface. */
export interface Workers {
  readonly send: (workerId: string, command: WorkerCommand) => Promise<Result<void, WorkerError>>;
  readonly fetchReport: (workerId: string) => Promise<Result<WorkerReport, WorkerError>>;
}
