/**
 * Port to workers that run tasks under one lease per worker, remember the highest fencing token
 * that they have received, and list running and ended tasks. An order without a response may take
 * effect later.
 */
import type { Resources } from './workers.js';

/** An incarnation of a worker process as it registers itself. */
export interface WorkerEntry {
  readonly id: string;
  /** Start of this incarnation, in ms since 1970; a new one has no state of earlier ones. */
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
  /** Progress of a batch task or readiness of a lasting task, from 0 to 100. */
  readonly percent: number;
  /** Tail latency in ms of a lasting task; cores used by another, in thousandths of a core. */
  readonly load: number;
}

/**
 * How a run ended. `lapsed`: its lease expired. `broken`: its gang was broken up. `alone`: it was
 * still waiting for its gang.
 */
export type RunEnd = 'done' | 'failed' | 'stopped' | 'lapsed' | 'broken' | 'alone';

/** A run that ended; `number` counts the ended runs of one worker incarnation from 1. */
export interface EndedTask {
  readonly number: number;
  readonly taskKey: string;
  readonly run: number;
  readonly how: RunEnd;
  readonly checkpoint: string;
}

/** Running and ended tasks of a worker at one moment. */
export interface TaskReport {
  /** Start of the reporting incarnation, in ms since 1970; undefined when not reported. */
  readonly bornMs: number | undefined;
  /** Time on the worker's monotonic clock. */
  readonly clockMs: number;
  /** Present capacity; undefined when not reported, and the worker's entry then tells it. */
  readonly capacity?: Resources | undefined;
  readonly running: readonly RunningTask[];
  readonly ended: readonly EndedTask[];
}

/** The worker incarnation that an order is addressed to. */
export interface WorkerTarget {
  readonly id: string;
  readonly address: string;
}

/** Order to start one run of a task. */
export interface StartOrder {
  readonly taskKey: string;
  readonly run: number;
  readonly payload: string;
  /** End of the lease on the worker's monotonic clock. */
  readonly leaseUntilMs: number;
  readonly fencingToken: number;
  readonly checkpoint: string;
  readonly ticket: string | undefined;
}

/**
 * Why a worker rejected an order; a rejected order never takes effect. `fenced`: it knows a later
 * token. `other-life`: the addressed incarnation has ended.
 */
export type Rejection =
  | 'fenced'
  | 'old-run'
  | 'late'
  | 'no-room'
  | 'no-ticket'
  | 'unhealthy'
  | 'other-life'
  | 'malformed';

/** Outcome of an order; an order with an `unknown` outcome may take effect later. */
export type OrderOutcome =
  | { readonly kind: 'accepted'; readonly clockMs: number }
  | { readonly kind: 'rejected'; readonly why: Rejection }
  | { readonly kind: 'unknown' };

/**
 * Outcome of a renewal. `isRefused`: the address refused the connection before the time for
 * an answer was over, as that of a process that has ended.
 */
export type RenewOutcome =
  | { readonly kind: 'report'; readonly report: TaskReport }
  | { readonly kind: 'rejected'; readonly why: Rejection }
  | { readonly kind: 'unknown'; readonly isRefused?: true | undefined };

/** Order to renew a worker's lease and report its tasks. */
export interface RenewOrder {
  readonly fencingToken: number;
  /** Ended runs up to this number are stored; the worker may drop them. */
  readonly lastSeenEnd: number;
  /** New end of the lease on the worker's monotonic clock; undefined to leave it unextended. */
  readonly leaseUntilMs: number | undefined;
  /** Maximum time for which the worker delays its response until a run ends. */
  readonly waitMs: number;
}

/** Order that sets the share of its cores that a running task may use. */
export interface PaceOrder {
  readonly taskKey: string;
  readonly run: number;
  readonly percent: number;
  readonly fencingToken: number;
}

/** The workers' interface for orders. */
export interface TaskWorkers {
  readonly startTask: (worker: WorkerTarget, order: StartOrder) => Promise<OrderOutcome>;
  readonly stopTask: (
    worker: WorkerTarget,
    order: Pick<StartOrder, 'taskKey' | 'run' | 'fencingToken'>,
  ) => Promise<OrderOutcome>;
  readonly renew: (worker: WorkerTarget, order: RenewOrder) => Promise<RenewOutcome>;
  readonly pace: (worker: WorkerTarget, order: PaceOrder) => Promise<OrderOutcome>;
}
