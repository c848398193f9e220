/**
 * What a planner remembers between rounds: decisions whose effect has not shown yet, and what it knows
 * of its workers. All of it can be lost; a later planner decides again and the fold voids doubles.
 */
import type { Resources } from '../ports/workers.js';
import type { Urgency } from '../config/schema.js';
import type { TaskOutcomeRecord } from './records.js';
import type { WorkerContact } from './leases.js';
import type { PlacementState, PoolQueue, WorkerState } from './state.js';
import { APPEND_TIMEOUT_MS } from './plan-input.js';

/** A lease that was appended and has not been read back. */
export interface PendingGrant {
  readonly recordId: string;
  readonly taskId: string;
  readonly team: string;
  readonly urgency: Urgency;
  readonly workerId: string;
  readonly size: Resources;
  /** The task's newest lease when it was decided. */
  readonly follows: number;
  readonly sinceMs: number;
}

/** An outcome that was appended and has not been read back. */
export interface PendingEnd {
  readonly record: TaskOutcomeRecord;
  readonly sentMs: number;
}

/** Room that is being freed on a worker for a quick task. */
export interface Reservation {
  readonly workerId: string;
  readonly size: Resources;
  readonly untilMs: number;
}

/** How often and when a quarantined worker was tried again. */
export interface ProbeState {
  readonly failedProbes: number;
  readonly quarantineOffset: number;
  readonly dueMs: number;
}

/** What is remembered of one worker. */
export interface WorkerMemory {
  readonly contact: WorkerContact | undefined;
  /** When each lease in the newest report was first reported as running; by its offset. */
  readonly runningSince: ReadonlyMap<number, number>;
  /** When each command about a lease was last sent; by command kind and lease offset. */
  readonly sent: ReadonlyMap<string, number>;
  /** Whether some task in the newest report is throttled. */
  readonly hasThrottled: boolean;
  /** The report and folded state that were decided on last, and until when that need not be redone. */
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
  /** By offset of the lease, or by task id for tasks that never held one. */
  readonly ends: Map<number | string, PendingEnd>;
  /** By worker id. */
  readonly workers: Map<string, WorkerMemory>;
  readonly probes: Map<string, ProbeState>;
  /** When a quarantine record was last appended; by worker id. */
  readonly judged: Map<string, number>;
  /** When a lease was last granted to each worker; by worker id. */
  readonly granted: Map<string, number>;
  /** Queues in which nothing could be granted, and when that was found; by pool. */
  readonly stuck: Map<string, { readonly queue: PoolQueue; readonly untilMs: number }>;
  /** Room being freed; by task id. */
  readonly reservations: Map<string, Reservation>;
}

/** Creates an empty memory. */
export function createPlannerMemory(): PlannerMemory {
  return {
    grants: new Map(),
    ends: new Map(),
    workers: new Map(),
    probes: new Map(),
    judged: new Map(),
    granted: new Map(),
    stuck: new Map(),
    reservations: new Map(),
  };
}

/** Says whether a pending grant is still open: neither read back, nor void, nor given up. */
function isGrantOpen(state: PlacementState, grant: PendingGrant, nowMs: number): boolean {
  const task = state.tasks.get(grant.taskId);
  if (task === undefined || task.newestLease !== grant.follows) return false;
  if (state.voids.has(grant.recordId)) return false;
  return nowMs - grant.sinceMs < APPEND_TIMEOUT_MS;
}

/** Drops what the fold has answered or what has timed out. */
export function dropAnswered(memory: PlannerMemory, state: PlacementState, nowMs: number): void {
  memory.grants.forEach((grant, taskId) => {
    if (!isGrantOpen(state, grant, nowMs)) memory.grants.delete(taskId);
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

/** Gets what is remembered of a worker. */
export function getWorkerMemory(memory: PlannerMemory, workerId: string): WorkerMemory {
  return memory.workers.get(workerId) ?? UNKNOWN_WORKER;
}
