/** State of the jobs, tasks and workers of one pool, as its planner holds it in memory. */
import type { Resources } from '../ports/workers.js';
import type { WorkerEntry } from '../ports/task-workers.js';
import type { JobRecord } from './spec.js';

/** A lasting task that is fully at work, and a task that is not paced. */
export const FULL_PERCENT = 100;

/** Times of one moment: the steady clock for durations, the wall clock for dates. */
export interface Moment {
  readonly nowMs: number;
  readonly wallMs: number;
}

/** `starting` until the worker's answer or list confirms it; `stopping` until its end is listed. */
export interface Assignment {
  readonly kind: 'assigned';
  readonly workerId: string;
  readonly run: number;
  readonly phase: 'starting' | 'running' | 'stopping';
  /** When the worker's answer or list confirmed the run. */
  readonly confirmedMs: number | undefined;
  /** When the last stop was sent, and when one was answered. */
  readonly stopSentMs: number | undefined;
  readonly stopAnsweredMs: number | undefined;
  /** Lease end on the worker's clock that the start carried. */
  readonly leaseUntilMs: number;
  readonly percent: number;
  /** When the progress last rose. */
  readonly percentMs: number;
  readonly load: number;
  /** Pace that was last ordered. */
  readonly pacePercent: number;
}

/** Makes an assignment that nothing was heard or ordered of yet but what is given. */
export function makeAssignment(
  workerId: string,
  run: number,
  known: Pick<Assignment, 'phase' | 'leaseUntilMs' | 'percentMs'> & Partial<Assignment>,
): Assignment {
  return {
    kind: 'assigned',
    workerId,
    run,
    confirmedMs: undefined,
    stopSentMs: undefined,
    stopAnsweredMs: undefined,
    percent: 0,
    load: 0,
    pacePercent: FULL_PERCENT,
    ...known,
  };
}

/** Where a task stands. */
export type TaskState =
  | { readonly kind: 'waiting'; readonly notBeforeMs: number }
  | Assignment
  | { readonly kind: 'done' };

/** One task of one occurrence. */
export interface Task {
  readonly key: string;
  readonly jobId: string;
  readonly occurrence: number;
  readonly stepIndex: number;
  readonly index: number;
  /** Numbers of its failed runs; an end that is listed again after a take-over counts once. */
  readonly failedRuns: readonly number[];
  readonly lastRun: number;
  readonly checkpoint: string;
  /** Workers on which it failed or stood still. */
  readonly avoid: readonly string[];
  readonly state: TaskState;
}

/** Tasks of a step in one occurrence. */
export interface StepRun {
  readonly waiting: Set<number>;
  readonly done: Set<number>;
  readonly assigned: Map<number, string>;
}

/** One occurrence of a job's steps. */
export interface Occurrence {
  readonly number: number;
  readonly steps: readonly StepRun[];
}

/** Where a job stands, as its caller is told. */
export type JobPhase = 'active' | 'completed' | 'failed' | 'cancelled';

/** A job in memory. */
export interface Job {
  readonly record: JobRecord;
  readonly phase: JobPhase;
  /** The phase that the store has. */
  readonly storedPhase: JobPhase | 'none';
  readonly hasStarted: boolean;
  /** The steady time at which the caller's clock began. */
  readonly arrivedMs: number;
  /** Objective on the steady clock. */
  readonly objectiveAtMs: number;
  readonly workCoreSeconds: number;
  readonly tailChainsMs: readonly number[];
  readonly isLasting: boolean;
  /** Inherited from an earlier planner whose orders may still take effect. */
  readonly isInherited: boolean;
  readonly occurrences: Map<number, Occurrence>;
  readonly finishedOccurrences: Set<number>;
  readonly finishedMs: number | undefined;
}

/** A run at a worker that no task accounts for; it is stopped and takes room until it has ended. */
export interface Stray {
  readonly run: number;
  readonly size: Resources;
  readonly stopSentMs: number | undefined;
}

/** A worker's steady clock as last heard. */
export interface WorkerClock {
  readonly workerMs: number;
  /** Steady time of the answer that told it. */
  readonly heardMs: number;
}

/** A worker in memory. */
export interface Worker {
  readonly entry: WorkerEntry;
  readonly isListed: boolean;
  /** Recorded in the store as one that may hold leases. */
  readonly isRecorded: boolean;
  readonly clock: WorkerClock | undefined;
  /** Latest lease end that an order may have carried, on the worker's clock. */
  readonly leaseUntilMs: number;
  readonly lastEnd: number;
  readonly storedEnd: number;
  readonly answeredMs: number;
  /** Answers missing in a row. */
  readonly misses: number;
  readonly tasks: Set<string>;
  readonly strays: Map<string, Stray>;
  readonly used: Resources;
  readonly noStartBeforeMs: number;
  /** No new tasks, and lasting ones are moved away, until this time. */
  readonly evacuateUntilMs: number;
  /** Jobs whose tasks failed here since the last success. */
  readonly failedJobs: readonly string[];
}
