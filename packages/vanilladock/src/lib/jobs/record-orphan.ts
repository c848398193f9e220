/** Records the runs in a worker's report that no task waits for. */
import type { RunningTask } from '../ports/task-workers.js';
import { computeFootprint } from './free-capacity.js';
import type { PoolContext } from './pool-context.js';
import { parseStepKey, parseTaskKey } from './spec.js';
import { makeAssignment, type Moment, type OrphanedRun, type Task, type Worker } from './state.js';

/** Makes the log fields of the run that a task has beside another one; none if it has no other. */
export function makeOtherRunFields(task: Task | undefined, run: number) {
  if (task?.state.kind !== 'assigned' || task.state.run === run) return {};
  return { otherRun: task.state.run, otherWorker: task.state.workerId };
}

/** Makes the record of a run that a report lists; an unknown one counts as all of the worker. */
function makeOrphanedRun(
  { table }: PoolContext,
  { entry, leaseUntilMs }: Worker,
  { taskKey, run }: RunningTask,
  { nowMs }: Moment,
): OrphanedRun {
  const { jobId, stepIndex } = parseTaskKey(taskKey);
  const step = table.jobs.get(jobId)?.record.spec.steps[stepIndex];
  const assignment = makeAssignment(entry.id, run, {
    phase: 'stopping',
    confirmedMs: nowMs,
    isReported: true,
    leaseUntilMs,
    lastProgressMs: nowMs,
  });
  const size = step === undefined ? entry.capacity : computeFootprint(step);
  return { assignment, stepKey: parseStepKey(taskKey), size };
}

/**
 * Records a run that belongs to no task, or whose task is done or assigned to another run; one that
 * is known already is confirmed.
 */
export function recordOrphan(
  context: PoolContext,
  worker: Worker,
  row: RunningTask,
  task: Task | undefined,
  at: Moment,
): void {
  const { orphanedRuns } = context.table;
  const known = worker.orphanedRuns.get(row.taskKey);
  if (known?.assignment.run === row.run) {
    const confirmedMs = known.assignment.confirmedMs ?? at.nowMs;
    const assignment = { ...known.assignment, confirmedMs, isReported: true };
    orphanedRuns.set(row.taskKey, { ...known, assignment });
    return;
  }
  orphanedRuns.set(row.taskKey, makeOrphanedRun(context, worker, row, at));
  context.report({
    event: 'run-orphaned',
    task: row.taskKey,
    run: row.run,
    worker: worker.entry.id,
    bornMs: worker.entry.bornMs,
    ...makeOtherRunFields(task, row.run),
  });
}
