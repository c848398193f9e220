/**
 * State that a planner keeps between rounds: decisions whose effect is not yet visible in the log
 * or in worker reports, and the latest state of each worker. It is safe to lose: a later planner
 * decides again, and the fold voids duplicate records. Times are on the planner's monotonic clock,
 * in milliseconds.
 */
import type { Resources } from '../ports/workers.js';
import type { Urgency } from '../config/schema.js';
import type { TaskOutcomeRecord } from './records.js';
import type { WorkerContact } from './leases.js';
import type { PlacementState, PoolQueue, WorkerState } from './state.js';
import { APPEND_TIMEOUT_MS } from './plan-input.js';

/** A lease that was appended but not yet read back from the log. */
export interface PendingGrant {
  readonly recordId: string;
  readonly taskId: string;
  readonly team: string;
  readonly urgency: Urgency;
  readonly workerId: string;
  readonly size: Resources;
  /** Offset of the task's newest lease when the grant was decided. */
  readonly follows: number;
  /** When the grant was decided. */
  readonly sinceMs: number;
}

/** An outcome that was appended but not yet read back from the log. */
export interface PendingEnd {
  readonly record: TaskOutcomeRecord;
  /** When the record was last appended. */
  readonly sentMs: number;
}

/** Capacity that is being freed on a worker for a quick task. */
export interface Reservation {
  readonly workerId: string;
  readonly size: Resources;
  readonly untilMs: number;
}

/** Failed probes of a quarantined worker and the time of the next one. */
export interface ProbeState {
  readonly failedProbes: number;
  readonly quarantineOffset: number;
  readonly dueMs: number;
}

/** What the planner remembers about one worker. */
export interface WorkerMemory {
  readonly contact: WorkerContact | undefined;
  /** When each lease in the newest report was first reported as running; by lease offset. */
  readonly runningSince: ReadonlyMap<number, number>;
  /** When each command about a lease was last sent; by command kind and lease offset. */
  readonly sent: ReadonlyMap<string, number>;
  /** Whether any running task in the newest report is throttled. */
  readonly hasThrottled: boolean;
  /** Report and folded state of the last decision; unchanged inputs are skipped until `untilMs`. */
  readonly decided:
    | {
        readonly reportId: string;
        readonly folded: WorkerState | undefined;
        readonly untilMs: number;
      }
    | undefined;
}

const UNKNOWN_WORKER: WorkerMemory = {
  contact: undefined,
  runningSince: new Map(),
  sent: new Map(),
  hasThrottled: false,
  decided: undefined,
};

/** The planner's memory; changed only by the planner that owns it. */
export interface PlannerMemory {
  /** By task id. */
  readonly grants: Map<string, PendingGrant>;
  /** By lease offset, or by task id for tasks without a lease. */
  readonly ends: Map<number | string, PendingEnd>;
  /** By worker id. */
  readonly workers: Map<string, WorkerMemory>;
  /** By worker id. */
  readonly probes: Map<string, ProbeState>;
  /** When a quarantine record was last appended for each worker; by worker id. */
  readonly quarantineSentMs: Map<string, number>;
  /** When a lease was last granted to each worker; by worker id. */
  readonly granted: Map<string, number>;
  /** Queues in which nothing could be granted, and when to try them again; by pool. */
  readonly blockedQueues: Map<string, { readonly queue: PoolQueue; readonly untilMs: number }>;
  /** Capacity being freed for quick tasks; by task id. */
  readonly reservations: Map<string, Reservation>;
}

/** Creates an empty memory. */
export function createPlannerMemory(): PlannerMemory {
  return {
    grants: new Map(),
    ends: new Map(),
    workers: new Map(),
    probes: new Map(),
    quarantineSentMs: new Map(),
    granted: new Map(),
    blockedQueues: new Map(),
    reservations: new Map(),
  };
}

/** Says whether a grant is still pending: not read back, not void and not timed out. */
function isGrantPending(state: PlacementState, grant: PendingGrant, nowMs: number): boolean {
  const task = state.tasks.get(grant.taskId);
  if (task === undefined || task.newestLease !== grant.follows) return false;
  if (state.voids.has(grant.recordId)) return false;
  return nowMs - grant.sinceMs < APPEND_TIMEOUT_MS;
}

/**
 * Drops grants that the fold has applied or voided or that have timed out, ends whose lease or task
 * has ended, and reservations that have expired or whose task no longer waits.
 */
export function dropResolved(memory: PlannerMemory, state: PlacementState, nowMs: number): void {
  memory.grants.forEach((grant, taskId) => {
    if (!isGrantPending(state, grant, nowMs)) memory.grants.delete(taskId);
  });
  memory.ends.forEach(({ record }, key) => {
    const task = state.tasks.get(record.taskId);
    const isOpen =
      record.result === 'never-runnable'
        ? task !== undefined
        : task?.lease?.offset === record.leaseOffset;
    if (!isOpen) memory.ends.delete(key);
  });
  memory.reservations.forEach((reservation, taskId) => {
    const task = state.tasks.get(taskId);
    const isOpen = task !== undefined && task.lease === undefined;
    if (!isOpen || nowMs >= reservation.untilMs) memory.reservations.delete(taskId);
  });
}

/** Gets what the planner remembers about a worker; empty for an unknown one. */
export function getWorkerMemory(memory: PlannerMemory, workerId: string): WorkerMemory {
  return memory.workers.get(workerId) ?? UNKNOWN_WORKER;
}
