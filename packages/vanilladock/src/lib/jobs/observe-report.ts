/**
 * Applies a worker's report to the tables. The report is authoritative for what runs on the worker:
 * runs that match no task become orphaned runs, and tasks whose run is missing without a reported
 * end return to the queue.
 */
import type { RunningTask, TaskReport } from '../ports/task-workers.js';
import { applyEnd } from './apply-ends.js';
import { observeCheckpoint, type Checkpoint } from './checkpoints.js';
import { recordFailedRun } from './eject-workers.js';
import { computeEarliestWorkerMs, isStartLate } from './lease-clock.js';
import { computeFirstLease } from './first-lease.js';
import type { Inheritance } from './inheritance.js';
import { openBegunOccurrence } from './job-lifecycle.js';
import type { PoolContext } from './pool-context.js';
import { makeOtherRunFields, recordOrphan } from './record-orphan.js';
import { parseTaskKey } from './spec.js';
import { computeStallLimit } from './stall-limit.js';
import { makeAdopted, releaseUnendedRun, type ReleaseProof } from './run-release.js';
import {
  makeAssignment,
  makeAvoidance,
  type Assignment,
  type Moment,
  type Task,
  type Worker,
} from './state.js';
import { observeReportedCapacity } from './worker-capacity.js';
import { NO_FAILURES } from './worker-failures.js';

/** Maximum number of ends in one report; a report that reaches it may omit later ends. */
const MAX_ENDS_PER_REPORT = 500;

/** A report with the monotonic times of its request and response, in milliseconds. */
export interface TimedReport {
  readonly report: TaskReport;
  readonly sentMs: number;
  readonly receivedMs: number;
}

/** Makes the checkpoint that a row of a report names. */
function makeCheckpoint({ checkpoint, run }: RunningTask, { nowMs }: Moment): Checkpoint {
  return { value: checkpoint, run, reportedMs: nowMs };
}

/** Records a run that the table does not have: adopts it for a waiting task, else as an orphan. */
function recordUnknownRun(
  context: PoolContext,
  worker: Worker,
  row: RunningTask,
  inheritance: Pick<Inheritance, 'findStopped' | 'findConfirmedMs'>,
  at: Moment,
): void {
  const task = context.table.findTask(row.taskKey);
  const stopped = inheritance.findStopped(row);
  const isKnown = worker.orphanedRuns.get(row.taskKey)?.assignment.run === row.run;
  if (task?.state.kind !== 'waiting' || isKnown || stopped?.isOrphaned === true) {
    recordOrphan(context, worker, row, task, at);
    return;
  }
  const assignment = makeAssignment(worker.entry.id, row.run, {
    phase: stopped === undefined ? 'running' : 'stopping',
    confirmedMs: inheritance.findConfirmedMs(worker.entry, row) ?? at.nowMs,
    isReported: true,
    leaseUntilMs: worker.leaseUntilMs,
    percent: row.percent,
    lastProgressMs: at.nowMs,
    load: row.load,
  });
  const step = context.table.findStep(task);
  context.table.moveTask(task, makeAdopted(assignment), {
    lastRun: Math.max(task.lastRun, row.run),
    checkpoint: observeCheckpoint(task, step, makeCheckpoint(row, at)),
  });
  context.table.updateJob(task.jobId, { hasStarted: true });
  context.report({
    event: 'run-adopted',
    task: row.taskKey,
    run: row.run,
    worker: worker.entry.id,
    bornMs: worker.entry.bornMs,
    percent: row.percent,
    leaseUntilMs: worker.leaseUntilMs,
    clockMs: worker.clock?.workerMs,
  });
}

/** Updates a known run from its row in the report and stops it if it has stalled. */
function refreshKnownRun(context: PoolContext, task: Task, row: RunningTask, at: Moment): void {
  const { state } = task;
  if (state.kind !== 'assigned') return;
  const step = context.table.findStep(task);
  const hasRisen = row.percent > state.percent;
  // A spread of what the spread before has made is slow in the engine.
  const updated: Assignment = {
    kind: 'assigned',
    workerId: state.workerId,
    run: state.run,
    phase: state.phase === 'starting' ? 'running' : state.phase,
    confirmedMs: state.confirmedMs ?? at.nowMs,
    isReported: true,
    stopSentMs: state.stopSentMs,
    stopAnsweredMs: state.stopAnsweredMs,
    leaseUntilMs: state.leaseUntilMs,
    percent: row.percent,
    lastProgressMs: hasRisen || state.confirmedMs === undefined ? at.nowMs : state.lastProgressMs,
    load: row.load,
    pacePercent: state.pacePercent,
  };
  const checkpoint = observeCheckpoint(task, step, makeCheckpoint(row, at));
  context.table.moveTask(task, updated, { checkpoint });
  const isStalled = at.nowMs - updated.lastProgressMs > computeStallLimit(task, step);
  const canStall =
    !step.isLasting && !step.isFilling && !step.isGang && updated.phase === 'running';
  if (!isStalled || !canStall) return;
  const change = { ...makeAvoidance(task, state.workerId), checkpoint, stalls: task.stalls + 1 };
  context.table.moveTask(task, { ...updated, phase: 'stopping' }, change);
  context.report({
    event: 'run-stalled',
    task: task.key,
    run: updated.run,
    worker: state.workerId,
    percent: updated.percent,
    stalledMs: Math.round(at.nowMs - updated.lastProgressMs),
  });
}

/**
 * Finds the proof that a run that a report does not list cannot be running, or still start, on the
 * worker; undefined if there is none.
 */
function findProof(
  assignment: Assignment,
  { clock }: Worker,
  { sentMs, receivedMs }: TimedReport,
): ReleaseProof | undefined {
  const { confirmedMs, stopAnsweredMs, leaseUntilMs } = assignment;
  const sentAgoMs = Math.round(receivedMs - sentMs);
  if (confirmedMs !== undefined && confirmedMs < sentMs) {
    const confirmedAgoMs = Math.round(receivedMs - confirmedMs);
    return { proof: 'missing-in-report', confirmedAgoMs, sentAgoMs };
  }
  if (stopAnsweredMs !== undefined && stopAnsweredMs < sentMs) {
    const stopAnsweredAgoMs = Math.round(receivedMs - stopAnsweredMs);
    return { proof: 'stop-answered', stopAnsweredAgoMs, sentAgoMs };
  }
  if (confirmedMs !== undefined || !isStartLate(clock, leaseUntilMs, receivedMs)) return undefined;
  const earliestWorkerMs =
    clock === undefined ? undefined : Math.round(computeEarliestWorkerMs(clock, receivedMs));
  return { proof: 'start-late', leaseUntilMs, earliestWorkerMs };
}

/**
 * Requeues the tasks whose runs are gone without a reported end, and drops such orphaned runs.
 */
function releaseMissingRuns(context: PoolContext, worker: Worker, timed: TimedReport): void {
  const { running } = timed.report;
  const listed = new Set(running.map((row) => row.taskKey));
  [...worker.tasks].forEach((key) => {
    const task = context.table.findTask(key);
    if (task === undefined || task.state.kind !== 'assigned' || listed.has(key)) return;
    const proof = findProof(task.state, worker, timed);
    if (proof === undefined) return;
    context.report({
      event: 'run-missing',
      task: key,
      run: task.state.run,
      worker: worker.entry.id,
      phase: task.state.phase,
    });
    releaseUnendedRun(context, task, proof, { nowMs: timed.receivedMs });
  });
  [...worker.orphanedRuns].forEach(([key, { assignment }]) => {
    const isListed = running.some((row) => row.taskKey === key && row.run === assignment.run);
    if (isListed || findProof(assignment, worker, timed) === undefined) return;
    context.table.orphanedRuns.drop(key, worker.entry.id);
  });
}

/** Records the result of a run in the failure history of its worker. */
function recordResult(
  context: PoolContext,
  workerId: string,
  { jobId }: Task,
  how: 'done' | 'failed',
  { nowMs }: Moment,
): void {
  if (how === 'failed') recordFailedRun(context, workerId, { jobId, atMs: nowMs });
  else context.table.updateWorker(workerId, { failures: NO_FAILURES });
}

/** Opens the occurrences of inherited jobs whose tasks a report names and that are not open yet. */
function openReported({ table }: PoolContext, { running, ended }: TaskReport, at: Moment): void {
  [...running, ...ended].forEach(({ taskKey }) => {
    if (table.findTask(taskKey) !== undefined) return;
    const { jobId, occurrence } = parseTaskKey(taskKey);
    openBegunOccurrence(table, jobId, occurrence, at);
  });
}

/** Applies the ends in the report that have not been applied yet. */
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
    if (worker.orphanedRuns.get(row.taskKey)?.assignment.run === row.run)
      table.orphanedRuns.drop(row.taskKey, workerId);
    const task = table.findTask(row.taskKey);
    if (task === undefined) return;
    if (row.how === 'done' || row.how === 'failed') {
      recordResult(context, workerId, task, row.how, at);
    }
    context.report({
      event: 'run-ended',
      task: row.taskKey,
      run: row.run,
      worker: workerId,
      how: row.how,
      number: row.number,
      ...makeOtherRunFields(task, row.run),
    });
    applyEnd(
      context,
      task,
      { workerId, run: row.run, how: row.how, checkpoint: row.checkpoint },
      at,
    );
  });
}

/**
 * Applies a report to the worker and its tasks; does nothing for an unknown worker. The caller must
 * ensure that it is from the worker's current incarnation. `at` is when it is applied.
 */
export function observeReport(
  context: PoolContext,
  inheritance: Pick<
    Inheritance,
    'computeForeignLeaseMs' | 'findLeaseEnd' | 'findStopped' | 'findConfirmedMs'
  >,
  workerId: string,
  timed: TimedReport,
  at: Moment,
): void {
  const { table } = context;
  const { report, receivedMs } = timed;
  const before = table.workers.get(workerId);
  if (before === undefined) return;
  const isFirst = before.clock === undefined;
  table.updateWorker(workerId, {
    leaseUntilMs: isFirst ? computeFirstLease(inheritance, before, timed) : before.leaseUntilMs,
    clock: { workerMs: report.clockMs, lastReportMs: receivedMs },
    lastReportMs: receivedMs,
    missedReports: 0,
  });
  observeReportedCapacity(context, workerId, report.capacity, at.nowMs);
  openReported(context, report, at);
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
    if (isKnown) refreshKnownRun(context, task, row, at);
    else recordUnknownRun(context, worker, row, inheritance, at);
  });
  if (report.ended.length < MAX_ENDS_PER_REPORT) releaseMissingRuns(context, worker, timed);
  table.refreshUsedCapacity(workerId);
}
