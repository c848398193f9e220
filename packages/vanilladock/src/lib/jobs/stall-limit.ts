/** Bounds the time for which a batch task may be without progress before it is moved. */
import type { StepSpec } from './spec.js';
import type { Task } from './state.js';

/** A batch task without progress for this long, or longer, is stopped and moved to another worker. */
const STALL_MS = 1_500;

/**
 * The same as a share of the estimated duration: progress is reported in whole percent, and a task may
 * take several times as long as estimated.
 */
const STALL_SHARE = 0.05;

/** Stalls of a task from which on each doubles the time, as its duration is far from the estimate. */
const FREE_STALLS = 2;

/** Computes for how long a task may be without progress, in milliseconds. */
export function computeStallLimit({ stalls }: Task, { estimateMs }: StepSpec): number {
  const factor = 2 ** Math.max(0, stalls + 1 - FREE_STALLS);
  return Math.max(STALL_MS, STALL_SHARE * estimateMs) * factor;
}
