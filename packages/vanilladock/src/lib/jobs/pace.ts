/**
 * Paces filling tasks beside lasting ones. Load pattern: filling work disturbs the tails of lasting
 * tasks on its worker by amounts that change within seconds. The pace falls at once when a tail nears
 * its target and rises slowly.
 */
import type { WorkerTarget } from '../ports/task-workers.js';
import type { PoolContext } from './pool-context.js';
import { FULL_PERCENT, type Assignment, type Moment, type Worker } from './state.js';

/** A pace to order. */
export interface PaceAction {
  readonly kind: 'pace';
  readonly worker: WorkerTarget;
  readonly taskKey: string;
  readonly run: number;
  readonly percent: number;
}

/** Share of the target above which filling tasks slow down, and below which they speed up. */
const SLOW_ABOVE = 0.9;
const RAISE_BELOW = 0.7;

const RAISE_PERCENT = 20;

/** A pace below this is no pace at all. */
const LEAST_PERCENT = 15;

/** Computes the next pace from the worst tail, as a share of its target. */
export function computePace(pacePercent: number, worstTailShare: number): number {
  if (worstTailShare > SLOW_ABOVE) {
    const lower = Math.floor(pacePercent / (worstTailShare > 1 ? 4 : 2));
    return lower < LEAST_PERCENT ? 0 : lower;
  }
  if (worstTailShare < RAISE_BELOW) return Math.min(FULL_PERCENT, pacePercent + RAISE_PERCENT);
  return pacePercent;
}

/** Computes the worst tail of the lasting tasks on a worker, as a share of its target. */
function computeWorstTailShare(context: PoolContext, worker: Worker): number {
  const shares = [...worker.tasks].map((key) => {
    const task = context.table.findTask(key);
    if (task === undefined || task.state.kind !== 'assigned') return 0;
    const { tailTargetMs } = context.table.findStep(task);
    return tailTargetMs === undefined ? 0 : task.state.load / tailTargetMs;
  });
  return Math.max(0, ...shares);
}

/** Plans the paces of one worker's filling tasks after a report. */
export function planPaces(context: PoolContext, workerId: string, at: Moment): PaceAction[] {
  const worker = context.table.workers.get(workerId);
  if (worker === undefined || at.nowMs < worker.noStartBeforeMs) return [];
  const worst = computeWorstTailShare(context, worker);
  return [...worker.tasks].flatMap((key) => {
    const task = context.table.findTask(key);
    if (task === undefined || task.state.kind !== 'assigned') return [];
    const state: Assignment = task.state;
    if (!context.table.findStep(task).isFilling || state.phase !== 'running') return [];
    const percent = computePace(state.pacePercent, worst);
    if (percent === state.pacePercent) return [];
    context.table.moveTask(task, { ...state, pacePercent: percent });
    const target = { id: worker.entry.id, address: worker.entry.address };
    return [{ kind: 'pace', worker: target, taskKey: key, run: state.run, percent }];
  });
}
