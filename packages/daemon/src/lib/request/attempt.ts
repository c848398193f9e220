/**
 * One attempt of a request on one connection. Its end is an answer's head or a failure whose verdict
 * is proved: `not-run` only when no byte was handed to the connection or the upstream said so.
 */
import { request as sendRequest, type ClientRequest, type IncomingMessage } from 'node:http';
import type { Failure, StaySignal } from 'vanilladock';
import type { Connection } from './connection-pool.js';
import { HEADERS } from './context.js';
import type { FlatHeaders } from './headers.js';

/** Head of the request to an upstream. */
export interface RequestHead {
  readonly id: string;
  readonly method: string;
  readonly path: string;
  readonly headers: FlatHeaders;
}

/** How an attempt ended. */
export type AttemptResult =
  | { readonly kind: 'answered'; readonly answer: IncomingMessage }
  | {
      readonly kind: 'failed';
      readonly failure: Failure;
      readonly stay?: StaySignal;
      /** The upstream is to blame, not only the connection or the caller. */
      readonly isUpstreamFault: boolean;
    };

/** An attempt in progress. */
export interface Attempt {
  readonly connection: Connection;
  readonly result: Promise<AttemptResult>;
  /** Whether a byte of the request may have reached the upstream. */
  readonly hasSent: () => boolean;
  /** Stops the attempt by destroying its connection. */
  readonly cancel: () => void;
  /** Whether bytes beyond the answer came on its connection, so that its body may hold foreign ones. */
  readonly hasExcess: () => boolean;
  /** Whether the request was sent whole; before that the connection cannot be used again. */
  readonly isSentWhole: () => boolean;
}

const SERVICE_UNAVAILABLE = 503;
const MS_PER_SECOND = 1000;
const DEFAULT_RETRY_AFTER_MS = 1000;
const LEAVING = 'leaving';

/** Builds the failure of a connection that broke while a request was on it. */
function makeReset(hasSent: boolean, message: string): Failure {
  return hasSent
    ? {
        code: 'upstream-reset',
        verdict: 'may-have-run',
        message: `The upstream's connection broke (${message}); find out whether the request ran before sending it again.`,
      }
    : {
        code: 'connect-failed',
        verdict: 'not-run',
        message: `The upstream's connection broke before the request was sent (${message}); send it again.`,
        retryAfterMs: DEFAULT_RETRY_AFTER_MS,
      };
}

/** Reads the time to come back from an upstream's refusal. */
function readRetryAfterMs(answer: IncomingMessage): number {
  const seconds = Number(answer.headers['retry-after'] ?? NaN);
  return Number.isFinite(seconds) ? seconds * MS_PER_SECOND : DEFAULT_RETRY_AFTER_MS;
}

/** Takes an upstream's word that it did not run the request. */
function makeRefusal(answer: IncomingMessage): AttemptResult {
  const isLeaving = answer.headers[HEADERS.notRun] === LEAVING;
  return {
    kind: 'failed',
    failure: {
      code: 'upstream-refused',
      verdict: 'not-run',
      message: 'The upstream refused the request without running it; send it again later.',
      retryAfterMs: readRetryAfterMs(answer),
    },
    ...(isLeaving ? { stay: LEAVING } : {}),
    isUpstreamFault: !isLeaving,
  };
}

/** Says whether an answer's end can be told from a cut connection. */
function isFramed(answer: IncomingMessage, method: string): boolean {
  const status = answer.statusCode ?? 0;
  if (method === 'HEAD' || status === 204 || status === 304) return true;
  if (answer.headers['transfer-encoding'] !== undefined) {
    return answer.headers['transfer-encoding'].trim().toLowerCase() === 'chunked';
  }
  return answer.headers['content-length'] !== undefined;
}

/** Builds the failure of an answer that cannot be passed on truly. */
function makeUnusable(message: string): AttemptResult {
  return {
    kind: 'failed',
    failure: { code: 'upstream-truncated', verdict: 'ran', message },
    isUpstreamFault: true,
  };
}

/**
 * Says whether an answer belongs to the request. Once an upstream has repeated a request's id on a
 * connection, every later answer on it must, so that a stray one cannot be taken for the next.
 */
function isOwnAnswer(answer: IncomingMessage, head: RequestHead, connection: Connection): boolean {
  const answeredId = answer.headers[HEADERS.requestId];
  if (answeredId === undefined) return !connection.hasEchoed();
  connection.observeEcho();
  return answeredId === head.id;
}

/** Judges the head of an answer; may destroy the connection. */
function classifyAnswer(
  answer: IncomingMessage,
  head: RequestHead,
  connection: Connection,
): AttemptResult {
  if (!isOwnAnswer(answer, head, connection)) {
    connection.destroy();
    return {
      kind: 'failed',
      failure: makeReset(true, 'the answer belongs to another request'),
      isUpstreamFault: true,
    };
  }
  if (answer.statusCode === SERVICE_UNAVAILABLE && answer.headers[HEADERS.notRun] !== undefined) {
    answer.on('error', () => {});
    answer.resume();
    return makeRefusal(answer);
  }
  if (!isFramed(answer, head.method)) {
    connection.destroy();
    return makeUnusable('The upstream ran the request; its answer gives no length to check.');
  }
  return { kind: 'answered', answer };
}

/** Builds the failure of a request that Node's client does not take. */
function makeUnsendable(hasSent: boolean, error: unknown): AttemptResult {
  const message = `The request cannot be passed on (${String(error)}); correct it.`;
  const verdict = hasSent ? 'may-have-run' : 'not-run';
  return {
    kind: 'failed',
    failure: { code: 'bad-request', verdict, message },
    isUpstreamFault: false,
  };
}

/** Starts an attempt; the body is sent by `sendBody`. */
export function startAttempt(
  connection: Connection,
  head: RequestHead,
  sendBody: (target: ClientRequest) => void,
): Attempt {
  const { socket, agent } = connection;
  const before = socket.bytesWritten;
  let outgoing: ClientRequest | undefined;
  let hasAnswered = false;
  let hasExcess = false;
  const hasSent = () => socket.bytesWritten !== before;
  const result = new Promise<AttemptResult>((resolve) => {
    const fail = (error: Error) => {
      // Node reports what it cannot parse behind a whole answer as an error of the request.
      hasExcess ||= hasAnswered;
      resolve({
        kind: 'failed',
        failure: makeReset(hasSent(), error.message),
        isUpstreamFault: !connection.isReused,
      });
    };
    try {
      const { method, path, headers } = head;
      outgoing = sendRequest({ agent, method, path, headers });
      outgoing.on('error', fail);
      outgoing.on('close', () => {
        if (!hasAnswered) fail(new Error('closed without an answer'));
      });
      outgoing.on('response', (answer) => {
        hasAnswered = true;
        resolve(classifyAnswer(answer, head, connection));
      });
      sendBody(outgoing);
    } catch (error) {
      connection.destroy();
      resolve(makeUnsendable(hasSent(), error));
    }
  });
  return {
    connection,
    result,
    hasSent,
    cancel: () => connection.destroy(),
    hasExcess: () => hasExcess,
    isSentWhole: () => outgoing?.writableFinished === true,
  };
}
