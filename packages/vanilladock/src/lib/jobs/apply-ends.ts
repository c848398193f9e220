/** Applies the ends of runs to tasks, occurrences and jobs. */
import type { RunEnd } from '../ports/task-workers.js';
import { observeCheckpoint } from './checkpoints.js';
import type { PoolContext } from './pool-context.js';
import { isStepDone } from './ready-steps.js';
import type { StepSpec } from './spec.js';
import { makeAvoidance, type Job, type JobPhase, type Moment, type Task } from './state.js';

/** End of a run as reported by a worker. */
export interface TaskEnd {
  readonly workerId: string;
  readonly run: number;
  readonly how: RunEnd;
  /** Newest checkpoint of the run; empty if there is none. */
  readonly checkpoint: string;
}

/**
 * Returns an assigned task whose run has ended to the queue; does nothing in any other state. The
 * task starts no earlier than `notBeforeMs` on the monotonic clock, in milliseconds.
 */
export function releaseTask(context: PoolContext, task: Task, notBeforeMs = 0): void {
  if (task.state.kind !== 'assigned') return;
  context.table.moveTask(task, { kind: 'waiting', notBeforeMs }, {}, 'ended');
}

/**
 * Ends an active job in the given phase; does nothing for any other. Its runs that are still active
 * become orphaned runs, and the change is queued to be stored.
 */
export function closeJob(context: PoolContext, jobId: string, phase: JobPhase, at: Moment): void {
  const { table, dirtyJobs, report } = context;
  const job = table.jobs.get(jobId);
  if (job === undefined || job.phase !== 'active') return;
  const ageMs = Math.round(at.nowMs - job.arrivedMs);
  const lateMs = Math.round(at.nowMs - job.objectiveAtMs);
  report({ event: 'job-ended', job: jobId, phase, ageMs, lateMs });
  table.dropTasks(table.listJobTasks(jobId));
  table.updateJob(jobId, { phase, endedAtMs: at.wallMs });
  dirtyJobs.add(jobId);
}

/** Says whether every task of an occurrence is done. */
function isOccurrenceDone(job: Job, number: number): boolean {
  const occurrence = job.occurrences.get(number);
  if (occurrence === undefined) return false;
  const { spec } = job.record;
  return spec.steps.every((_, index) => isStepDone(spec, occurrence, index));
}

/** Closes an occurrence, and the job if it was the last one. */
function closeOccurrence(context: PoolContext, job: Job, number: number, at: Moment): void {
  const { table, dirtyJobs } = context;
  const { id, repeatCount } = job.record.spec;
  dirtyJobs.add(id);
  job.finishedOccurrences.add(number);
  if (job.finishedOccurrences.size >= Math.max(1, repeatCount)) {
    closeJob(context, id, 'completed', at);
    return;
  }
  table.dropTasks(table.listJobTasks(id).filter((task) => task.occurrence === number));
  job.occurrences.delete(number);
}

/** Lists the tasks of a task's step in the same occurrence, itself included. */
export function listStepTasks({ table }: PoolContext, task: Task): readonly Task[] {
  return table
    .listJobTasks(task.jobId)
    .filter((t) => t.occurrence === task.occurrence && t.stepIndex === task.stepIndex);
}

/** Says whether the run of a task has ended with the given end; a gang's members end together. */
function hasEndedWith({ state }: Task, { isGang }: StepSpec, { workerId, run }: TaskEnd): boolean {
  if (state.kind !== 'assigned' || state.run !== run) return false;
  return isGang || state.workerId === workerId;
}

/**
 * Marks a task, or its whole gang, as done and closes the occurrence if it is complete. A run of it
 * that goes on elsewhere becomes an orphaned run.
 */
function applyDone(context: PoolContext, task: Task, end: TaskEnd, at: Moment): void {
  const { table, dirtyJobs } = context;
  const job = table.jobs.get(task.jobId);
  if (job === undefined) return;
  const step = table.findStep(task);
  const members = step.isGang ? listStepTasks(context, task) : [task];
  members.forEach((member) => {
    const leftRun = hasEndedWith(member, step, end) ? 'ended' : 'may-go-on';
    table.moveTask(member, { kind: 'done' }, {}, leftRun);
  });
  dirtyJobs.add(task.jobId);
  if (isOccurrenceDone(job, task.occurrence)) closeOccurrence(context, job, task.occurrence, at);
}

/**
 * Records a failed run once and fails the job after the last attempt; a gang shares its attempts.
 */
function applyFailure(context: PoolContext, task: Task, end: TaskEnd, at: Moment): void {
  const { table, dirtyJobs } = context;
  const job = table.jobs.get(task.jobId);
  if (job === undefined) return;
  const step = table.findStep(task);
  if (task.failedRuns.includes(end.run)) return;
  // A lasting task has no last attempt, so that its record must not grow with them.
  const failedRuns = step.isLasting ? [end.run] : [...task.failedRuns, end.run];
  const change = { failedRuns, ...makeAvoidance(task, end.workerId) };
  const current = table.moveTask(task, task.state, change);
  dirtyJobs.add(task.jobId);
  const members = step.isGang
    ? table.listJobTasks(task.jobId).filter((t) => t.stepIndex === task.stepIndex)
    : [current];
  const failed = members
    .filter((member) => member.occurrence === task.occurrence)
    .flatMap((member) => member.failedRuns);
  if (!step.isLasting && new Set(failed).size >= job.record.policy.maxAttempts) {
    closeJob(context, task.jobId, 'failed', at);
  }
}

/** Applies the end of a run; successes and failures count even if the run is no longer current. */
export function applyEnd(context: PoolContext, task: Task, end: TaskEnd, at: Moment): void {
  const { table } = context;
  const { state } = task;
  const isCurrent =
    state.kind === 'assigned' && state.workerId === end.workerId && state.run === end.run;
  const step = table.findStep(task);
  const checkpoint = observeCheckpoint(task, step, {
    value: end.checkpoint,
    run: end.run,
    reportedMs: at.nowMs,
  });
  const lastRun = Math.max(task.lastRun, end.run);
  const updated = table.moveTask(task, state, { checkpoint, lastRun });
  if (state.kind === 'done') return;
  if (end.how === 'done' && !step.isLasting) {
    applyDone(context, updated, end, at);
    return;
  }
  if (isCurrent) releaseTask(context, updated);
  const released = table.findTask(task.key);
  if (end.how === 'failed' && released !== undefined) applyFailure(context, released, end, at);
}
