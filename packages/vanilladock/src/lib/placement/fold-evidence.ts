/** Folds outcomes into the learned sizes and health of task kinds and the failures of workers. */
import { setWorker } from './fold-index.js';
import type { KindState } from './learn-sizes.js';
import { isOutOfMemory, observeTaskEnd, observeUsage, UNKNOWN_KIND } from './learn-sizes.js';
import type { TaskOutcomeRecord } from './records.js';
import type { CurrentLease, PlacementState, TaskState } from './state.js';
import { EMPTY_WORKER } from './state.js';

/** Most kinds of task that are kept in the state; beyond it the one added first is evicted. */
export const KINDS_KEPT = 4_096;

/** Most consecutive failures that are kept per worker. */
export const STREAK_KEPT = 8;

/** Replaces a kind; evicts the kind that was added first when there are too many. */
function setKind(state: PlacementState, name: string, kind: KindState): PlacementState {
  const kinds = state.kinds.set(name, kind);
  return { ...state, kinds: kinds.size > KINDS_KEPT ? kinds.rest() : kinds };
}

/** Folds a success: adds its usage, counts it for its kind, and resets the worker's failures. */
function foldSuccess(
  state: PlacementState,
  task: TaskState,
  lease: CurrentLease,
  record: TaskOutcomeRecord,
): PlacementState {
  const kind = state.kinds.get(task.taskKind) ?? UNKNOWN_KIND;
  const learned = observeTaskEnd(observeUsage(kind, record.used, lease.size), true);
  const next = setKind(state, task.taskKind, learned);
  const worker = next.workers.get(lease.workerId) ?? EMPTY_WORKER;
  return setWorker(next, lease.workerId, {
    ...worker,
    streak: [],
    hasPassedProbe: worker.isQuarantined,
  });
}

/** Folds a failure; running out of memory is evidence about the size, not about the worker. */
function foldFailure(
  state: PlacementState,
  task: TaskState,
  lease: CurrentLease,
  record: TaskOutcomeRecord,
): PlacementState {
  const kind = state.kinds.get(task.taskKind) ?? UNKNOWN_KIND;
  const isShort = isOutOfMemory(record.used, lease.size);
  const learned = isShort
    ? observeUsage(kind, record.used, lease.size)
    : observeTaskEnd(kind, false);
  const next = setKind(state, task.taskKind, learned);
  const worker = next.workers.get(lease.workerId) ?? EMPTY_WORKER;
  const failure = { taskKind: task.taskKind, team: task.team, isShort };
  const streak = [...worker.streak, failure].slice(-STREAK_KEPT);
  return setWorker(next, lease.workerId, { ...worker, streak });
}

/**
 * Folds an outcome into the state of its task kind and its worker. Only `succeeded` and `failed` are
 * evidence; other results return the state unchanged.
 */
export function foldEvidence(
  state: PlacementState,
  task: TaskState,
  lease: CurrentLease,
  record: TaskOutcomeRecord,
): PlacementState {
  switch (record.result) {
    case 'succeeded':
      return foldSuccess(state, task, lease, record);
    case 'failed':
      return foldFailure(state, task, lease, record);
    case 'checkpointed':
    case 'lapsed':
    case 'never-runnable':
      return state;
    default:
      return record.result satisfies never;
  }
}
