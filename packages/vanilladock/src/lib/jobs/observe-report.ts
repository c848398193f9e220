/**
 * Applies a worker's lists to the tables. The lists are the truth about what runs: runs that nobody
 * waits for become strays, runs that are missing without an end are taken back into the queue.
 */
import type { RunningTask, TaskReport } from '../ports/task-workers.js';
import { applyEnd, releaseTask } from './apply-ends.js';
import { hasLeasePassed } from './lease-clock.js';
import type { PoolContext } from './pool-context.js';
import { NO_RESOURCES } from './room.js';
import { makeAssignment, type Assignment, type Moment, type Task, type Worker } from './state.js';

/** Longest list of ends in one report; a full one may leave later ends out. */
const MAX_LISTED_ENDS = 500;

/** A batch task without progress for this long is moved. */
const STALL_MS = 1_500;

/** A report with the times of its call. */
export interface TimedReport {
  readonly report: TaskReport;
  readonly sentMs: number;
  readonly heardMs: number;
}

/** Takes a run into the table as found at the worker. */
function takeRun(context: PoolContext, worker: Worker, row: RunningTask, at: Moment): void {
  const task = context.table.findTask(row.taskKey);
  if (task === undefined || task.state.kind !== 'waiting') {
    const known = worker.strays.get(row.taskKey);
    if (known?.run === row.run) return;
    const size = task === undefined ? NO_RESOURCES : context.table.findStep(task).size;
    worker.strays.set(row.taskKey, { run: row.run, size, stopSentMs: undefined });
    return;
  }
  const assignment = makeAssignment(worker.entry.id, row.run, {
    phase: 'running',
    confirmedMs: at.nowMs,
    leaseUntilMs: worker.leaseUntilMs,
    percent: row.percent,
    percentMs: at.nowMs,
    load: row.load,
  });
  context.table.moveTask(task, assignment, { lastRun: Math.max(task.lastRun, row.run) });
  context.table.updateJob(task.jobId, { hasStarted: true });
  context.report({
    event: 'run-adopted',
    task: row.taskKey,
    run: row.run,
    worker: worker.entry.id,
    percent: row.percent,
  });
}

/** Updates a known run from its row. */
function refreshRun(context: PoolContext, task: Task, row: RunningTask, at: Moment): void {
  const { state } = task;
  if (state.kind !== 'assigned') return;
  const step = context.table.findStep(task);
  const hasRisen = row.percent > state.percent;
  const next: Assignment = {
    ...state,
    phase: state.phase === 'starting' ? 'running' : state.phase,
    confirmedMs: state.confirmedMs ?? at.nowMs,
    percent: row.percent,
    percentMs: hasRisen || state.confirmedMs === undefined ? at.nowMs : state.percentMs,
    load: row.load,
  };
  const checkpoint =
    step.isCheckpointing && row.checkpoint !== '' ? row.checkpoint : task.checkpoint;
  context.table.moveTask(task, next, { checkpoint });
  const isStalled = at.nowMs - next.percentMs > STALL_MS;
  const canStall = !step.isLasting && !step.isFilling && !step.isGang && next.phase === 'running';
  if (!isStalled || !canStall) return;
  const avoid = [...new Set([...task.avoid, state.workerId])];
  context.table.moveTask(task, { ...next, phase: 'stopping' }, { avoid, checkpoint });
  context.report({
    event: 'run-stalled',
    task: task.key,
    run: next.run,
    worker: state.workerId,
    percent: next.percent,
    stalledMs: Math.round(at.nowMs - next.percentMs),
  });
}

/** Says whether a run that a report does not list can no longer be, or come to be, at the worker. */
function isSurelyGone(assignment: Assignment, worker: Worker, timed: TimedReport): boolean {
  const { confirmedMs, stopAnsweredMs, leaseUntilMs } = assignment;
  if (confirmedMs !== undefined && confirmedMs < timed.sentMs) return true;
  if (stopAnsweredMs !== undefined && stopAnsweredMs < timed.sentMs) return true;
  return confirmedMs === undefined && hasLeasePassed(worker.clock, leaseUntilMs, timed.heardMs);
}

/** Takes back the tasks that the report shows to be gone without an end. */
function releaseMissing(context: PoolContext, worker: Worker, timed: TimedReport): void {
  const listed = new Set(timed.report.running.map((row) => row.taskKey));
  [...worker.tasks].forEach((key) => {
    const task = context.table.findTask(key);
    if (task === undefined || task.state.kind !== 'assigned' || listed.has(key)) return;
    if (!isSurelyGone(task.state, worker, timed)) return;
    context.report({
      event: 'run-missing',
      task: key,
      run: task.state.run,
      worker: worker.entry.id,
      phase: task.state.phase,
    });
    releaseTask(context, task);
  });
  [...worker.strays.keys()].forEach((key) => {
    if (!listed.has(key)) worker.strays.delete(key);
  });
}

/** Notes the result of a run for the judgement on its worker. */
function recordResult(context: PoolContext, workerId: string, jobId: string, hasFailed: boolean) {
  const worker = context.table.workers.get(workerId);
  if (worker === undefined) return;
  const failedJobs = hasFailed ? [...new Set([...worker.failedJobs, jobId])] : [];
  context.table.updateWorker(workerId, { failedJobs });
}

/** Applies the ends that the worker lists and that are new. */
function applyEnds(context: PoolContext, workerId: string, timed: TimedReport, at: Moment): void {
  const { table } = context;
  const appliedEnd = table.workers.get(workerId)?.lastEnd ?? 0;
  const rows = timed.report.ended.filter((row) => row.number > appliedEnd);
  table.updateWorker(workerId, {
    lastEnd: Math.max(appliedEnd, ...rows.map((row) => row.number)),
  });
  rows.forEach((row) => {
    const worker = table.workers.get(workerId);
    if (worker === undefined) return;
    if (worker.strays.get(row.taskKey)?.run === row.run) worker.strays.delete(row.taskKey);
    const task = table.findTask(row.taskKey);
    if (task === undefined) return;
    if (row.how === 'done' || row.how === 'failed') {
      recordResult(context, workerId, task.jobId, row.how === 'failed');
    }
    context.report({
      event: 'run-ended',
      task: row.taskKey,
      run: row.run,
      worker: workerId,
      how: row.how,
      number: row.number,
    });
    applyEnd(
      context,
      task,
      { workerId, run: row.run, how: row.how, checkpoint: row.checkpoint },
      at,
    );
  });
}

/** Applies a report; the caller has made sure that it is of the worker's present life. */
export function observeReport(
  context: PoolContext,
  workerId: string,
  timed: TimedReport,
  at: Moment,
): void {
  const { table } = context;
  const { report, heardMs } = timed;
  table.updateWorker(workerId, {
    clock: { workerMs: report.clockMs, heardMs },
    answeredMs: heardMs,
    misses: 0,
  });
  applyEnds(context, workerId, timed, at);
  const worker = table.workers.get(workerId);
  if (worker === undefined) return;
  report.running.forEach((row) => {
    const task = table.findTask(row.taskKey);
    const isKnown =
      task !== undefined &&
      task.state.kind === 'assigned' &&
      task.state.workerId === workerId &&
      task.state.run === row.run;
    if (isKnown) refreshRun(context, task, row, at);
    else takeRun(context, worker, row, at);
  });
  if (report.ended.length < MAX_LISTED_ENDS) releaseMissing(context, worker, timed);
  table.refreshLoad(workerId);
}
