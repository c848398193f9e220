/**
 * Applies the outcomes of orders. A run whose order got no response is uncertain until a report
 * shows whether the worker has it.
 */
import type { OrderOutcome, Rejection } from '../ports/task-workers.js';
import type { StoppedRun } from './hand-over.js';
import type { InheritedRuns } from './inherited-runs.js';
import { estimateWorkerMs, hasClockRestarted, MAX_LEASE_MS } from './lease-clock.js';
import type { StartAction } from './plan-starts.js';
import type { StopAction } from './plan-stops.js';
import type { PoolContext } from './pool-context.js';
import { isAdopted, releaseUnendedRun } from './run-release.js';
import { makeStepKey } from './spec.js';
import {
  makeAvoidance,
  type Assignment,
  type Moment,
  type OrphanedRun,
  type Task,
} from './state.js';
import { stopOtherMembers } from './stop-gang.js';
import type { TicketRegistry } from './tickets.js';

/** Delay before a rejected task is started again. */
const START_RETRY_MS = 100;

/** First pause of a worker that reported itself unhealthy. */
const UNHEALTHY_PAUSE_MS = 500;

/** First pause of a worker that rejected a start for another reason. */
const REJECTION_PAUSE_MS = 100;

/** Numbers that are left out after a run that its worker rejects as old. */
const SKIPPED_RUNS = 100;

/** Limit of the pauses of a worker, which double until it accepts a start. */
const MAX_PAUSE_MS = 2_000;

/**
 * Keeps new tasks off a worker that has rejected a start, for a time that grows with the pauses in a
 * row; the rejections of one round pause it once.
 */
function startPause({ table }: PoolContext, workerId: string, why: Rejection, nowMs: number): void {
  const worker = table.workers.get(workerId);
  if (worker === undefined || worker.noStartBeforeMs > nowMs) return;
  const firstMs = why === 'unhealthy' ? UNHEALTHY_PAUSE_MS : REJECTION_PAUSE_MS;
  const pauseMs = Math.min(MAX_PAUSE_MS, firstMs * 2 ** worker.startPauses);
  table.updateWorker(workerId, {
    noStartBeforeMs: nowMs + pauseMs,
    startPauses: worker.startPauses + 1,
  });
}

/**
 * Records that a worker has answered a start. A clock that has gone back is that of a next
 * incarnation, which takes the lease end for its own clock and grants the longest lease.
 */
function recordStartAnswer(
  { table, report }: PoolContext,
  workerId: string,
  outcome: OrderOutcome,
  { nowMs }: Moment,
): void {
  const worker = table.workers.get(workerId);
  if (worker === undefined || outcome.kind === 'unknown') return;
  const { clock, leaseUntilMs } = worker;
  const isAccepted = outcome.kind === 'accepted';
  table.updateWorker(workerId, {
    lastLeaseCallMs: nowMs,
    ...(isAccepted ? { startPauses: 0 } : {}),
  });
  if (!isAccepted || clock === undefined || !hasClockRestarted(clock, outcome.clockMs)) return;
  const expectedMs = Math.round(estimateWorkerMs(clock, nowMs));
  table.updateWorker(workerId, {
    leaseUntilMs: Math.max(leaseUntilMs, expectedMs + MAX_LEASE_MS),
  });
  const { clockMs } = outcome;
  report({ event: 'worker-clock-back', worker: workerId, clockMs, expectedMs });
}

/**
 * Returns a task whose start was rejected to the queue, and keeps new tasks off the worker for a
 * while, unless it only says that the run was stopped before its start arrived.
 */
function handleRejection(
  context: PoolContext,
  tickets: TicketRegistry,
  task: Task,
  { worker, run }: StartAction,
  why: Rejection,
  { nowMs }: Moment,
): void {
  const { state } = task;
  const wasStopped = why === 'old-run' && state.kind === 'assigned' && state.phase === 'stopping';
  const change = wasStopped ? {} : makeAvoidance(task, worker.id);
  // The worker has seen a higher number, of an earlier planner that this one knows nothing of.
  const isBehind = why === 'old-run' && !wasStopped;
  const lastRun = isBehind ? task.lastRun + SKIPPED_RUNS : task.lastRun;
  releaseUnendedRun(
    context,
    context.table.moveTask(task, state, { ...change, lastRun }),
    { proof: 'start-rejected', why },
    { nowMs, notBeforeMs: nowMs + START_RETRY_MS },
  );
  stopOtherMembers(context, task, run);
  if (wasStopped) return;
  if (why === 'no-ticket') {
    const stepKey = makeStepKey(task.jobId, task.occurrence, task.stepIndex);
    tickets.dropTicket(stepKey, worker.id);
  } else startPause(context, worker.id, why, nowMs);
}

/** Finds the orphaned run that an order was about; undefined if its worker has none. */
function findOrphanedRun(
  { table }: PoolContext,
  { worker, taskKey, run }: StartAction | StopAction,
): OrphanedRun | undefined {
  const orphanedRun = table.workers.get(worker.id)?.orphanedRuns.get(taskKey);
  return orphanedRun?.assignment.run === run ? orphanedRun : undefined;
}

/** Applies the outcome of a start whose run was orphaned before it was known. */
function observeOrphanedStart(
  context: PoolContext,
  action: StartAction,
  outcome: OrderOutcome,
  { nowMs }: Moment,
): void {
  const { orphanedRuns, refreshUsedCapacity } = context.table;
  const orphanedRun = findOrphanedRun(context, action);
  if (orphanedRun === undefined || orphanedRun.assignment.confirmedMs !== undefined) return;
  if (outcome.kind === 'accepted') {
    const assignment = { ...orphanedRun.assignment, confirmedMs: nowMs };
    orphanedRuns.set(action.taskKey, { ...orphanedRun, assignment });
  } else if (outcome.kind === 'rejected') {
    orphanedRuns.drop(action.taskKey, action.worker.id);
    refreshUsedCapacity(action.worker.id);
  }
}

/**
 * Applies the outcome of a start: a rejected task returns to the queue unless its run was confirmed
 * before, and an unconfirmed run with an unknown outcome is to be stopped; the other members of a
 * gang are stopped in both cases. Changes nothing if the task has another run by now. `at` is when
 * the outcome was known.
 */
export function observeStart(
  context: PoolContext,
  tickets: TicketRegistry,
  action: StartAction,
  outcome: OrderOutcome,
  at: Moment,
): void {
  const { table } = context;
  recordStartAnswer(context, action.worker.id, outcome, at);
  observeOrphanedStart(context, action, outcome, at);
  const task = table.findTask(action.taskKey);
  const isSameRun =
    task !== undefined && task.state.kind === 'assigned' && task.state.run === action.run;
  if (outcome.kind !== 'accepted') {
    context.report({
      event: 'start-not-confirmed',
      task: action.taskKey,
      run: action.run,
      worker: action.worker.id,
      outcome: outcome.kind,
      why: outcome.kind === 'rejected' ? outcome.why : undefined,
    });
  }
  if (!isSameRun || task.state.kind !== 'assigned') return;
  const { state } = task;
  switch (outcome.kind) {
    case 'accepted': {
      const confirmedMs = state.confirmedMs ?? at.nowMs;
      const phase = state.phase === 'starting' ? 'running' : state.phase;
      table.moveTask(task, { ...state, phase, confirmedMs, lastProgressMs: at.nowMs });
      return;
    }
    case 'rejected':
      if (state.confirmedMs !== undefined) return;
      handleRejection(context, tickets, task, action, outcome.why, at);
      return;
    case 'unknown':
      if (state.phase !== 'starting') return;
      table.moveTask(task, { ...state, phase: 'stopping' });
      stopOtherMembers(context, task, action.run);
      return;
    default:
      outcome satisfies never;
  }
}

/**
 * Records the answer to a stop; the first one counts, as the start is rejected from then on. One to a
 * stop of before the worker's restart does not.
 */
function recordStopAnswer(assignment: Assignment, { nowMs }: Moment): Assignment {
  const { stopSentMs, stopAnsweredMs } = assignment;
  if (stopSentMs === undefined) return assignment;
  return { ...assignment, stopAnsweredMs: stopAnsweredMs ?? nowMs };
}

/**
 * Records when a stop was accepted; any other outcome is ignored, and the stop is repeated later.
 * Only a report shows that the run has ended.
 */
export function observeStop(
  context: PoolContext,
  action: StopAction,
  outcome: OrderOutcome,
  at: Moment,
): void {
  const { table } = context;
  if (outcome.kind !== 'accepted') return;
  const orphanedRun = findOrphanedRun(context, action);
  if (orphanedRun !== undefined) {
    const assignment = recordStopAnswer(orphanedRun.assignment, at);
    table.orphanedRuns.set(action.taskKey, { ...orphanedRun, assignment });
    return;
  }
  const task = table.findTask(action.taskKey);
  if (task?.state.kind !== 'assigned' || task.state.run !== action.run) return;
  table.moveTask(task, recordStopAnswer(task.state, at));
}

/**
 * Records that the planner before has ordered the stop of runs; those adopted before are known. Of one
 * that its task did not wait for, the task may have another.
 */
export function observeStoppedRuns({ table }: PoolContext, runs: readonly StoppedRun[]): void {
  runs.forEach(({ taskKey, run, isOrphaned }) => {
    const task = table.findTask(taskKey);
    if (task?.state.kind !== 'assigned' || task.state.run !== run) return;
    if (!isAdopted(task.state)) return;
    if (isOrphaned === true) table.moveTask(task, { kind: 'waiting', notBeforeMs: 0 });
    else table.moveTask(task, { ...task.state, phase: 'stopping' });
  });
}

/** Applies since when runs go on that were adopted before the planner before told it. */
export function observeToldRuns({ table }: PoolContext, inheritedRuns: InheritedRuns): void {
  inheritedRuns.listTasks().forEach((taskKey) => {
    const task = table.findTask(taskKey);
    if (task?.state.kind !== 'assigned' || !isAdopted(task.state)) return;
    const { state } = task;
    const worker = table.workers.get(state.workerId);
    const run = { taskKey, run: state.run };
    const confirmedMs = worker && inheritedRuns.findConfirmedMs(worker.entry, run);
    if (confirmedMs !== undefined) table.moveTask(task, { ...state, confirmedMs });
  });
}
