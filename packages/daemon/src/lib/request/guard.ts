/**
 * Guards a request from admission to its end. A passed deadline, a disconnected caller, a body that
 * is too large or truncated, or the drain of the entry stops the step in progress; the first of
 * them is the reason.
 */
import type { IncomingMessage, ServerResponse } from 'node:http';
import { decideDrainingRequest, makeDrainingFailure } from 'vanilladock';
import type { DrainPlan, Failure, Verdict } from 'vanilladock';
import type { Drain } from './drain.js';
import type { RequestBody } from './request-body.js';

/** Why a request was stopped. */
export type StopReason = 'deadline-passed' | 'caller-left' | 'body-too-large' | 'draining';

/** The guard of one request. */
export interface Guard {
  /** Gets why the request was stopped; undefined while it may go on. */
  readonly getReason: () => StopReason | undefined;
  /**
   * Sets the callback that stops the step in progress; replaces that of the previous step. It is
   * not called for a stop that came before; `getReason` shows that one.
   */
  readonly setStopHandler: (handle: () => void) => void;
  /**
   * Sets whether an upstream has the request. The start of a drain that ends before the request's
   * deadline stops it at once while none has it, otherwise when the last answers are due.
   */
  readonly setSent: (isSent: boolean) => void;
  /** Stops guarding, once the request has ended. */
  readonly release: () => void;
}

/** Says whether a caller's connection has closed. */
function hasCallerLeft(incoming: IncomingMessage, response: ServerResponse): boolean {
  return response.closed || incoming.socket.destroyed;
}

/** What ends a request from outside of its connection. */
export interface GuardLimits {
  /** Deadline on the monotonic clock, in milliseconds. */
  readonly deadlineAtMs: number;
  readonly drain: Drain;
}

/** Creates the guard of a request. */
export function createGuard(
  incoming: IncomingMessage,
  response: ServerResponse,
  body: RequestBody,
  { deadlineAtMs, drain }: GuardLimits,
): Guard {
  let reason: StopReason | undefined = hasCallerLeft(incoming, response)
    ? 'caller-left'
    : undefined;
  let handleStop = () => {};
  let isSent = false;
  let drainTimer: NodeJS.Timeout | undefined;
  const stop = (cause: StopReason) => {
    if (reason !== undefined) return;
    reason = cause;
    handleStop();
  };
  const handleClose = () => stop('caller-left');
  const timer = setTimeout(
    () => stop('deadline-passed'),
    Math.max(0, deadlineAtMs - performance.now()),
  );
  const handleDrain = (plan: DrainPlan) => {
    const nowMs = performance.now();
    if (decideDrainingRequest(plan, deadlineAtMs, nowMs).kind === 'take') return;
    if (isSent) drainTimer = setTimeout(() => stop('draining'), plan.answerByMs - nowMs);
    else stop('draining');
  };
  const endWatch = drain.watch(handleDrain);
  response.once('close', handleClose);
  body.setFaultHandler((fault) => stop(fault === 'cut' ? 'caller-left' : 'body-too-large'));
  return {
    getReason: () => reason,
    setStopHandler: (handle) => {
      handleStop = handle;
    },
    setSent: (value) => {
      isSent = value;
    },
    release: () => {
      handleStop = () => {};
      clearTimeout(timer);
      clearTimeout(drainTimer);
      endWatch();
      response.off('close', handleClose);
    },
  };
}

/** Builds the failure of a request whose time ended while an upstream had it. */
function makeTimeout(verdict: Verdict, what: string): Failure {
  const message = `${what} while the upstream had the request; find out whether it ran before sending it again.`;
  return { code: 'upstream-timeout', verdict, message };
}

/**
 * Builds the failure of a stopped request. `verdict` says whether the request may have run; after a
 * passed deadline it also decides between `deadline-passed` (not run) and `upstream-timeout`, and
 * after the drain between `draining` and `upstream-timeout`.
 */
export function makeStopFailure(reason: StopReason, verdict: Verdict): Failure {
  switch (reason) {
    case 'deadline-passed':
      return verdict === 'not-run'
        ? {
            code: 'deadline-passed',
            verdict,
            message: 'The deadline passed before the request was sent; send it again later.',
            retryAfterMs: 1000,
          }
        : makeTimeout(verdict, 'The deadline passed');
    case 'draining':
      return verdict === 'not-run'
        ? makeDrainingFailure()
        : makeTimeout(verdict, 'The entry stopped');
    case 'caller-left':
      return { code: 'caller-left', verdict, message: 'The caller closed its connection.' };
    case 'body-too-large':
      return {
        code: 'body-too-large',
        verdict,
        message: 'The body is longer than the service takes; send a shorter one.',
      };
    default:
      return reason satisfies never;
  }
}
