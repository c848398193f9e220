/** What the store keeps of a job beside its submission: ends of tasks, failures, and its phase. */
import type { Job, JobPhase, Task } from './state.js';

/** Progress as stored, compact. */
interface StoredProgress {
  readonly phase: JobPhase;
  /** Tasks done, as `occurrence.step.index`. */
  readonly done: readonly string[];
  /** Numbers of failed runs by task. */
  readonly failedRuns: Readonly<Record<string, readonly number[]>>;
  readonly occurrencesDone: readonly number[];
}

/** Progress as read back. */
export interface Progress {
  readonly phase: JobPhase;
  readonly done: ReadonlySet<string>;
  readonly failedRuns: ReadonlyMap<string, readonly number[]>;
  readonly occurrencesDone: ReadonlySet<number>;
}

/** Makes the name of a task within its job. */
export function makeTaskSuffix(task: Pick<Task, 'occurrence' | 'stepIndex' | 'index'>): string {
  return `${task.occurrence}.${task.stepIndex}.${task.index}`;
}

/** Encodes the progress of a job; finished jobs keep their phase only. */
export function encodeProgress(job: Job, tasks: readonly Task[]): string {
  const isActive = job.phase === 'active';
  const failed = tasks.filter((task) => task.failedRuns.length > 0 && task.state.kind !== 'done');
  const stored: StoredProgress = {
    phase: job.phase,
    done: isActive
      ? tasks.filter((task) => task.state.kind === 'done').map((task) => makeTaskSuffix(task))
      : [],
    failedRuns: isActive
      ? Object.fromEntries(failed.map((task) => [makeTaskSuffix(task), task.failedRuns]))
      : {},
    occurrencesDone: isActive ? [...job.finishedOccurrences] : [],
  };
  return JSON.stringify(stored);
}

/** Decodes stored progress, which only this module writes. */
export function decodeProgress(text: string): Progress {
  const stored = JSON.parse(text) as StoredProgress;
  return {
    phase: stored.phase,
    done: new Set(stored.done),
    failedRuns: new Map(Object.entries(stored.failedRuns)),
    occurrencesDone: new Set(stored.occurrencesDone),
  };
}
