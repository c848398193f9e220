/**
 * Folds outcomes. An outcome ends the lease that it names, if that is the task's current one; the task
 * then ends too, or returns to its queue for another attempt.
 */
import type { Verdict } from '../verdict.js';
import { findPlacementDuty } from './duty.js';
import { foldEvidence } from './fold-evidence.js';
import { setFinished, setQueuedFinished } from './fold-finished.js';
import { addToQueue, removeLease } from './fold-index.js';
import { setVoid } from './fold-void.js';
import { GROWTH_FACTOR, isOutOfMemory } from './learn-sizes.js';
import type { TaskOutcomeRecord } from './records.js';
import type {
  CurrentLease,
  PlacementRules,
  PlacementState,
  TaskResult,
  TaskState,
} from './state.js';

/** Failed or lapsed attempts after which a task ends as failed, if the last attempt failed. */
export const ATTEMPTS_MAX = 3;

/** Lapsed leases after which a task ends, because the task itself may be crashing its workers. */
export const LAPSES_MAX = 6;

/** Says whether only the current planner may append this outcome, not any observer. */
function isPlannerDecision(record: TaskOutcomeRecord): boolean {
  return record.result === 'lapsed' || record.result === 'never-runnable';
}

/** Ends a queued task that fits no worker. */
function foldNeverRunnable(
  state: PlacementState,
  task: TaskState,
  record: TaskOutcomeRecord,
  offset: number,
): PlacementState {
  if (task.lease !== undefined || record.leaseOffset !== task.newestLease) {
    return setVoid(state, record.id, 'not-holder');
  }
  return setQueuedFinished(state, task, { result: record.result, reason: record.reason, offset });
}

/** Builds the task that returns to its queue after a lease ended without success. */
function buildRetriedTask(
  task: TaskState,
  lease: CurrentLease,
  record: TaskOutcomeRecord,
): TaskState {
  const isFailure = record.result === 'failed';
  const isShort = isFailure && isOutOfMemory(record.used, lease.size);
  return {
    ...task,
    lease: undefined,
    failures: task.failures + (isFailure ? 1 : 0),
    lapses: task.lapses + (record.result === 'lapsed' ? 1 : 0),
    failedOn: isFailure ? [...task.failedOn, lease.workerId] : task.failedOn,
    grownMemoryMb: isShort ? lease.size.memoryMb * GROWTH_FACTOR : task.grownMemoryMb,
  };
}

/** Resolves how a task ends with this outcome; undefined when it is retried. */
function resolveEnd(
  task: TaskState,
  record: TaskOutcomeRecord,
): { readonly result: TaskResult; readonly verdict: Verdict } | undefined {
  if (record.result === 'succeeded') return { result: 'succeeded', verdict: 'ran' };
  if (task.isCancelled) return { result: 'cancelled', verdict: 'may-have-run' };
  const isFailure = record.result === 'failed';
  if (isFailure && task.failures + task.lapses >= ATTEMPTS_MAX)
    return { result: 'failed', verdict: 'ran' };
  if (task.lapses >= LAPSES_MAX) return { result: 'lapsed', verdict: 'may-have-run' };
  return undefined;
}

/**
 * Folds an outcome: releases the lease's resources, then ends or requeues the task. An outcome that
 * ends no current lease only adds its reason to `voids`.
 */
export function foldOutcome(
  state: PlacementState,
  record: TaskOutcomeRecord,
  offset: number,
  rules: PlacementRules,
): PlacementState {
  const task = state.tasks.get(record.taskId);
  if (task === undefined) return setVoid(state, record.id, 'no-such-task');
  const isCurrent = rules.isCurrentClaim(findPlacementDuty(task.pool), record.fence);
  if (isPlannerDecision(record) && !isCurrent) return setVoid(state, record.id, 'stale-claim');
  if (record.result === 'never-runnable') return foldNeverRunnable(state, task, record, offset);
  const { lease } = task;
  if (lease === undefined || lease.offset !== record.leaseOffset) {
    return setVoid(state, record.id, 'not-holder');
  }
  const freed = foldEvidence(removeLease(state, task, lease), task, lease, record);
  const retried = buildRetriedTask(task, lease, record);
  const end = resolveEnd(retried, record);
  if (end !== undefined) {
    return setFinished(freed, task, { ...end, reason: record.reason, offset });
  }
  return addToQueue({ ...freed, tasks: freed.tasks.set(task.taskId, retried) }, retried);
}
