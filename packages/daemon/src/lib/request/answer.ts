/** Last filter: answers a failure with its status, stable code, verdict and time to come back. */
import { STATUS_CODES, type IncomingMessage, type ServerResponse } from 'node:http';
import type { Duplex } from 'node:stream';
import type { Failure, FailureCode } from 'vanilladock';
import { closeBroken } from './answer-stream.js';
import { HEADERS } from './context.js';

const MS_PER_SECOND = 1000;
/** A caller that goes on sending a refused body is cut off after this time. */
const LINGER_MS = 500;

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

/** Builds the headers of a failure's answer, names and values by turns. */
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

const lingering = new WeakSet<Duplex>();

/** Says whether a connection only waits for the rest of a body that was refused. */
export function isLingering(socket: Duplex): boolean {
  return lingering.has(socket);
}

/** Reads and drops what is left of a body for a short time, then ends the answer and connection. */
function closeAfterLinger(request: IncomingMessage, response: ServerResponse): void {
  const timer = setTimeout(() => response.end(), LINGER_MS);
  lingering.add(request.socket);
  request.on('error', () => {});
  request.once('end', () => {
    clearTimeout(timer);
    response.end();
  });
  response.once('close', () => clearTimeout(timer));
  request.resume();
}

/** Answers a failure at once; resets the connection when an answer has already begun. */
export function answerFailure(
  request: IncomingMessage,
  response: ServerResponse,
  failure: Failure,
  isDraining: boolean,
): void {
  if (response.headersSent || response.destroyed) {
    if (!response.writableFinished) closeBroken(response);
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

/** Answers a failure on a connection that has no response object, and closes it. */
export function answerRawFailure(socket: Duplex, failure: Failure, status?: number): void {
  const body = JSON.stringify(failure);
  const code = status ?? FAILURE_STATUS[failure.code];
  const headers = buildFailureHeaders(failure, Buffer.byteLength(body), true);
  const lines = headers.flatMap((name, index) =>
    index % 2 === 0 ? [`${name}: ${headers[index + 1]}`] : [],
  );
  const head = [`HTTP/1.1 ${code} ${STATUS_CODES[code] ?? ''}`, ...lines, '', body];
  socket.on('error', () => {});
  socket.end(head.join('\r\n'));
}
