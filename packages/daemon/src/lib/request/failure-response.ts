/**
 * Last filter: responds to a failure with its HTTP status, stable code, verdict and retry delay.
 */
import { STATUS_CODES, type IncomingMessage, type ServerResponse } from 'node:http';
import type { Duplex } from 'node:stream';
import type { Failure, FailureCode } from 'vanilladock';
import { closeTruncated } from './response-stream.js';
import { HEADERS } from './context.js';

const MS_PER_SECOND = 1000;
/** A caller that keeps sending a rejected body is disconnected after this time. */
const LINGER_TIMEOUT_MS = 500;

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

/** Builds the headers of a failure response as alternating names and values. */
function buildFailureHeaders(failure: Failure, bodyBytes: number, isClosing: boolean): string[] {
  const headers = [
    'Content-Type',
    'application/json',
    'Content-Length',
    String(bodyBytes),
    HEADERS.code,
    failure.code,
    HEADERS.verdict,
    failure.verdict,
  ];
  if (failure.retryAfterMs !== undefined) {
    headers.push('Retry-After', String(Math.ceil(failure.retryAfterMs / MS_PER_SECOND)));
  }
  if (isClosing) headers.push('Connection', 'close');
  return headers;
}

const lingeringSockets = new WeakSet<Duplex>();

/** Says whether a connection has its response and only discards the rest of a rejected body. */
export function isLingering(socket: Duplex): boolean {
  return lingeringSockets.has(socket);
}

/**
 * Discards the unread rest of a body for up to `LINGER_TIMEOUT_MS`, then ends the response and the
 * connection.
 */
function closeAfterLinger(request: IncomingMessage, response: ServerResponse): void {
  const timer = setTimeout(() => response.end(), LINGER_TIMEOUT_MS);
  lingeringSockets.add(request.socket);
  request.on('error', () => {});
  request.once('end', () => {
    clearTimeout(timer);
    response.end();
  });
  response.once('close', () => clearTimeout(timer));
  request.resume();
}

/**
 * Responds with a failure; resets the connection when a response has already begun. The connection
 * closes after the response when `isDraining` is set or the request's body was not read to its end.
 */
export function sendFailure(
  request: IncomingMessage,
  response: ServerResponse,
  failure: Failure,
  isDraining: boolean,
): void {
  if (response.headersSent || response.destroyed) {
    if (!response.writableFinished) closeTruncated(response);
    return;
  }
  const body = Buffer.from(JSON.stringify(failure));
  const isUnread = !request.complete;
  const headers = buildFailureHeaders(failure, body.length, isDraining || isUnread);
  response.setHeader(HEADERS.code, failure.code);
  response.writeHead(FAILURE_STATUS[failure.code], headers);
  if (isUnread) {
    response.write(body);
    closeAfterLinger(request, response);
  } else {
    response.end(body);
  }
}

/**
 * Writes a failure response to a connection that has no response object, and closes it. `status`
 * overrides the HTTP status of the failure's code.
 */
export function sendRawFailure(socket: Duplex, failure: Failure, status?: number): void {
  const body = JSON.stringify(failure);
  const statusCode = status ?? FAILURE_STATUS[failure.code];
  const headers = buildFailureHeaders(failure, Buffer.byteLength(body), true);
  const lines = headers.flatMap((name, index) =>
    index % 2 === 0 ? [`${name}: ${headers[index + 1]}`] : [],
  );
  const responseLines = [
    `HTTP/1.1 ${statusCode} ${STATUS_CODES[statusCode] ?? ''}`,
    ...lines,
    '',
    body,
  ];
  socket.on('error', () => {});
  socket.end(responseLines.join('\r\n'));
}
