/** Plans stops: strays, stalled and unconfirmed runs, and lasting tasks on workers to be emptied. */
import type { WorkerTarget } from '../ports/task-workers.js';
import { chooseWorker } from './place.js';
import type { PoolContext } from './pool-context.js';
import { computeFootprint } from './room.js';
import { makeTaskKey } from './spec.js';
import { FULL_PERCENT, type Assignment, type Moment, type Task, type Worker } from './state.js';

/** A stop to order. */
export interface StopAction {
  readonly kind: 'stop';
  readonly worker: WorkerTarget;
  readonly taskKey: string;
  readonly run: number;
  readonly why: 'not-wanted' | 'unconfirmed' | 'evacuation';
}

/** What planning stops depends on beside the tables. */
export interface StopInputs {
  readonly at: Moment;
  /** Which tasks of inherited jobs are at work is not known yet. */
  readonly isInheritanceDoubtful: boolean;
}

/** A stop whose effect is not listed yet is repeated after this time. */
const REPEAT_STOP_MS = 500;

/** Says whether a stop is due. */
function isStopDue(stopSentMs: number | undefined, nowMs: number): boolean {
  return stopSentMs === undefined || nowMs - stopSentMs > REPEAT_STOP_MS;
}

/** What a worker said this long ago says nothing about its tasks any more; it is asked more often. */
const REPORT_FRESH_MS = 1_500;

/** Says whether a lasting task is fully at work, as far as its worker has said lately. */
function isAtWork(context: PoolContext, task: Task | undefined, nowMs: number): boolean {
  if (task === undefined || task.state.kind !== 'assigned') return false;
  const worker = context.table.workers.get(task.state.workerId);
  const isHeard =
    worker !== undefined && worker.misses === 0 && nowMs - worker.answeredMs <= REPORT_FRESH_MS;
  return isHeard && task.state.phase === 'running' && task.state.percent >= FULL_PERCENT;
}

/** Counts the tasks of a lasting step that are not at work. */
function countAway(context: PoolContext, task: Task, nowMs: number): number {
  const { count } = context.table.findStep(task);
  const indices = Array.from({ length: count }, (_, index) => index);
  return indices.filter(
    (index) =>
      !isAtWork(
        context,
        context.table.findTask(makeTaskKey(task.jobId, task.occurrence, task.stepIndex, index)),
        nowMs,
      ),
  ).length;
}

/** Says whether a lasting task may be moved now: its step bears it and another worker has room. */
function isMovable(context: PoolContext, task: Task, nowMs: number): boolean {
  const step = context.table.findStep(task);
  if (countAway(context, task, nowMs) >= Math.max(1, step.maxUnavailable ?? 1)) return false;
  const stepRun = context.table.findStepRun(task);
  const footprint = computeFootprint(step);
  const request = { task, step, stepRun, footprint, rack: undefined, nowMs };
  return chooseWorker(context.table.workers.values(), request) !== undefined;
}

/** Says whether a worker is to be emptied. */
export function isLeaving(worker: Worker, nowMs: number): boolean {
  return worker.evacuateUntilMs > nowMs || worker.entry.phase === 'draining';
}

/** Plans the stop of one assigned task, if one is due. */
function planTaskStop(
  context: PoolContext,
  worker: Worker,
  task: Task,
  { at, isInheritanceDoubtful }: StopInputs,
): StopAction['why'] | undefined {
  const { state } = task;
  if (state.kind !== 'assigned') return undefined;
  if (state.phase === 'stopping') {
    return isStopDue(state.stopSentMs, at.nowMs) ? 'unconfirmed' : undefined;
  }
  const isCandidate = isLeaving(worker, at.nowMs) && context.table.findStep(task).isLasting;
  if (!isCandidate || state.phase !== 'running') return undefined;
  if (isInheritanceDoubtful && context.table.jobs.get(task.jobId)?.isInherited) return undefined;
  return isMovable(context, task, at.nowMs) ? 'evacuation' : undefined;
}

/** Plans all stops that are due and marks them as sent. */
export function planStops(context: PoolContext, inputs: StopInputs): readonly StopAction[] {
  const { at } = inputs;
  const stops: StopAction[] = [];
  [...context.table.workers.values()].forEach((worker) => {
    const target = { id: worker.entry.id, address: worker.entry.address };
    worker.strays.forEach((stray, taskKey) => {
      if (!isStopDue(stray.stopSentMs, at.nowMs)) return;
      worker.strays.set(taskKey, { ...stray, stopSentMs: at.nowMs });
      stops.push({ kind: 'stop', worker: target, taskKey, run: stray.run, why: 'not-wanted' });
    });
    [...worker.tasks].forEach((key) => {
      const task = context.table.findTask(key);
      if (task === undefined || task.state.kind !== 'assigned') return;
      const why = planTaskStop(context, worker, task, inputs);
      if (why === undefined) return;
      const state: Assignment = { ...task.state, phase: 'stopping', stopSentMs: at.nowMs };
      context.table.moveTask(task, state);
      stops.push({ kind: 'stop', worker: target, taskKey: key, run: state.run, why });
    });
  });
  return stops;
}
