/**
 * Folded state of the placement records. Queued tasks are indexed by pool, urgency and team, and
 * leases by worker, so that a planning round touches only what may change.
 */
import type { OrderedSet } from 'immutable';
import { List, Map, OrderedMap, Set } from 'immutable';
import type { Urgency } from '../config/schema.js';
import type { Resources } from '../ports/workers.js';
import type { Verdict } from '../verdict.js';
import type { KindState } from './learn-sizes.js';
import type { TaskOutcomeRecord } from './records.js';

/** A lease that has not ended. */
export interface CurrentLease {
  /** Offset of the lease record, which is the fencing token. */
  readonly offset: number;
  readonly workerId: string;
  readonly size: Resources;
  readonly durationMs: number;
  /** Fencing token of the planner that granted it. */
  readonly fence: number;
}

/** A task that is queued or holds a lease. */
export interface TaskState {
  readonly taskId: string;
  readonly team: string;
  readonly urgency: Urgency;
  readonly taskKind: string;
  readonly pool: string;
  readonly declared: Resources;
  /** Estimated cores at the time of submission. */
  readonly expectedCores: number;
  readonly submittedOffset: number;
  /** Offset of the newest valid lease, ended or not; -1 before the first. */
  readonly newestLease: number;
  /** Undefined while the task is queued. */
  readonly lease: CurrentLease | undefined;
  readonly failures: number;
  readonly lapses: number;
  /** Workers on which the task failed. */
  readonly failedOn: readonly string[];
  /** Least memory for the next attempt, in MB; 0 unless an attempt ran out of memory. */
  readonly grownMemoryMb: number;
  /** Whether it was cancelled while leased. */
  readonly isCancelled: boolean;
}

/** Result of a task. `refused`: its submission had no effect and may be sent again. */
export type TaskResult = TaskOutcomeRecord['result'] | 'cancelled' | 'refused';

/** Summary of a task that has ended. */
export interface FinishedTask {
  readonly result: TaskResult;
  readonly verdict: Verdict;
  readonly reason: string;
  /** Empty for a task that was cancelled before its submission was read. */
  readonly team: string;
  /** Worker whose lease ended with the task; undefined when the task ended in its queue. */
  readonly workerId: string | undefined;
  /** Offset of the record that ended it. */
  readonly offset: number;
}

/** Queued tasks of one team; those in `again` held a lease before and go first. */
export interface TeamQueue {
  readonly again: OrderedSet<string>;
  readonly fresh: OrderedSet<string>;
}

/** Queued tasks of one pool, by urgency and team. */
export type PoolQueue = Map<Urgency, Map<string, TeamQueue>>;

/** Totals of one team's leased and queued tasks. */
export interface TeamState {
  /** Sum of the cores of its current leases. */
  readonly heldCores: number;
  readonly queued: number;
  /** Expected cores of its quick tasks, queued or leased. */
  readonly quickCores: number;
}

/** A task failure that may be evidence against a worker. */
export interface WorkerFailure {
  readonly taskKind: string;
  readonly team: string;
  /** Whether the task ran out of memory, which is evidence against its size. */
  readonly isShort: boolean;
}

/** Folded state of one worker. */
export interface WorkerState {
  /** Ids of tasks with a current lease on the worker. */
  readonly tasks: Set<string>;
  /** Sum of the sizes of its current leases. */
  readonly leased: Resources;
  /** Sum of the sizes of its current leases on quick tasks. */
  readonly quick: Resources;
  /** Failures since the last success, oldest first, at most `STREAK_KEPT`. */
  readonly streak: readonly WorkerFailure[];
  readonly isQuarantined: boolean;
  /** Whether a task has succeeded there since the worker was quarantined. */
  readonly hasPassedProbe: boolean;
  /** Offset of the newest quarantine record; -1 for none. */
  readonly quarantineOffset: number;
  readonly quarantineReason: string;
}

/** Reason for which a placement record had no effect. */
export type VoidReason =
  /** The task is unknown or has ended. */
  | 'no-such-task'
  /** The task holds a lease, or the record does not follow the newest one of its task or worker. */
  | 'superseded'
  /** Not produced by the fold. */
  | 'cancelled'
  /** The lease would exceed the team's quota of cores. */
  | 'quota'
  /** The worker is in quarantine and already holds a task. */
  | 'quarantined'
  /** The planner's claim is not the newest on its duty. */
  | 'stale-claim'
  /** The lease's size is not valid for any task. */
  | 'bad-size'
  /** The outcome names another lease than the current one, or rejects a task that is leased. */
  | 'not-holder';

/** Folded state of all placement records. */
export interface PlacementState {
  /** Queued and leased tasks, by task id. */
  readonly tasks: Map<string, TaskState>;
  /** Newest ended tasks, by task id; at most `FINISHED_KEPT`. */
  readonly finished: Map<string, FinishedTask>;
  /** Ended tasks in the order in which they ended; one that was submitted again appears twice. */
  readonly finishedOrder: List<{ readonly taskId: string; readonly offset: number }>;
  /** By pool; a pool without queued tasks has no entry. */
  readonly queues: Map<string, PoolQueue>;
  readonly teams: Map<string, TeamState>;
  /** By worker id; one without leases, failures or a quarantine record has no entry. */
  readonly workers: Map<string, WorkerState>;
  /** By task kind, in the order in which they were first seen. */
  readonly kinds: OrderedMap<string, KindState>;
  /** Reasons for which the newest void records had no effect, by record id. */
  readonly voids: Map<string, VoidReason>;
  /** Record ids of `voids`, oldest first. */
  readonly voidOrder: List<string>;
  /** Number of queued tasks of all teams. */
  readonly queued: number;
}

/** Configuration and duty state that the fold and the planner depend on. */
export interface PlacementRules {
  /** Gets the most cores that the team's tasks may hold at once. */
  readonly getQuotaCores: (team: string) => number;
  /** Gets the team's weight in fair sharing. */
  readonly getWeight: (team: string) => number;
  /** Says whether the token belongs to the newest claim on the duty. */
  readonly isCurrentClaim: (duty: string, fence: number) => boolean;
}

export const EMPTY_TEAM: TeamState = { heldCores: 0, queued: 0, quickCores: 0 };

export const NO_RESOURCES: Resources = { cores: 0, memoryMb: 0, accelerators: 0 };

export const EMPTY_WORKER: WorkerState = {
  tasks: Set(),
  leased: NO_RESOURCES,
  quick: NO_RESOURCES,
  streak: [],
  isQuarantined: false,
  hasPassedProbe: false,
  quarantineOffset: -1,
  quarantineReason: '',
};

/** Creates the state before the first record. */
export function createPlacementState(): PlacementState {
  return {
    tasks: Map(),
    finished: Map(),
    finishedOrder: List(),
    queues: Map(),
    teams: Map(),
    workers: Map(),
    kinds: OrderedMap(),
    voids: Map(),
    voidOrder: List(),
    queued: 0,
  };
}
