/**
 * Chooses the checkpoint that tasks continue from. Workers report checkpoints of several runs of a
 * task in any order, as ends are reported again after a take-over or late by a worker that was
 * unresponsive; that of the highest run is the newest. A gang has one checkpoint, from any member.
 */
import type { Task } from './state.js';
import type { StepSpec } from './spec.js';

/** A checkpoint of a task. */
export interface Checkpoint {
  /** Opaque; empty if there is none. */
  readonly value: string;
  /** Number of the run that made it; 0 if there is none. */
  readonly run: number;
  /** When it was last reported, on the monotonic clock in milliseconds. */
  readonly reportedMs: number;
}

export const NO_CHECKPOINT: Checkpoint = { value: '', run: 0, reportedMs: 0 };

/**
 * Returns the newer of the task's checkpoint and the reported one; the task's own if the reported
 * one is empty or the step has none.
 */
export function observeCheckpoint(
  { checkpoint }: Pick<Task, 'checkpoint'>,
  { isCheckpointing }: Pick<StepSpec, 'isCheckpointing'>,
  reported: Checkpoint,
): Checkpoint {
  const isNewer = reported.value !== '' && reported.run >= checkpoint.run;
  return isCheckpointing && isNewer ? reported : checkpoint;
}

/**
 * Chooses the checkpoint that tasks start with, either one task or all members of a gang; empty for
 * a start from the beginning.
 */
export function chooseCheckpoint(tasks: readonly Pick<Task, 'checkpoint'>[]): string {
  return tasks
    .map(({ checkpoint }) => checkpoint)
    .reduce((newest, other) => {
      const isNewer =
        other.run > newest.run ||
        (other.run === newest.run && other.reportedMs > newest.reportedMs);
      return isNewer ? other : newest;
    }, NO_CHECKPOINT).value;
}
