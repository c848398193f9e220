/** Last filter: answers a failure with its status, stable code, verdict and time to come back. */
import type { ServerResponse } from 'node:http';
import type { Failure, FailureCode } from 'vanilladock';
import { HEADERS } from './context.js';

const MS_PER_SECOND = 1000;

/** HTTP status of each failure code. */
export const FAILURE_STATUS: Readonly<Record<FailureCode, number>> = {
  'bad-request': 400,
  'unknown-service': 404,
  'body-too-large': 413,
  'upgrade-refused': 501,
  'not-ready': 503,
  draining: 503,
  'queue-full': 503,
  'quota-exceeded': 429,
  'deadline-passed': 504,
  'no-upstream': 503,
  'connect-failed': 502,
  'upstream-refused': 503,
  'upstream-reset': 502,
  'upstream-timeout': 504,
  'upstream-truncated': 502,
  'caller-left': 499,
  'never-runnable': 422,
  'store-unavailable': 503,
};

/** Answers a failure; destroys the connection when an answer has already begun. */
export function answerFailure(response: ServerResponse, failure: Failure): void {
  if (response.headersSent) {
    response.destroy();
    return;
  }
  const body = JSON.stringify(failure);
  response.statusCode = FAILURE_STATUS[failure.code];
  response.setHeader('content-type', 'application/json');
  response.setHeader('content-length', Buffer.byteLength(body));
  response.setHeader(HEADERS.code, failure.code);
  response.setHeader(HEADERS.verdict, failure.verdict);
  if (failure.retryAfterMs !== undefined) {
    response.setHeader('retry-after', Math.ceil(failure.retryAfterMs / MS_PER_SECOND));
  }
  response.end(body);
}
