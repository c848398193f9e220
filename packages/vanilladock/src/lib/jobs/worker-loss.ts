/** Requeues the tasks of workers that are lost, and logs by what proof their runs have ended. */
import { computeEarliestWorkerMs } from './lease-clock.js';
import type { PoolContext } from './pool-context.js';
import { isAdopted, releaseUnendedRun, type IncarnationEndCause } from './run-release.js';
import type { Assignment, OrphanedRun, Task, Worker } from './state.js';

/**
 * Why a requested report is missing. `unanswered`: nothing was answered in time. `answered`: the worker
 * answered, but without a report. `refused`: its address refused the connection, as that of a
 * process that has ended.
 */
export type MissedReport = 'unanswered' | 'answered' | 'refused';

/** Why a worker is lost, and the start of its new incarnation in ms since 1970, if known. */
export interface WorkerLoss {
  readonly why: IncarnationEndCause;
  readonly newBornMs: number | undefined;
}

/** Computes the age of a worker's last report in milliseconds; undefined before the first one. */
export function computeReportAge(worker: Worker, nowMs: number): number | undefined {
  return worker.clock === undefined ? undefined : Math.round(nowMs - worker.lastReportMs);
}

/** Lists the tasks that are assigned to a worker. */
export function listWorkerTasks({ table }: PoolContext, worker: Worker): readonly Task[] {
  return [...worker.tasks].flatMap((key) => table.findTask(key) ?? []);
}

/** Says whether a task's run is listed in a report of its worker's incarnation. */
export function isRunReported({ state }: Task): boolean {
  return state.kind === 'assigned' && state.isReported;
}

/** Lists the orphaned runs on a worker that no report of its incarnation has listed, by task key. */
export function listUnreportedRuns({
  orphanedRuns,
}: Worker): readonly (readonly [string, OrphanedRun])[] {
  return [...orphanedRuns].filter(([, { assignment }]) => !assignment.isReported);
}

/** Makes an assignment of which no stop is known, as its worker has started anew. */
function makeUnstopped(assignment: Assignment): Assignment {
  return { ...assignment, stopSentMs: undefined, stopAnsweredMs: undefined };
}

/**
 * Leaves runs that no report has listed on the next incarnation of their worker, in place of which it
 * was added: it may get their starts. Stops that were sent to the earlier one prove nothing of it.
 */
export function moveUnreportedRuns(
  { table }: PoolContext,
  taskKeys: readonly string[],
  orphanedRuns: ReturnType<typeof listUnreportedRuns>,
): void {
  taskKeys.forEach((key) => {
    const task = table.findTask(key);
    if (task?.state.kind !== 'assigned' || task.state.isReported) return;
    table.workers.get(task.state.workerId)?.tasks.add(task.key);
    table.moveTask(task, makeUnstopped(task.state));
  });
  orphanedRuns.forEach(([taskKey, { assignment, ...orphanedRun }]) => {
    table.orphanedRuns.set(taskKey, { ...orphanedRun, assignment: makeUnstopped(assignment) });
  });
}

/** Logs that the incarnation of a worker has ended. */
export function reportLoss(
  context: PoolContext,
  worker: Worker,
  { why, newBornMs }: WorkerLoss,
  nowMs: number,
): void {
  context.report({
    event: 'worker-lost',
    worker: worker.entry.id,
    bornMs: worker.entry.bornMs,
    newBornMs,
    why,
    tasks: worker.tasks.size,
    silentMs: worker.missedReports,
    reportAgeMs: computeReportAge(worker, nowMs),
  });
}

/** Requeues tasks whose runs have ended with the incarnation of their worker. */
export function releaseEnded(
  context: PoolContext,
  tasks: readonly Task[],
  loss: WorkerLoss,
  nowMs: number | undefined,
): void {
  tasks.forEach((task) => {
    releaseUnendedRun(context, task, { proof: 'incarnation-ended', ...loss }, { nowMs });
  });
}

/** Requeues the tasks of a worker whose lease has expired, and forgets its orphaned runs. */
export function releaseExpired(context: PoolContext, worker: Worker, nowMs: number): void {
  const { clock, leaseUntilMs, missedReports } = worker;
  const tasks = listWorkerTasks(context, worker);
  const earliestWorkerMs =
    clock === undefined ? undefined : Math.round(computeEarliestWorkerMs(clock, nowMs));
  const reportAgeMs = Math.round(nowMs - worker.lastReportMs);
  const adopted = tasks.filter(({ state }) => state.kind === 'assigned' && isAdopted(state));
  context.report({
    event: 'worker-leases-passed',
    worker: worker.entry.id,
    bornMs: worker.entry.bornMs,
    leaseUntilMs,
    earliestWorkerMs,
    reportAgeMs,
    missedReports,
    adopted: adopted.length,
  });
  const proof = 'lease-expired';
  tasks.forEach((task) => {
    releaseUnendedRun(
      context,
      task,
      { proof, leaseUntilMs, earliestWorkerMs, reportAgeMs, missedReports },
      { nowMs },
    );
  });
  context.table.orphanedRuns.dropAll(worker.entry.id);
  context.table.refreshUsedCapacity(worker.entry.id);
}
