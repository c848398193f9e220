/**
 * Reconciles one worker with the log: starts granted tasks, stops cancelled and orphaned ones,
 * records outcomes from its reports, renews its leases, and ends the leases of a worker that has
 * lapsed.
 */
import type { TaskReport } from '../ports/workers.js';
import type { CommandDecision, PlacementDecision } from './decisions.js';
import { computeLeaseBase, computeSafeEnd, isRenewalDue, observeRenewal } from './leases.js';
import type { WorkerContact } from './leases.js';
import { makeTaskLease, observeNewestReport, recordEndOnce, sendOnce } from './plan-context.js';
import type { PlanContext } from './plan-context.js';
import { RESEND_AFTER_MS, UNRESPONSIVE_AFTER_MS } from './plan-input.js';
import type { PlanInput, PoolView, ReceivedReport, WorkerView } from './plan-input.js';
import { getWorkerMemory } from './planner-memory.js';
import type { TaskOutcomeRecord } from './records.js';
import { EMPTY_WORKER } from './state.js';
import type { CurrentLease, TaskState } from './state.js';

/** A task with a current lease on the worker. */
interface LeasedTask {
  readonly task: TaskState;
  readonly lease: CurrentLease;
}

const RESULTS = {
  checkpointed: 'checkpointed',
  stopped: 'checkpointed',
  succeeded: 'succeeded',
  failed: 'failed',
  lapsed: 'lapsed',
} as const satisfies Record<Exclude<TaskReport['phase'], 'running'>, TaskOutcomeRecord['result']>;

/** Lists the tasks with a current lease on a worker. */
function listLeasedTasks(input: PlanInput, workerId: string): readonly LeasedTask[] {
  const ids = input.state.workers.get(workerId)?.tasks ?? EMPTY_WORKER.tasks;
  const leased: LeasedTask[] = [];
  ids.forEach((taskId) => {
    const task = input.state.tasks.get(taskId);
    if (task?.lease !== undefined) leased.push({ task, lease: task.lease });
  });
  return leased;
}

/** Says whether the end of a lease is already decided, so that the task must not be started. */
function isEnding(context: PlanContext, lease: CurrentLease): boolean {
  return context.memory.ends.has(lease.offset);
}

/** Decides on one lease that the newest report contains. */
function planReported(
  context: PlanContext,
  { task, lease }: LeasedTask,
  report: TaskReport,
  reportId: string,
): readonly PlacementDecision[] {
  if (report.phase === 'running') {
    if (!task.isCancelled) return [];
    const { duty } = context.input;
    const taskLease = makeTaskLease(task.taskId, lease.offset, lease.durationMs, duty, reportId);
    const rationale = {
      reason: 'the task was cancelled',
      refused: 'let the task run to completion',
    };
    return sendOnce(context, lease.workerId, { kind: 'stop', lease: taskLease }, rationale);
  }
  const reason = `worker ${lease.workerId} reported ${report.phase}`;
  const rationale = { reason, refused: 'wait for its lease to lapse' };
  return recordEndOnce(context, task, RESULTS[report.phase], rationale, report.used);
}

/** Decides on one lease that is missing from the newest report. */
function planUnreported(
  context: PlanContext,
  { task, lease }: LeasedTask,
  reportId: string,
): readonly PlacementDecision[] {
  if (isEnding(context, lease)) return [];
  const { duty } = context.input;
  const taskLease = makeTaskLease(task.taskId, lease.offset, lease.durationMs, duty, reportId);
  if (task.isCancelled) {
    const rationale = { reason: 'the task was cancelled', refused: 'start the task' };
    return sendOnce(context, lease.workerId, { kind: 'stop', lease: taskLease }, rationale);
  }
  const rationale = { reason: 'the lease was read back', refused: 'wait for a report first' };
  const command = { kind: 'start', lease: taskLease, size: lease.size } as const;
  return sendOnce(context, lease.workerId, command, rationale);
}

/** Stops an orphaned run, that is, one without a current lease. */
function planOrphan(
  context: PlanContext,
  workerId: string,
  report: TaskReport,
  reportId: string,
): readonly PlacementDecision[] {
  if (report.phase !== 'running') return [];
  const { duty } = context.input;
  const taskLease = makeTaskLease(report.taskId, report.fencingToken, 1, duty, reportId);
  const rationale = { reason: 'the lease has ended', refused: 'let the task run to completion' };
  return sendOnce(context, workerId, { kind: 'stop', lease: taskLease }, rationale);
}

/** Decides on every task that a worker reports or holds a lease for. */
function planTasks(
  context: PlanContext,
  worker: WorkerView,
  received: ReceivedReport,
  leased: readonly LeasedTask[],
): readonly PlacementDecision[] {
  const { reportId, tasks } = received.report;
  const byToken = new Map(tasks.map((report) => [report.fencingToken, report]));
  const current = new Set(leased.map(({ lease }) => lease.offset));
  const leaseDecisions = leased.flatMap((item) => {
    const report = byToken.get(item.lease.offset);
    return report === undefined
      ? planUnreported(context, item, reportId)
      : planReported(context, item, report, reportId);
  });
  const orphanDecisions = tasks
    .filter(({ fencingToken }) => !current.has(fencingToken))
    .flatMap((report) => planOrphan(context, worker.id, report, reportId));
  return [...leaseDecisions, ...orphanDecisions];
}

/** Ends the leases of a worker once they have lapsed on the worker's own clock. */
function planLapses(
  context: PlanContext,
  workerId: string,
  contact: WorkerContact | undefined,
  leased: readonly LeasedTask[],
): readonly PlacementDecision[] {
  const { duty, nowMs } = context.input;
  const baseMs = computeLeaseBase(duty, contact);
  const longestMs = Math.max(0, ...leased.map(({ lease }) => lease.durationMs));
  if (nowMs < computeSafeEnd(baseMs, longestMs)) return [];
  const rationale = {
    reason: `worker ${workerId} was last renewed ${Math.round(nowMs - baseMs)} ms ago`,
    refused: 'wait for the worker to report again',
  };
  return leased.flatMap(({ task }) => recordEndOnce(context, task, 'lapsed', rationale));
}

/**
 * Renews a worker's leases when that is due. The command lists the ended tasks whose outcome is in
 * the log, so that the worker stops reporting them.
 */
export function planRenewal(
  context: PlanContext,
  pool: PoolView,
  workerId: string,
): readonly CommandDecision[] {
  const { input, memory } = context;
  const known = getWorkerMemory(memory, workerId);
  const received = input.reports.get(workerId);
  if (known.contact === undefined || received === undefined) return [];
  const { reportId, tasks } = received.report;
  if (tasks.length === 0 || known.contact.reportId !== reportId) return [];
  if (!isRenewalDue(known.contact, pool.taskLeaseMs)) return [];
  const settled = tasks
    .filter(({ taskId, fencingToken, phase }) => {
      const offset = input.state.tasks.get(taskId)?.lease?.offset;
      return phase !== 'running' && offset !== fencingToken;
    })
    .map(({ fencingToken }) => fencingToken);
  if (settled.length === 0 && known.runningSince.size === 0) return [];
  memory.workers.set(workerId, { ...known, contact: observeRenewal(known.contact) });
  const command = {
    kind: 'renew-worker',
    duty: input.duty.duty,
    plannerFence: input.duty.fence,
    reportId,
    settled,
  } as const;
  const rationale = { reason: 'the worker reported', refused: 'let its leases lapse' };
  return [{ kind: 'command', workerId, command, ...rationale }];
}

/** Ends lapsed leases of workers that are no longer listed in the planner's pools. */
export function planUnlisted(context: PlanContext): readonly PlacementDecision[] {
  const { input, memory } = context;
  const pools = new Set(input.pools.map(({ name }) => name));
  const listed = new Set(input.pools.flatMap(({ workers }) => workers.map(({ id }) => id)));
  const decisions: PlacementDecision[] = [];
  input.state.workers.forEach((worker, workerId) => {
    if (worker.tasks.isEmpty() || listed.has(workerId)) return;
    const leased = listLeasedTasks(input, workerId).filter(({ task }) => pools.has(task.pool));
    const { contact } = getWorkerMemory(memory, workerId);
    decisions.push(...planLapses(context, workerId, contact, leased));
  });
  return decisions;
}

/**
 * Decides on one worker's current tasks and leases; new grants are planned per pool. For a worker
 * without a recent report it only ends leases that have lapsed.
 */
export function planWorker(
  context: PlanContext,
  pool: PoolView,
  worker: WorkerView,
): readonly PlacementDecision[] {
  const { input, memory } = context;
  const received = input.reports.get(worker.id);
  observeNewestReport(context, worker.id, received);
  const { contact, decided } = getWorkerMemory(memory, worker.id);
  const isUnresponsive =
    contact === undefined || input.nowMs - contact.receivedMs > UNRESPONSIVE_AFTER_MS;
  if (isUnresponsive || received === undefined) {
    return planLapses(context, worker.id, contact, listLeasedTasks(input, worker.id));
  }
  const folded = input.state.workers.get(worker.id);
  const { reportId } = received.report;
  const isUnchanged =
    decided?.reportId === reportId && decided.folded === folded && input.nowMs < decided.untilMs;
  if (isUnchanged) return [];
  const decisions = planTasks(context, worker, received, listLeasedTasks(input, worker.id));
  const renewals = planRenewal(context, pool, worker.id);
  const known = getWorkerMemory(memory, worker.id);
  const untilMs = input.nowMs + RESEND_AFTER_MS;
  memory.workers.set(worker.id, { ...known, decided: { reportId, folded, untilMs } });
  return [...decisions, ...renewals];
}
