/**
 * Ends tasks and keeps how the newest ones ended, so that a submission that is repeated or late is
 * known.
 */
import type { Verdict } from '../verdict.js';
import { addQuickCores, removeFromQueue } from './fold-index.js';
import { setVoid } from './fold-void.js';
import type { CancellationRecord } from './records.js';
import type { FinishedTask, PlacementState, TaskResult, TaskState } from './state.js';

/** Finished tasks that are kept; an older one that is submitted again counts as new. */
export const FINISHED_KEPT = 20_000;

/** Stores how a task ended; evicts the one that finished first when there are too many. */
function addFinished(state: PlacementState, taskId: string, entry: FinishedTask): PlacementState {
  const finished = state.finished.set(taskId, entry);
  const finishedOrder = state.finishedOrder.push({ taskId, offset: entry.offset });
  const oldest = finishedOrder.first();
  if (finishedOrder.size <= FINISHED_KEPT || oldest === undefined) {
    return { ...state, finished, finishedOrder };
  }
  const isNewest = finished.get(oldest.taskId)?.offset === oldest.offset;
  return {
    ...state,
    finished: isNewest ? finished.remove(oldest.taskId) : finished,
    finishedOrder: finishedOrder.shift(),
  };
}

/** Ends a task: removes it from the totals and keeps a summary of its end. */
export function setFinished(
  state: PlacementState,
  task: TaskState,
  end: {
    readonly result: TaskResult;
    readonly verdict: Verdict;
    readonly reason: string;
    readonly offset: number;
  },
): PlacementState {
  const entry = { ...end, team: task.team, workerId: task.lease?.workerId };
  const counted = addQuickCores(state, task, -1);
  const tasks = counted.tasks.remove(task.taskId);
  return addFinished({ ...counted, tasks }, task.taskId, entry);
}

/**
 * Ends a task that waits in its queue; it may have run if it had a lease before. Its result and reason
 * are those of the record at the given offset.
 */
export function setQueuedFinished(
  state: PlacementState,
  task: TaskState,
  { result, reason, offset }: Pick<FinishedTask, 'result' | 'reason' | 'offset'>,
): PlacementState {
  const verdict = task.newestLease < 0 ? 'not-run' : 'may-have-run';
  return setFinished(removeFromQueue(state, task), task, { result, verdict, reason, offset });
}

/**
 * Ends a task that the log does not have, or that was refused: a submission that was sent before the
 * cancellation and is read after it is then known, and has no effect.
 */
export function foldEarlyCancellation(
  state: PlacementState,
  { taskId, by, id }: CancellationRecord,
  offset: number,
): PlacementState {
  const ended = state.finished.get(taskId);
  if (ended !== undefined && ended.result !== 'refused') return setVoid(state, id, 'no-such-task');
  return addFinished(state, taskId, {
    result: 'cancelled',
    verdict: 'not-run',
    reason: `cancelled by ${by} before it was accepted`,
    team: ended?.team ?? '',
    workerId: undefined,
    offset,
  });
}
