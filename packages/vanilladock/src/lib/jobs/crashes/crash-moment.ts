/**
 * Whether a run was still going on when its worker crashed. A network cut and a crash look the same:
 * all that is known is that the crash came after the last sign of life and before the process was
 * found to be gone. Load pattern: a worker that is cut off for seconds, whose runs end meanwhile,
 * crashes before it is reached again.
 */
import type { StepSpec } from '../spec.js';

/** What is known of the moment of a crash, on the planner's monotonic clock in milliseconds. */
export interface CrashMoment {
  /** Last sign of life of the incarnation. */
  readonly lastSignMs: number;
  /** When its address first refused a connection; undefined if it has not. */
  readonly refusedMs: number | undefined;
  /** When another incarnation was found in its place; undefined if none was. */
  readonly replacedMs: number | undefined;
}

/** How a process was found to be gone. */
export type GoneSign = 'refused' | 'replaced';

/**
 * A crash found by a refused connection within this time of the last sign counts as one under any run.
 * An ordinary one may be found no sooner: a poll of 0.7 s goes unanswered for 0.5 s more, and the next
 * call, 0.15 s later, is refused.
 */
const PROMPT_MS = 1_500;

/**
 * The same where no connection was refused: a worker is back after some 3 s and known 1 s later. One
 * that takes longer may have been silent before it crashed.
 */
const RESTART_MS = 4_500;

/**
 * Says whether a run that had gone on for `aliveMs` at the last sign was going on when its worker
 * crashed, by the estimate of its step; false while the process may be up.
 */
export function isCrashUnderRun(
  { lastSignMs, refusedMs, replacedMs = Infinity }: CrashMoment,
  aliveMs: number,
  { estimateMs, isLasting }: Pick<StepSpec, 'estimateMs' | 'isLasting'>,
): boolean {
  const goneMs = refusedMs ?? replacedMs;
  const promptMs = refusedMs === undefined ? RESTART_MS : PROMPT_MS;
  const remainingMs = isLasting ? Infinity : estimateMs - aliveMs;
  return goneMs < Infinity && goneMs - lastSignMs <= Math.max(promptMs, remainingMs);
}
