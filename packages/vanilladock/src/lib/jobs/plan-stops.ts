/**
 * Plans stops of orphaned, stalled and unconfirmed runs, and of lasting tasks on draining workers.
 */
import type { WorkerTarget } from '../ports/task-workers.js';
import { chooseWorker } from './choose-worker.js';
import type { PoolContext } from './pool-context.js';
import { makeRequest } from './placement-request.js';
import { makeTaskKey } from './spec.js';
import { FULL_PERCENT, type Assignment, type Moment, type Task, type Worker } from './state.js';

/**
 * Order to stop a run on a worker. `not-wanted`: it is orphaned. `unconfirmed`: it is being stopped
 * and no end was reported. `evacuation`: it is a lasting task that moves to another worker.
 */
export interface StopAction {
  readonly kind: 'stop';
  readonly worker: WorkerTarget;
  readonly taskKey: string;
  readonly run: number;
  readonly why: 'not-wanted' | 'unconfirmed' | 'evacuation';
}

/** Inputs for planning stops, in addition to the tables. */
export interface StopInputs {
  readonly at: Moment;
  /** Whether it is still unknown which tasks of inherited jobs are running. */
  readonly isInheritanceUncertain: boolean;
  /** Ids of the workers to look at. */
  readonly workerIds: Iterable<string>;
}

/** Delay before a stop is repeated while the run is not reported as ended. */
const STOP_RETRY_MS = 500;

/** Says whether a stop is due. */
function isStopDue(stopSentMs: number | undefined, nowMs: number): boolean {
  return stopSentMs === undefined || nowMs - stopSentMs > STOP_RETRY_MS;
}

/**
 * A report older than this no longer shows that tasks are running; workers are polled more often.
 */
const MAX_REPORT_AGE_MS = 1_500;

/** Says whether a lasting task is fully running according to a recent report of its worker. */
function isFullyRunning(context: PoolContext, task: Task | undefined, nowMs: number): boolean {
  if (task === undefined || task.state.kind !== 'assigned') return false;
  const worker = context.table.workers.get(task.state.workerId);
  const hasRecentReport =
    worker !== undefined &&
    worker.missedReports === 0 &&
    nowMs - worker.lastReportMs <= MAX_REPORT_AGE_MS;
  return hasRecentReport && task.state.phase === 'running' && task.state.percent >= FULL_PERCENT;
}

/** Counts the tasks of a lasting step that are not fully running. */
function countUnavailable(context: PoolContext, task: Task, nowMs: number): number {
  const { count } = context.table.findStep(task);
  const indices = Array.from({ length: count }, (_, index) => index);
  return indices.filter(
    (index) =>
      !isFullyRunning(
        context,
        context.table.findTask(makeTaskKey(task.jobId, task.occurrence, task.stepIndex, index)),
        nowMs,
      ),
  ).length;
}

/** Says whether a lasting task may move now: its step allows it and another worker can take it. */
function isMovable(context: PoolContext, task: Task, nowMs: number): boolean {
  const step = context.table.findStep(task);
  if (countUnavailable(context, task, nowMs) >= Math.max(1, step.maxUnavailable ?? 1)) return false;
  const request = makeRequest(context, task, nowMs);
  return chooseWorker(context.table.workers.values(), request) !== undefined;
}

/** Says whether lasting tasks have to be moved off a worker: it is draining or being evacuated. */
export function isEvacuating(worker: Worker, nowMs: number): boolean {
  return worker.evacuateUntilMs > nowMs || worker.entry.phase === 'draining';
}

/** Returns the reason to stop an assigned task now; undefined if no stop is due. */
function planTaskStop(
  context: PoolContext,
  worker: Worker,
  task: Task,
  { at, isInheritanceUncertain }: StopInputs,
): StopAction['why'] | undefined {
  const { state } = task;
  if (state.kind !== 'assigned') return undefined;
  if (state.phase === 'stopping') {
    return isStopDue(state.stopSentMs, at.nowMs) ? 'unconfirmed' : undefined;
  }
  const isCandidate = isEvacuating(worker, at.nowMs) && context.table.findStep(task).isLasting;
  if (!isCandidate || state.phase !== 'running') return undefined;
  if (isInheritanceUncertain && context.table.jobs.get(task.jobId)?.isInherited) return undefined;
  return isMovable(context, task, at.nowMs) ? 'evacuation' : undefined;
}

/**
 * Plans the stops that are due on the given workers and records them as sent; a stop is repeated
 * until its run ends.
 */
export function planStops(context: PoolContext, inputs: StopInputs): readonly StopAction[] {
  const { at } = inputs;
  const stops: StopAction[] = [];
  const workers = [...inputs.workerIds].flatMap((id) => context.table.workers.get(id) ?? []);
  workers.forEach((worker) => {
    const target = { id: worker.entry.id, address: worker.entry.address };
    worker.orphanedRuns.forEach((orphanedRun, taskKey) => {
      const { assignment } = orphanedRun;
      if (!isStopDue(assignment.stopSentMs, at.nowMs)) return;
      const stopped: Assignment = { ...assignment, phase: 'stopping', stopSentMs: at.nowMs };
      context.table.orphanedRuns.set(taskKey, { ...orphanedRun, assignment: stopped });
      stops.push({ kind: 'stop', worker: target, taskKey, run: stopped.run, why: 'not-wanted' });
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
