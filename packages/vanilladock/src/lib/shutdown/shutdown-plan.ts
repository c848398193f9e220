/**
 * Plans the stop of an instance within its grace period: until when it takes calls, by when each
 * call that it took has an answer, and when it closes its connections. Load pattern: many instances
 * stop at the same time under load, so that calls go on arriving, on open connections and on new
 * ones, until the process is gone.
 */

/** Deadlines of one stop, as monotonic times in milliseconds. */
export interface ShutdownPlan {
  /** When the stop began. */
  readonly startedMs: number;
  /** Until then calls are taken, as long as their answers fit in what is left. */
  readonly takesUntilMs: number;
  /** By then each call that was taken has its final answer. */
  readonly answersByMs: number;
  /** By then connections are closed, whatever is still being sent on them. */
  readonly closesByMs: number;
}

/** Whether a call is taken. */
export type Intake =
  /** The call must be answered by this monotonic time; Infinity unless the instance stops. */
  | { readonly kind: 'take'; readonly answerByMs: number }
  /** The call is refused; nothing was done. */
  | { readonly kind: 'refuse' };

/** What is left to do before an instance may exit. */
export interface ShutdownProgress {
  /** Calls whose answers have not been sent completely. */
  readonly openCalls: number;
  /** Whether the release of the duties has ended, with or without success. */
  readonly isReleased: boolean;
}

/** Next step of a stop. */
export type ShutdownStep =
  | 'wait'
  /** The calls without an answer get their final ones now. */
  | 'answer-rest'
  | 'close';

/**
 * Time for which a stopping instance takes calls: new connections reach it until its callers'
 * balancer has seen that it is not ready.
 */
const TAKING_MS = 2_500;

/**
 * Time that calls may have waited unread while a stopping instance still takes them. Beyond it more
 * calls arrive than it can serve, and a refusal costs half of the processor time.
 */
const MAX_INPUT_WAIT_MS = 1_000;

/** Part of the grace period that is left when the last answer is due, at most. */
const ANSWER_RESERVE_MS = 1_000;

/** Part of the grace period that is left when connections are closed, at most. */
const CLOSE_RESERVE_MS = 500;

/** Maximum share of a short grace period that the reserves take. */
const MAX_RESERVE_SHARE = 0.4;

/** Plans a stop that began at `startedMs` and has `graceMs` until the process is killed. */
export function planShutdown(startedMs: number, graceMs: number): ShutdownPlan {
  const answerReserveMs = Math.min(ANSWER_RESERVE_MS, graceMs * MAX_RESERVE_SHARE);
  const closeReserveMs = Math.min(CLOSE_RESERVE_MS, answerReserveMs / 2);
  const answersByMs = startedMs + graceMs - answerReserveMs;
  return {
    startedMs,
    takesUntilMs: Math.min(startedMs + TAKING_MS, answersByMs),
    answersByMs,
    closesByMs: startedMs + graceMs - closeReserveMs,
  };
}

/** Plans that no calls are taken while those that are read may have waited for too long. */
export function planIntake(plan: ShutdownPlan, inputWaitMs: number): ShutdownPlan {
  return inputWaitMs > MAX_INPUT_WAIT_MS ? { ...plan, takesUntilMs: -Infinity } : plan;
}

/**
 * Decides whether a call is taken whose single attempt may last `attemptMs`. Without a plan the
 * instance is not stopping.
 */
export function decideIntake(
  plan: ShutdownPlan | undefined,
  attemptMs: number,
  nowMs: number,
): Intake {
  if (plan === undefined) return { kind: 'take', answerByMs: Infinity };
  const isTaken = nowMs <= plan.takesUntilMs && nowMs + attemptMs <= plan.answersByMs;
  return isTaken ? { kind: 'take', answerByMs: plan.answersByMs } : { kind: 'refuse' };
}

/**
 * Says whether an instance that stops goes on with duties that nobody else takes: as long as it stays
 * for its calls, so that its exit does not wait for them.
 */
export function isHoldingDuties(plan: ShutdownPlan, openCalls: number, nowMs: number): boolean {
  return nowMs < plan.takesUntilMs || (openCalls > 0 && nowMs < plan.answersByMs);
}

/**
 * Computes how long, in ms, what has arrived may still be read and answered before the connections
 * are closed. A process that needs the time has little processor time: it has found the signal late,
 * and closes slowly, so that it keeps a reserve twice; one that has come here late has one of them.
 */
export function computeReadingMs(plan: ShutdownPlan, nowMs: number): number {
  const reserveMs = plan.closesByMs - plan.answersByMs;
  const lateUntilMs = Math.min(nowMs + reserveMs, plan.closesByMs);
  return Math.max(0, Math.max(plan.answersByMs - reserveMs, lateUntilMs) - nowMs);
}

/** Decides the next step of a stop; 'close' ends it. */
export function decideShutdownStep(
  plan: ShutdownPlan,
  { openCalls, isReleased }: ShutdownProgress,
  nowMs: number,
): ShutdownStep {
  if (nowMs >= plan.closesByMs) return 'close';
  const isAnswerDue = nowMs >= plan.answersByMs;
  if (openCalls > 0) return isAnswerDue ? 'answer-rest' : 'wait';
  const isDone = isReleased && nowMs >= plan.takesUntilMs;
  return isDone || isAnswerDue ? 'close' : 'wait';
}
