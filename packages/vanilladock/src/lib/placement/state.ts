/**
 * State that the placement records fold to. Tasks that wait are indexed by pool, urgency and team, and
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
  /** Offset of the record; the fencing token. */
  readonly offset: number;
  readonly workerId: string;
  readonly size: Resources;
  readonly durationMs: number;
  /** Fencing token of the planner that granted it. */
  readonly fence: number;
}

/** A task that waits or holds a lease. */
export interface TaskState {
  readonly taskId: string;
  readonly team: string;
  readonly urgency: Urgency;
  readonly taskKind: string;
  readonly pool: string;
  readonly declared: Resources;
  /** Cores that the task was expected to need when it was submitted. */
  readonly expectedCores: number;
  readonly submittedOffset: number;
  /** Offset of the newest valid lease, ended or not; -1 before the first. */
  readonly newestLease: number;
  readonly lease: CurrentLease | undefined;
  readonly failures: number;
  readonly lapses: number;
  /** Workers on which the task failed. */
  readonly failedOn: readonly string[];
  /** Memory that the next attempt needs at least, in MB; 0 unless one ran out of memory. */
  readonly grownMemoryMb: number;
  readonly isCancelled: boolean;
}

/** How a task ended. `refused`: its submission had no effect and may be sent again. */
export type TaskResult = TaskOutcomeRecord['result'] | 'cancelled' | 'refused';

/** What is kept of a task that has ended. */
export interface FinishedTask {
  readonly result: TaskResult;
  readonly verdict: Verdict;
  readonly reason: string;
  readonly team: string;
  readonly workerId: string | undefined;
  /** Offset of the record that ended it. */
  readonly offset: number;
}

/** Tasks of one team that wait; `again` holds those that held a lease before and goes first. */
export interface TeamQueue {
  readonly again: OrderedSet<string>;
  readonly fresh: OrderedSet<string>;
}

/** Waiting tasks of one pool, by urgency and team. */
export type PoolQueue = Map<Urgency, Map<string, TeamQueue>>;

/** What one team holds and waits for. */
export interface TeamState {
  /** Sum of the cores of its current leases. */
  readonly heldCores: number;
  readonly queued: number;
  /** Expected cores of its quick tasks, waiting or leased. */
  readonly quickCores: number;
}

/** A task failure that may speak against a worker. */
export interface WorkerFailure {
  readonly taskKind: string;
  readonly team: string;
}

/** What the log says of one worker. */
export interface WorkerState {
  /** Ids of tasks with a current lease on the worker. */
  readonly tasks: Set<string>;
  /** Sum of the sizes of its current leases. */
  readonly leased: Resources;
  /** Sum of the sizes of its current leases of quick tasks. */
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

/** Why a record about placement had no effect. */
export type VoidReason =
  | 'no-such-task'
  | 'superseded'
  | 'cancelled'
  | 'quota'
  | 'quarantined'
  | 'stale-claim'
  | 'bad-size'
  | 'not-holder';

/** Folded state of all placement records. */
export interface PlacementState {
  readonly tasks: Map<string, TaskState>;
  readonly finished: Map<string, FinishedTask>;
  /** Ended tasks in the order of their ends; one that was submitted again is listed twice. */
  readonly finishedOrder: List<{ readonly taskId: string; readonly offset: number }>;
  readonly queues: Map<string, PoolQueue>;
  readonly teams: Map<string, TeamState>;
  readonly workers: Map<string, WorkerState>;
  readonly kinds: OrderedMap<string, KindState>;
  /** Reasons of the newest records without effect, by record id. */
  readonly voids: Map<string, VoidReason>;
  readonly voidOrder: List<string>;
  readonly queued: number;
}

/** Values that the fold and the planner take from the configuration and from the duties. */
export interface PlacementRules {
  /** Cores that the team's tasks may hold at once. */
  readonly getQuotaCores: (team: string) => number;
  /** Weight of the team in fair sharing. */
  readonly getWeight: (team: string) => number;
  /** Says whether the token is that of the newest claim on the duty. */
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

/** Creates the state before any record. */
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
