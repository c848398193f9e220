/** Takes in what an outcome says of its kind of task and of its worker. */
import { setWorker } from './fold-index.js';
import type { KindState } from './learn-sizes.js';
import { isOutOfMemory, observeEnd, observeUsage, UNKNOWN_KIND } from './learn-sizes.js';
import type { TaskOutcomeRecord } from './records.js';
import type { CurrentLease, PlacementState, TaskState } from './state.js';
import { EMPTY_WORKER } from './state.js';

/** Kinds of task that are remembered. */
export const KINDS_KEPT = 4_096;

/** Failures in a row that are remembered of a worker. */
export const STREAK_KEPT = 8;

/** Replaces a kind; the kind that was seen first gives way when there are too many. */
function setKind(state: PlacementState, name: string, kind: KindState): PlacementState {
  const kinds = state.kinds.set(name, kind);
  return { ...state, kinds: kinds.size > KINDS_KEPT ? kinds.rest() : kinds };
}

/** Takes in a success: its usage, the health of its kind, and the end of the worker's streak. */
function foldSuccess(
  state: PlacementState,
  task: TaskState,
  lease: CurrentLease,
  record: TaskOutcomeRecord,
): PlacementState {
  const kind = state.kinds.get(task.taskKind) ?? UNKNOWN_KIND;
  const learned = observeEnd(observeUsage(kind, record.used, lease.size), true);
  const next = setKind(state, task.taskKind, learned);
  const worker = next.workers.get(lease.workerId) ?? EMPTY_WORKER;
  return setWorker(next, lease.workerId, {
    ...worker,
    streak: [],
    hasPassedProbe: worker.isQuarantined,
  });
}

/** Takes in a failure; one that ran out of memory speaks of its size, not of its worker. */
function foldFailure(
  state: PlacementState,
  task: TaskState,
  lease: CurrentLease,
  record: TaskOutcomeRecord,
): PlacementState {
  const kind = state.kinds.get(task.taskKind) ?? UNKNOWN_KIND;
  const isShort = isOutOfMemory(record.used, lease.size);
  const learned = isShort ? observeUsage(kind, record.used, lease.size) : observeEnd(kind, false);
  const next = setKind(state, task.taskKind, learned);
  const worker = next.workers.get(lease.workerId) ?? EMPTY_WORKER;
  const failure = { taskKind: task.taskKind, team: task.team, isShort };
  const streak = [...worker.streak, failure].slice(-STREAK_KEPT);
  return setWorker(next, lease.workerId, { ...worker, streak });
}

/** Takes in what an outcome says of its kind and its worker. */
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
