/** State of the jobs, tasks and workers of one pool, as held in memory by its planner. */
import type { Resources } from '../ports/workers.js';
import type { WorkerEntry } from '../ports/task-workers.js';
import type { Checkpoint } from './checkpoints.js';
import type { CrashRecord } from './crashes/crash-evidence.js';
import type { JobRecord } from './spec.js';

/** Progress of a lasting task that is fully running, and pace of a task that is not slowed down. */
export const FULL_PERCENT = 100;

/** A point in time in milliseconds: the monotonic clock for durations, the wall clock for dates. */
export interface Moment {
  readonly nowMs: number;
  readonly wallMs: number;
}

/**
 * Assignment of a task to a worker. The phase is `starting` until the worker's response or report
 * confirms the run, and `stopping` until its end is reported. Times are monotonic, in milliseconds,
 * unless they are said to be on the worker's clock; undefined if the event has not happened.
 */
export interface Assignment {
  readonly kind: 'assigned';
  readonly workerId: string;
  readonly run: number;
  readonly phase: 'starting' | 'running' | 'stopping';
  /** When the worker's response or report confirmed the run. */
  readonly confirmedMs: number | undefined;
  /**
   * Whether a report of the worker's incarnation has listed the run. A response to the start does
   * not name the incarnation that accepted it.
   */
  readonly isReported: boolean;
  /** When the last stop was sent. */
  readonly stopSentMs: number | undefined;
  /** When the worker's incarnation first accepted a stop. */
  readonly stopAnsweredMs: number | undefined;
  /** Lease end that was sent with the start, on the worker's clock. */
  readonly leaseUntilMs: number;
  /** Progress or readiness in the newest report of the run, from 0 to 100. */
  readonly percent: number;
  /** When the progress last increased. */
  readonly lastProgressMs: number;
  /** Load in the newest report of the run; see `RunningTask` for its meaning. */
  readonly load: number;
  /** Pace that was last ordered, in percent of full speed. */
  readonly pacePercent: number;
}

/**
 * Makes an assignment from the given values; other fields state that nothing was reported or sent.
 */
export function makeAssignment(
  workerId: string,
  run: number,
  initial: Pick<Assignment, 'phase' | 'leaseUntilMs' | 'lastProgressMs'> & Partial<Assignment>,
): Assignment {
  return {
    kind: 'assigned',
    workerId,
    run,
    confirmedMs: undefined,
    isReported: false,
    stopSentMs: undefined,
    stopAnsweredMs: undefined,
    percent: 0,
    load: 0,
    pacePercent: FULL_PERCENT,
    ...initial,
  };
}

/**
 * State of a task. A waiting task starts no earlier than `notBeforeMs` on the planner's monotonic
 * clock.
 */
export type TaskState =
  | { readonly kind: 'waiting'; readonly notBeforeMs: number }
  | Assignment
  | { readonly kind: 'done' };

/** A task of one occurrence of a job. */
export interface Task {
  readonly key: string;
  readonly jobId: string;
  readonly occurrence: number;
  readonly stepIndex: number;
  readonly index: number;
  /**
   * Numbers of its failed runs, only the last one of a lasting task; an end that is reported again
   * after a take-over counts only once.
   */
  readonly failedRuns: readonly number[];
  /** Crashes of workers under its runs, oldest first. */
  readonly crashes: readonly CrashRecord[];
  /** Number of its runs that this planner has stopped as stalled. */
  readonly stalls: number;
  /** Highest run number that may have been used for the task. */
  readonly lastRun: number;
  /** Newest known checkpoint. */
  readonly checkpoint: Checkpoint;
  /** Workers on which the task failed or stalled, or that rejected its start. */
  readonly avoidedWorkerIds: readonly string[];
  readonly state: TaskState;
}

/** What may change of a task beside its state. */
export type TaskChange = Partial<
  Pick<Task, 'failedRuns' | 'crashes' | 'stalls' | 'lastRun' | 'checkpoint' | 'avoidedWorkerIds'>
>;

/**
 * Makes the task that replaces another. Each report makes one of each run in it, and a spread of
 * what a spread has made is slow in the engine.
 */
export function makeMovedTask(task: Task, state: TaskState, change: TaskChange): Task {
  return {
    key: task.key,
    jobId: task.jobId,
    occurrence: task.occurrence,
    stepIndex: task.stepIndex,
    index: task.index,
    failedRuns: change.failedRuns ?? task.failedRuns,
    crashes: change.crashes ?? task.crashes,
    stalls: change.stalls ?? task.stalls,
    lastRun: change.lastRun ?? task.lastRun,
    checkpoint: change.checkpoint ?? task.checkpoint,
    avoidedWorkerIds: change.avoidedWorkerIds ?? task.avoidedWorkerIds,
    state,
  };
}

/** Makes the change that adds a worker to those that a task avoids if others fit. */
export function makeAvoidance(task: Task, workerId: string): Pick<Task, 'avoidedWorkerIds'> {
  return { avoidedWorkerIds: [...new Set([...task.avoidedWorkerIds, workerId])] };
}

/** Indices of a step's tasks in one occurrence, by state; `assigned` maps them to worker ids. */
export interface StepRun {
  /** Key of the step; see `makeStepKey`. */
  readonly key: string;
  readonly waiting: Set<number>;
  readonly done: Set<number>;
  readonly assigned: Map<number, string>;
}

/** One occurrence of a job. */
export interface Occurrence {
  /** Counts from 0. */
  readonly number: number;
  /** In the order of the job's specification. */
  readonly steps: readonly StepRun[];
}

/** Phase of a job. */
export type JobPhase = 'active' | 'completed' | 'failed' | 'cancelled';

/** A job in memory. */
export interface Job {
  readonly record: JobRecord;
  readonly phase: JobPhase;
  /** Phase that is stored; `none` until the submission is stored. */
  readonly storedPhase: JobPhase | 'none';
  /** Whether a start was planned for any task, or a run or a result of one is known. */
  readonly hasStarted: boolean;
  /** When the job was accepted, on the monotonic clock; may be negative for an inherited job. */
  readonly arrivedMs: number;
  /** Time by which the latency objective requires the job to end, on the monotonic clock. */
  readonly objectiveAtMs: number;
  /** Estimated work of one occurrence. */
  readonly workCoreSeconds: number;
  /** For each step, the longest estimated chain from its start to the end of the job. */
  readonly tailChainsMs: readonly number[];
  readonly isLasting: boolean;
  /** Whether the job was inherited from an earlier planner, whose orders may still take effect. */
  readonly isInherited: boolean;
  /** Open occurrences by number. */
  readonly occurrences: Map<number, Occurrence>;
  readonly finishedOccurrences: Set<number>;
  /** Ids of the workers on which tasks of the job failed. */
  readonly failedWorkerIds: readonly string[];
  /** Number of changes to the crashes of its tasks. */
  readonly crashVersion: number;
  /** Value of `crashVersion` up to which they are stored. */
  readonly storedCrashVersion: number;
  /**
   * Since when the state of the ended job can be given, as it is stored; monotonic, may be negative
   * for an inherited job. Undefined until that is known.
   */
  readonly finishedMs: number | undefined;
  /** When the job ended, in ms since 1970; undefined while it is active and in old records. */
  readonly endedAtMs: number | undefined;
}

/**
 * A run on a worker that is no longer, or never was, the one that its task waits for. It is stopped,
 * and it counts on its worker, by capacity and spread, until it has ended.
 */
export interface OrphanedRun {
  readonly assignment: Assignment;
  /** Key of its step; see `makeStepKey`. */
  readonly stepKey: string;
  /** Capacity that the run counts as using; all of the worker's if its step is unknown. */
  readonly size: Resources;
}

/** A worker's monotonic clock as of its last report. */
export interface WorkerClock {
  /** Time on the worker's clock, in milliseconds. */
  readonly workerMs: number;
  /** When the report with this clock value was received, on the planner's monotonic clock. */
  readonly lastReportMs: number;
}

/** A job with a task that failed on a worker. */
export interface JobFailure {
  readonly jobId: string;
  /** When the last failure of the job there was reported. */
  readonly atMs: number;
}

/** Failures on a worker since the last success there; times are monotonic, in milliseconds. */
export interface WorkerFailures {
  /** Each failed job once. */
  readonly jobs: readonly JobFailure[];
  /** Number of ejections. */
  readonly ejections: number;
  /** Start of the last ejection; 0 if there was none. */
  readonly ejectedAtMs: number;
  /** Until this time the worker gets no new tasks. */
  readonly ejectedUntilMs: number;
  /** Task that was last started on trial after the last ejection; undefined if none was. */
  readonly trialTaskKey: string | undefined;
}

/** Use of a worker for the suspects of one job alone. */
export interface WorkerIsolation {
  readonly jobId: string;
  /** Whether no run of another job that may crash the worker is left there. */
  readonly isClear: boolean;
}

/** A worker in memory. Times are on the planner's monotonic clock unless said otherwise. */
export interface Worker {
  readonly entry: WorkerEntry;
  /** When the capacity in `entry` was last stated. */
  readonly capacityKnownMs: number;
  /** Whether the incarnation states its capacity in its reports, and not only in its entry. */
  readonly isCapacityReported: boolean;
  /** The most that the incarnation has had of each resource. */
  readonly largestCapacity: Resources;
  /** Whether the newest list of registered workers has the worker. */
  readonly isListed: boolean;
  /** Whether the worker is recorded in the store as a possible lease holder. */
  readonly isRecorded: boolean;
  /** Undefined until the first report. */
  readonly clock: WorkerClock | undefined;
  /** Latest lease end that may have been sent with an order, on the worker's clock. */
  readonly leaseUntilMs: number;
  /**
   * When a call that names a lease end was last sent to the worker's id, or a start last answered
   * there, to whichever incarnation; `-Infinity` before the first.
   */
  readonly lastLeaseCallMs: number;
  /** Number of the last end that was applied; 0 for none. */
  readonly lastEnd: number;
  /** Number of the last end whose effect is stored; 0 for none. */
  readonly storedEnd: number;
  /** When the last report was received; 0 before the first one. */
  readonly lastReportMs: number;
  /** Number of consecutive missing reports. */
  readonly missedReports: number;
  /** Keys of the tasks that are assigned to the worker. */
  readonly tasks: Set<string>;
  /** Orphaned runs by task key. */
  readonly orphanedRuns: Map<string, OrphanedRun>;
  /** Capacity that tasks reserve and orphaned runs use. */
  readonly used: Resources;
  /** Number of lasting tasks among `tasks`. */
  readonly lastingTasks: number;
  /** Until this time the worker gets no new tasks, because it rejected starts. */
  readonly noStartBeforeMs: number;
  /** Number of pauses after rejected starts since the last start that was accepted. */
  readonly startPauses: number;
  /** Until this time the worker gets no new tasks and its lasting tasks are moved away. */
  readonly evacuateUntilMs: number;
  /** Failures on this worker since the last success there. */
  readonly failures: WorkerFailures;
  /** Undefined for a worker that is open to all jobs. */
  readonly isolation: WorkerIsolation | undefined;
}
