/**
 * Returns runs without a reported end to the queue, and logs the proof by which each counts as
 * ended.
 */
import type { Rejection } from '../ports/task-workers.js';
import { releaseTask } from './apply-ends.js';
import type { PoolContext } from './pool-context.js';
import type { Assignment, Task } from './state.js';

/**
 * Why an incarnation ended: by an order for its instance, because another one responds at its
 * address, or because a new one has registered or reported.
 */
export type IncarnationEndCause = 'ordered' | 'other-life' | 'new-life';

/**
 * Proof that a run has ended or will never start. `missing-in-report`: a report that was requested
 * after the run was confirmed does not list it. `stop-answered`: as before, after a stop was
 * accepted. `start-late`: the start's lease expired before the run was reported. `lease-expired`:
 * the worker is unresponsive and its lease has expired. `start-rejected`: the worker rejected the
 * start. `incarnation-ended`: the worker's incarnation has ended; the new one's start is
 * `newBornMs`, undefined if unknown. Ages are in milliseconds before the release. Lease ends and
 * `earliestWorkerMs`, the lower bound of the time there, are on the worker's clock.
 */
export type ReleaseProof =
  | {
      readonly proof: 'missing-in-report';
      readonly confirmedAgoMs: number;
      readonly sentAgoMs: number;
    }
  | {
      readonly proof: 'stop-answered';
      readonly stopAnsweredAgoMs: number;
      readonly sentAgoMs: number;
    }
  | {
      readonly proof: 'start-late';
      readonly leaseUntilMs: number;
      readonly earliestWorkerMs: number | undefined;
    }
  | {
      readonly proof: 'lease-expired';
      readonly leaseUntilMs: number;
      readonly earliestWorkerMs: number | undefined;
      readonly reportAgeMs: number;
      readonly missedReports: number;
    }
  | { readonly proof: 'start-rejected'; readonly why: Rejection }
  | {
      readonly proof: 'incarnation-ended';
      readonly why: IncarnationEndCause;
      readonly newBornMs: number | undefined;
    };

/** Times of a release on the monotonic clock, in milliseconds. */
export interface ReleaseTimes {
  /** Undefined if the time is not known; the run's age is then left out of the log. */
  readonly nowMs: number | undefined;
  /** The task starts no earlier. */
  readonly notBeforeMs?: number;
}

/** Assignment whose run was found in a report, and not started by this planner. */
interface AdoptedAssignment extends Assignment {
  readonly isAdopted: true;
}

/** Marks an assignment as adopted; copies with further changes keep the mark. */
export function makeAdopted(assignment: Assignment): Assignment {
  const adopted: AdoptedAssignment = { ...assignment, isAdopted: true };
  return adopted;
}

/** Says whether the run of an assignment was adopted. */
export function isAdopted(assignment: Assignment): assignment is AdoptedAssignment {
  return 'isAdopted' in assignment;
}

/**
 * Returns an assigned task to the queue and logs the proof; does nothing in any other state. The
 * logged age counts from the confirmation of the run, or from its start if there was none.
 */
export function releaseUnendedRun(
  context: PoolContext,
  task: Task,
  proof: ReleaseProof,
  { nowMs, notBeforeMs }: ReleaseTimes,
): void {
  const { state } = task;
  if (state.kind !== 'assigned') return;
  const sinceMs = state.confirmedMs ?? state.lastProgressMs;
  context.report({
    event: 'run-released',
    task: task.key,
    run: state.run,
    worker: state.workerId,
    bornMs: context.table.workers.get(state.workerId)?.entry.bornMs,
    ...proof,
    phase: state.phase,
    isAdopted: isAdopted(state),
    ageMs: nowMs === undefined ? undefined : Math.round(nowMs - sinceMs),
  });
  releaseTask(context, task, notBeforeMs);
}
