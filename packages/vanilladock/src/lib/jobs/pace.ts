/**
 * Controls the pace of filling tasks that share a worker with lasting tasks. Load pattern: filling
 * work raises the tail latency of lasting tasks on its worker by amounts that change within
 * seconds. The pace drops at once when a tail latency approaches its target and recovers in small
 * steps.
 */
import type { WorkerTarget } from '../ports/task-workers.js';
import type { PoolContext } from './pool-context.js';
import { FULL_PERCENT, type Assignment, type Moment, type Worker } from './state.js';

/** Order to change the pace of a task, in percent of full speed. */
export interface PaceAction {
  readonly kind: 'pace';
  readonly worker: WorkerTarget;
  readonly taskKey: string;
  /** The run that the order is for. */
  readonly run: number;
  /** 0 pauses the task; 100 is full speed. */
  readonly percent: number;
}

/** Share of the tail latency target above which filling tasks are slowed down. */
const SLOW_ABOVE_SHARE = 0.9;
/** Share of the tail latency target below which filling tasks are sped up. */
const RAISE_BELOW_SHARE = 0.7;

const RAISE_STEP_PERCENT = 20;

/** Lowest nonzero pace; a lower result becomes 0. */
const MIN_PERCENT = 15;

/**
 * Computes the next pace in percent from the current one; 0 pauses the task. `worstTailShare` is
 * the worst tail latency divided by its target; 0 if no task has a target.
 */
export function computePace(pacePercent: number, worstTailShare: number): number {
  if (worstTailShare > SLOW_ABOVE_SHARE) {
    const lower = Math.floor(pacePercent / (worstTailShare > 1 ? 4 : 2));
    return lower < MIN_PERCENT ? 0 : lower;
  }
  if (worstTailShare < RAISE_BELOW_SHARE)
    return Math.min(FULL_PERCENT, pacePercent + RAISE_STEP_PERCENT);
  return pacePercent;
}

/** Computes the worst tail latency of the lasting tasks on a worker, as a share of its target. */
function computeWorstTailShare(context: PoolContext, worker: Worker): number {
  const shares = [...worker.tasks].map((key) => {
    const task = context.table.findTask(key);
    if (task === undefined || task.state.kind !== 'assigned') return 0;
    const { tailTargetMs } = context.table.findStep(task);
    return tailTargetMs === undefined ? 0 : task.state.load / tailTargetMs;
  });
  return Math.max(0, ...shares);
}

/**
 * Plans pace changes for the running filling tasks of a worker after it reported, and records them
 * as ordered. Empty if nothing changes, or if the worker is unknown or pauses starts.
 */
export function planPaces(context: PoolContext, workerId: string, at: Moment): PaceAction[] {
  const worker = context.table.workers.get(workerId);
  if (worker === undefined || at.nowMs < worker.noStartBeforeMs) return [];
  const worstTailShare = computeWorstTailShare(context, worker);
  return [...worker.tasks].flatMap((key) => {
    const task = context.table.findTask(key);
    if (task === undefined || task.state.kind !== 'assigned') return [];
    const state: Assignment = task.state;
    if (!context.table.findStep(task).isFilling || state.phase !== 'running') return [];
    const percent = computePace(state.pacePercent, worstTailShare);
    if (percent === state.pacePercent) return [];
    context.table.moveTask(task, { ...state, pacePercent: percent });
    const target = { id: worker.entry.id, address: worker.entry.address };
    return [{ kind: 'pace', worker: target, taskKey: key, run: state.run, percent }];
  });
}
