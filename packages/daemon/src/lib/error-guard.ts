/**
 * Hands errors of callbacks and of promises that nobody waits for to one handler, so that they do
 * not end the process. For errors that should not occur; expected ones are values.
 */
import type { JsonLog } from './json-log.js';

/** Guard of one part of the process. */
export interface ErrorGuard {
  /** Makes a callback that reports an error instead of throwing it. */
  readonly wrap: <Inputs extends readonly unknown[]>(
    where: string,
    callback: (...inputs: Inputs) => void,
  ) => (...inputs: Inputs) => void;
  /** Reports the error of a promise that rejects. */
  readonly watch: (where: string, promise: Promise<unknown>) => void;
}

/** Fields of a log line that tell an unexpected error and where it came from. */
export interface ErrorFields {
  readonly reason: string;
  /** Start of the stack; undefined for a value that is not an error. */
  readonly stack: string | undefined;
}

/** Longest part of a stack in a log line, in characters. */
const MAX_STACK = 600;

/** Makes the log fields of an unexpected error. */
export function makeErrorFields(error: unknown): ErrorFields {
  const stack = error instanceof Error ? error.stack?.slice(0, MAX_STACK) : undefined;
  return { reason: String(error), stack };
}

/** Creates a guard that logs errors as an event, and does nothing else about them. */
export function createLoggingGuard(log: Pick<JsonLog, 'error'>, event: string): ErrorGuard {
  return createErrorGuard((where, error) => log.error({ event, where, ...makeErrorFields(error) }));
}

/** Creates a guard; `handleError` is called with what failed. */
export function createErrorGuard(handleError: (where: string, error: unknown) => void): ErrorGuard {
  return {
    wrap:
      (where, callback) =>
      (...inputs) => {
        try {
          callback(...inputs);
        } catch (error) {
          handleError(where, error);
        }
      },
    watch: (where, promise) => {
      promise.catch((error: unknown) => handleError(where, error));
    },
  };
}
