/**
 * Guards a request from admission to its end. A passed deadline, a disconnected caller, or a body
 * that is too large or truncated stops the step in progress; the first of them is the reason.
 */
import type { IncomingMessage, ServerResponse } from 'node:http';
import type { Failure, Verdict } from 'vanilladock';
import type { RequestBody } from './request-body.js';

/** Why a request was stopped. */
export type StopReason = 'deadline-passed' | 'caller-left' | 'body-too-large';

/** The guard of one request. */
export interface Guard {
  /** Gets why the request was stopped; undefined while it may go on. */
  readonly getReason: () => StopReason | undefined;
  /**
   * Sets the callback that stops the step in progress; replaces that of the previous step. It is
   * not called for a stop that came before; `getReason` shows that one.
   */
  readonly setStopHandler: (handle: () => void) => void;
  /** Stops guarding, once the request has ended. */
  readonly release: () => void;
}

/** Says whether a caller's connection has closed. */
function hasCallerLeft(incoming: IncomingMessage, response: ServerResponse): boolean {
  return response.closed || incoming.socket.destroyed;
}

/** Creates the guard of a request whose deadline is on the monotonic clock, in milliseconds. */
export function createGuard(
  incoming: IncomingMessage,
  response: ServerResponse,
  body: RequestBody,
  deadlineAtMs: number,
): Guard {
  let reason: StopReason | undefined = hasCallerLeft(incoming, response)
    ? 'caller-left'
    : undefined;
  let handleStop = () => {};
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
  response.once('close', handleClose);
  body.setFaultHandler((fault) => stop(fault === 'cut' ? 'caller-left' : 'body-too-large'));
  return {
    getReason: () => reason,
    setStopHandler: (handle) => {
      handleStop = handle;
    },
    release: () => {
      handleStop = () => {};
      clearTimeout(timer);
      response.off('close', handleClose);
    },
  };
}

/**
 * Builds the failure of a stopped request. `verdict` says whether the request may have run; after a
 * passed deadline it also decides between `deadline-passed` (not run) and `upstream-timeout`.
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
        : {
            code: 'upstream-timeout',
            verdict,
            message:
              'The deadline passed while the upstream had the request; find out whether it ran before sending it again.',
          };
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
