/** Lists the steps whose tasks may start and the tasks that wait for a worker. */
import { listReadySteps } from './ready-steps.js';
import { makeStepKey, makeTaskKey, type StepSpec } from './spec.js';
import type { Job, Occurrence, StepRun, Task } from './state.js';
import type { TaskTable } from './task-table.js';

/** A step of one occurrence with tasks that may start. */
export interface StartableStep {
  readonly job: Job;
  readonly occurrence: Occurrence;
  readonly stepIndex: number;
  readonly step: StepSpec;
  readonly stepRun: StepRun;
}

/** Lists the steps of a job whose dependencies are done and that have waiting tasks. */
export function listStartableSteps(job: Job): readonly StartableStep[] {
  const { spec } = job.record;
  return [...job.occurrences.values()].flatMap((occurrence) =>
    listReadySteps(spec, occurrence).flatMap((stepIndex) => {
      const stepRun = occurrence.steps[stepIndex];
      const step = spec.steps[stepIndex];
      if (step === undefined || stepRun === undefined || stepRun.waiting.size === 0) return [];
      return [{ job, occurrence, stepIndex, step, stepRun }];
    }),
  );
}

/** Makes the key of a startable step. */
export function makeStartableKey({ job, occurrence, stepIndex }: StartableStep): string {
  return makeStepKey(job.record.spec.id, occurrence.number, stepIndex);
}

/** The waiting tasks of a step at a time. */
export interface WaitingTasks {
  /** Tasks that may start now, without those in a retry delay. */
  readonly tasks: readonly Task[];
  /** Monotonic time at which the next retry delay ends; infinite without one. */
  readonly nextRetryMs: number;
}

/**
 * Selects the waiting tasks of a step that may start at the monotonic time `nowMs`, without those
 * that may run unseen or of which an earlier run goes on.
 */
export function selectWaitingTasks(
  table: TaskTable,
  { job, occurrence, stepIndex, stepRun }: StartableStep,
  nowMs: number,
  mayRunUnseen: (taskKey: string) => boolean,
): WaitingTasks {
  const { id } = job.record.spec;
  const tasks: Task[] = [];
  let nextRetryMs = Infinity;
  stepRun.waiting.forEach((index) => {
    const task = table.findTask(makeTaskKey(id, occurrence.number, stepIndex, index));
    if (task?.state.kind !== 'waiting' || mayRunUnseen(task.key)) return;
    if (table.orphanedRuns.hasRun(task.key)) return;
    // A successor that does not know of the crash would count from the beginning.
    if (task.crashes.length > 0 && job.storedCrashVersion < job.crashVersion) return;
    if (task.state.notBeforeMs <= nowMs) tasks.push(task);
    else nextRetryMs = Math.min(nextRetryMs, task.state.notBeforeMs);
  });
  return { tasks, nextRetryMs };
}
