/**
 * Port to workers that run tasks under one lease a worker, keep the highest fencing token that they
 * have seen, and list what runs and what ended. An order without an answer may take effect later.
 */
import type { Resources } from './workers.js';

/** A life of a worker process as it registers itself. */
export interface WorkerEntry {
  readonly id: string;
  /** Start of this life, in milliseconds since 1970; a new life knows nothing of earlier ones. */
  readonly bornMs: number;
  readonly address: string;
  readonly pool: string;
  readonly instance: string | undefined;
  readonly rack: string | undefined;
  readonly labels: readonly string[];
  readonly capacity: Resources;
  readonly phase: 'ready' | 'draining';
}

/** A task that a worker runs. */
export interface RunningTask {
  readonly taskKey: string;
  readonly run: number;
  /** Newest checkpoint; empty when there is none. */
  readonly checkpoint: string;
  /** Progress of a batch task, or readiness of a lasting one, 0 to 100. */
  readonly percent: number;
  /** Tail latency in milliseconds of a lasting task, thousandths of a core in use of another. */
  readonly load: number;
}

/** How a run ended: `lapsed` with its lease, `broken` with its gang, `alone` waiting for its gang. */
export type RunEnd = 'done' | 'failed' | 'stopped' | 'lapsed' | 'broken' | 'alone';

/** A run that ended; `number` counts the ends of one life of the worker from 1. */
export interface EndedTask {
  readonly number: number;
  readonly taskKey: string;
  readonly run: number;
  readonly how: RunEnd;
  readonly checkpoint: string;
}

/** What a worker lists at one moment. */
export interface TaskReport {
  readonly bornMs: number | undefined;
  /** The worker's own steady clock. */
  readonly clockMs: number;
  readonly running: readonly RunningTask[];
  readonly ended: readonly EndedTask[];
}

/** The life of a worker that an order is meant for. */
export interface WorkerTarget {
  readonly id: string;
  readonly address: string;
}

/** Starts one run of a task. */
export interface StartOrder {
  readonly taskKey: string;
  readonly run: number;
  readonly payload: string;
  /** End of the lease on the worker's clock. */
  readonly leaseUntilMs: number;
  readonly fencingToken: number;
  readonly checkpoint: string;
  readonly ticket: string | undefined;
}

/** Why a worker rejected an order: it did nothing and never will. */
export type Rejection =
  | 'fenced'
  | 'old-run'
  | 'late'
  | 'no-room'
  | 'no-ticket'
  | 'unhealthy'
  | 'other-life'
  | 'malformed';

/** Outcome of an order; an `unknown` one may take effect later. */
export type OrderOutcome =
  | { readonly kind: 'accepted'; readonly clockMs: number }
  | { readonly kind: 'rejected'; readonly why: Rejection }
  | { readonly kind: 'unknown' };

/** Outcome of a renewal. */
export type RenewOutcome =
  | { readonly kind: 'report'; readonly report: TaskReport }
  | { readonly kind: 'rejected'; readonly why: Rejection }
  | { readonly kind: 'unknown' };

/** Renews a worker's lease and asks for its lists. */
export interface RenewOrder {
  readonly fencingToken: number;
  /** Ends up to this number are stored; the worker may forget them. */
  readonly lastSeenEnd: number;
  readonly leaseUntilMs: number | undefined;
  /** The answer waits this long for an end. */
  readonly waitMs: number;
}

/** Sets the share of its processor that a running task may use. */
export interface PaceOrder {
  readonly taskKey: string;
  readonly run: number;
  readonly percent: number;
  readonly fencingToken: number;
}

/** The workers' interface. */
export interface TaskWorkers {
  readonly startTask: (worker: WorkerTarget, order: StartOrder) => Promise<OrderOutcome>;
  readonly stopTask: (
    worker: WorkerTarget,
    order: Pick<StartOrder, 'taskKey' | 'run' | 'fencingToken'>,
  ) => Promise<OrderOutcome>;
  readonly renew: (worker: WorkerTarget, order: RenewOrder) => Promise<RenewOutcome>;
  readonly pace: (worker: WorkerTarget, order: PaceOrder) => Promise<OrderOutcome>;
}
