/**
 * Port to the workers. A worker runs tasks under leases with fencing tokens and refuses a command
 * whose token is older than the newest that it has seen for the task.
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
}

/** A command to a worker. */
export type WorkerCommand =
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

/** What a worker reports of one task, some seconds late. */
export interface TaskReport {
  readonly taskId: string;
  readonly fencingToken: number;
  readonly phase: 'running' | 'checkpointed' | 'succeeded' | 'failed' | 'lapsed';
  readonly used: Resources;
}

/** The workers' command and report interface. */
export interface Workers {
  readonly send: (workerId: string, command: WorkerCommand) => Promise<Result<void, WorkerError>>;
  readonly fetchReports: (workerId: string) => Promise<Result<readonly TaskReport[], WorkerError>>;
}
