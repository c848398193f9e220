/** Interface of a pool's planner: its inputs, its actions and its options. */
import type { PoolDemand } from '../lending/plan-lending.js';
import type { OrderOutcome, WorkerEntry } from '../ports/task-workers.js';
import type { WorkerTasks } from '../waves/plan-wave.js';
import type { Admission } from './admit-job.js';
import type { CallReceipt } from './call-receipt.js';
import type { CancelTombstone } from './cancel-tombstones.js';
import type { HandOver, TimedHandOver } from './hand-over.js';
import type { InheritanceOptions, InheritanceWaits } from './inheritance.js';
import type { LeaseHolder } from './lease-holder.js';
import type { TimedReport } from './observe-report.js';
import type { PaceAction } from './pace.js';
import type { AdviseAction, StartAction } from './plan-starts.js';
import type { StopAction } from './plan-stops.js';
import type { DecisionEvent } from './pool-context.js';
import type { Progress } from './progress.js';
import type { JobPolicy, JobRecord, JobSource, JobSpec } from './spec.js';
import type { QueueFigures } from './standing-queue.js';
import type { Moment } from './state.js';
import type { StoreBatch } from './store-queue.js';
import type { TaskTable } from './task-table.js';
import type { PoolReport } from '../teams/allotment-ledger.js';
import type { InterferenceFigures } from '../interference/pool-interference.js';
import type { TeamFigures } from '../teams/pool-teams.js';
import type { AllotMessage, TeamSources } from '../teams/team-budget.js';
import type { TeamCeilings } from '../teams/team-ceilings.js';
import type { TicketRegistry } from './tickets.js';
import type { ExclusionCounts } from './worker-exclusion.js';
import type { MissedReport } from './worker-loss.js';

/** Action for the daemon to execute. */
export type PoolAction = StartAction | StopAction | PaceAction | AdviseAction;

/** Status of a job as reported to its caller; an end counts only once it is stored. */
export type JobStatus = 'queued' | 'running' | 'completed' | 'failed' | 'cancelled' | 'unknown';

/** Options of a pool's planner. */
export interface PlannerOptions extends InheritanceOptions {
  /** Writes an entry of the decision log. */
  readonly report: (event: DecisionEvent) => void;
  /**
   * Earlier planners may have used run numbers up to this one. If it is above 0, loaded jobs count
   * as inherited.
   */
  readonly runBase: number;
  /** How long the status of finished jobs is kept, in milliseconds. */
  readonly statusMs: number;
  /** Absent where no teams are known; their jobs then have no limits. */
  readonly teams?: TeamSources | undefined;
  /** What the teams could use at most by the orders of earlier planners; absent if none is known. */
  readonly teamCeilings?: TeamCeilings | undefined;
}

/** Who submitted or cancels a job, where, and how the call came in. */
export interface CallSource extends JobSource {
  /** For the log. */
  readonly receipt?: CallReceipt | undefined;
}

/** What a cancel found and changed. */
export type CancelOutcome = 'cancelling' | 'ended' | 'recorded' | 'refused';

/** Planner of one pool. */
export interface PoolPlanner {
  readonly table: TaskTable;
  readonly tickets: TicketRegistry;
  /** Adds the tombstone of a job that an earlier planner stored. */
  readonly loadTombstone: (tombstone: CancelTombstone, at: Moment) => void;
  /** Adds a job that an earlier planner stored; `progress` is undefined if none was stored. */
  readonly loadJob: (record: JobRecord, progress: Progress | undefined, at: Moment) => void;
  /**
   * Decides on a submission; an admitted job is queued to be stored and starts only afterwards. A
   * job whose id is in the table is `known`, and its new specification is ignored; one that was
   * cancelled before it was submitted is refused and never starts.
   */
  readonly submit: (
    spec: JobSpec,
    policy: JobPolicy,
    at: Moment,
    source?: CallSource,
  ) => Admission | 'known';
  /**
   * Ends an active job; `ended` if it had ended before. Of an unknown job a tombstone is `recorded`,
   * unless that is `refused`. The change still has to be stored.
   */
  readonly cancel: (jobId: string, at: Moment, source?: CallSource) => CancelOutcome;
  /** Says whether a job of a team was cancelled before it was submitted. */
  readonly isCancelled: (jobId: string, team: string | undefined) => boolean;
  /** Gets the stored status; `unknown` also for a job that ended longer than `statusMs` ago. */
  readonly getJobStatus: (jobId: string) => JobStatus;
  /**
   * Says whether the job's current phase, or its tombstone, is stored; false for an unknown job.
   */
  readonly isStored: (jobId: string) => boolean;
  /**
   * Counts the active, stored jobs of a queue of which no task has started; those whose queue is not
   * known count by their route.
   */
  readonly countPending: (of: {
    readonly route: string;
    readonly queue?: string | undefined;
  }) => number;
  /**
   * Lists the queues of the jobs, ended ones included whose state can be queried, and of tombstones;
   * undefined if the queue of one of them is not known.
   */
  readonly listQueues: () => ReadonlySet<string> | undefined;
  /** Applies the complete list of registered workers. */
  readonly observeWorkers: (entries: readonly WorkerEntry[], at: Moment) => void;
  /**
   * Applies a worker's report and returns the pace changes to order. Ignores a report of an unknown
   * worker, and one of another incarnation that may be an earlier one.
   */
  readonly observeReport: (
    workerId: string,
    timed: TimedReport,
    at: Moment,
  ) => readonly PaceAction[];
  /**
   * Counts a report that was requested but not received, by default as `unanswered`; no effect on an
   * unknown worker.
   */
  readonly observeMissedReport: (workerId: string, at: Moment, how?: MissedReport) => void;
  /**
   * Drops a worker, and requeues its tasks, because another worker responds at the address of its
   * incarnation that started at `bornMs`; ignored if it has another incarnation by now.
   */
  readonly observeIncarnationEnd: (workerId: string, bornMs: number, at: Moment) => void;
  /**
   * Counts a notice that some incarnation of a worker has ended as a missed report: only a report,
   * or the end of its lease, shows whether that was the present one.
   */
  readonly observeEndNotice: (workerId: string, at: Moment) => void;
  /** Records that no earlier planner sends orders after the monotonic time `nowMs`. */
  readonly observePredecessorStopped: (nowMs: number) => void;
  /** Applies what the preceding planner tells. */
  readonly observeHandOver: (timed: TimedHandOver) => void;
  /** Computes the time in milliseconds for which earlier planners may still send orders. */
  readonly computeEarlierOrdersMs: (nowMs: number) => number;
  /** Makes what the next planner has to know; this one must send no orders after `nowMs`. */
  readonly makeHandOver: (token: number, nowMs: number) => HandOver;
  /** Explains what inherited jobs wait for; undefined once they may go on. */
  readonly explainWaits: (nowMs: number) => InheritanceWaits | undefined;
  /** Applies the outcome of a start that `plan` returned. */
  readonly observeStart: (action: StartAction, outcome: OrderOutcome, at: Moment) => void;
  /** Applies the outcome of a stop that `plan` returned. */
  readonly observeStop: (action: StopAction, outcome: OrderOutcome, at: Moment) => void;
  /**
   * Keeps new tasks off a worker for a limited time and moves its lasting tasks. Returns the number
   * of tasks on the worker; undefined while it is unknown.
   */
  readonly evacuate: (workerId: string, at: Moment) => WorkerTasks | undefined;
  /**
   * Computes the pool's demand and the tasks on each worker; records the cores lending can provide.
   */
  readonly getDemand: (reachableCores: number, at: Moment) => PoolDemand;
  /** Applies the allotments of the teams; returns the reports on the teams in the pool. */
  readonly applyAllotments: (message: AllotMessage, at: Moment) => PoolReport;
  /** Records that a worker's ends up to `lastEnd` are stored; ignored for other incarnations. */
  readonly markEndsStored: (workerId: string, bornMs: number, lastEnd: number) => void;
  /** Returns the figures of the queue and teams, and the workers by the reason of exclusion. */
  readonly getFigures: (nowMs: number) => QueueFigures & {
    readonly workers: ExclusionCounts;
    readonly teams: readonly TeamFigures[];
    readonly interference: InterferenceFigures;
  };
  /** Plans starts, stops and queries, records them as sent, and opens due occurrences. */
  readonly plan: (at: Moment) => readonly PoolAction[];
  /** Has the records of jobs removed from the store that are not in the table. */
  readonly removeStored: (jobIds: readonly string[]) => void;
  /** Removes and returns what has to be stored now; undefined if there is nothing. */
  readonly takeStoreBatch: () => StoreBatch | undefined;
  /** Drops submissions that the store refused and requeues the other jobs of the batch. */
  readonly dropUnstored: (batch: StoreBatch) => void;
  /**
   * Lists the workers that may hold leases now or soon, and the tasks that may run there under long
   * ones, for the next planner.
   */
  readonly listLeaseHolders: (nowMs: number) => readonly LeaseHolder[];
  /** Says whether these records, by worker id, are as good as those that would be listed now. */
  readonly hasStoredHolders: (stored: ReadonlyMap<string, LeaseHolder>, nowMs: number) => boolean;
  /**
   * Plans which ceilings of teams to store now; undefined if those that are stored will do and nothing
   * is written anyway.
   */
  readonly planTeamCeilings: (nowMs: number, isWrittenAnyway: boolean) => TeamCeilings | undefined;
  /** Records whether the write of the ceilings planned last was stored. */
  readonly observeCeilingsWrite: (isStored: boolean) => void;
  /** Records that workers are stored as possible lease holders; until then they get no tasks. */
  readonly markWorkersRecorded: (ids: readonly string[]) => void;
}
