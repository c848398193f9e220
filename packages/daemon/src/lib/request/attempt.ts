/**
 * One attempt of a request on one connection. It ends with the head of a response or with a
 * failure. A failure's verdict is `not-run` only when no byte was written to the connection or the
 * upstream stated that it did not run the request.
 */
import { request as sendRequest, type ClientRequest, type IncomingMessage } from 'node:http';
import type { Failure, DepartureSignal } from 'vanilladock';
import type { Connection } from './connection-pool.js';
import { HEADERS } from './context.js';
import type { RawHeaders } from './headers.js';

/** Request line and headers to send to an upstream. */
export interface RequestHead {
  /** Id of the request, which the upstream may echo in its response. */
  readonly id: string;
  readonly method: string;
  readonly path: string;
  readonly headers: RawHeaders;
}

/** How an attempt ended. */
export type AttemptResult =
  | { readonly kind: 'answered'; readonly answer: IncomingMessage }
  | {
      readonly kind: 'failed';
      readonly failure: Failure;
      /** What the response says about the upstream leaving service. */
      readonly departureSignal?: DepartureSignal;
      /** Whether the upstream is at fault, rather than only the connection or the caller. */
      readonly isUpstreamFault: boolean;
    };

/** An attempt in progress. */
export interface Attempt {
  readonly connection: Connection;
  /** Resolves at the head of the response or at the failure; never rejects. */
  readonly result: Promise<AttemptResult>;
  /** Whether a byte of the request may have reached the upstream. */
  readonly hasSent: () => boolean;
  /** Stops the attempt by destroying its connection; without a response yet, it fails. */
  readonly cancel: () => void;
  /**
   * Whether the upstream sent bytes beyond the end of its response, in which case the body may
   * contain bytes of another response.
   */
  readonly hasExcess: () => boolean;
  /** Whether the whole request was sent; until then the connection cannot be reused. */
  readonly isFullySent: () => boolean;
}

const SERVICE_UNAVAILABLE = 503;
const MS_PER_SECOND = 1000;
const DEFAULT_RETRY_AFTER_MS = 1000;
const LEAVING = 'leaving';

/** Builds the failure for a connection that broke while it carried a request. */
function makeResetFailure(hasSent: boolean, message: string): Failure {
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

/** Reads the retry delay of an upstream's refusal; a default when it gives none. */
function readRetryAfterMs(response: IncomingMessage): number {
  const seconds = Number(response.headers['retry-after'] ?? NaN);
  return Number.isFinite(seconds) ? seconds * MS_PER_SECOND : DEFAULT_RETRY_AFTER_MS;
}

/** Builds the result for an upstream that stated that it did not run the request. */
function makeRefusedResult(response: IncomingMessage): AttemptResult {
  const isLeaving = response.headers[HEADERS.notRun] === LEAVING;
  return {
    kind: 'failed',
    failure: {
      code: 'upstream-refused',
      verdict: 'not-run',
      message: 'The upstream refused the request without running it; send it again later.',
      retryAfterMs: readRetryAfterMs(response),
    },
    ...(isLeaving ? { departureSignal: LEAVING } : {}),
    isUpstreamFault: !isLeaving,
  };
}

/** Says whether the end of a response can be distinguished from a broken connection. */
function isFramed(response: IncomingMessage, method: string): boolean {
  const status = response.statusCode ?? 0;
  if (method === 'HEAD' || status === 204 || status === 304) return true;
  if (response.headers['transfer-encoding'] !== undefined) {
    return response.headers['transfer-encoding'].trim().toLowerCase() === 'chunked';
  }
  return response.headers['content-length'] !== undefined;
}

/** Builds the result for a response whose completeness cannot be verified. */
function makeUnverifiableResult(message: string): AttemptResult {
  return {
    kind: 'failed',
    failure: { code: 'upstream-truncated', verdict: 'ran', message },
    isUpstreamFault: true,
  };
}

/**
 * Says whether a response belongs to the request. Once an upstream has echoed a request's id on a
 * connection, every later response on it must echo its id, so that a delayed response to one
 * request cannot be mistaken for the response to the next.
 */
function isOwnResponse(
  response: IncomingMessage,
  head: RequestHead,
  connection: Connection,
): boolean {
  const echoedId = response.headers[HEADERS.requestId];
  if (echoedId === undefined) return !connection.hasEchoed();
  connection.observeEcho();
  return echoedId === head.id;
}

/**
 * Classifies the head of a response; destroys the connection when it cannot be trusted any more.
 */
function classifyResponse(
  response: IncomingMessage,
  head: RequestHead,
  connection: Connection,
): AttemptResult {
  if (!isOwnResponse(response, head, connection)) {
    connection.destroy();
    return {
      kind: 'failed',
      failure: makeResetFailure(true, 'the answer belongs to another request'),
      isUpstreamFault: true,
    };
  }
  if (
    response.statusCode === SERVICE_UNAVAILABLE &&
    response.headers[HEADERS.notRun] !== undefined
  ) {
    response.on('error', () => {});
    response.resume();
    return makeRefusedResult(response);
  }
  if (!isFramed(response, head.method)) {
    connection.destroy();
    return makeUnverifiableResult(
      'The upstream ran the request; its answer gives no length to check.',
    );
  }
  return { kind: 'answered', answer: response };
}

/** Builds the result for a request that Node's HTTP client rejects. */
function makeUnsendableResult(hasSent: boolean, error: unknown): AttemptResult {
  const message = `The request cannot be passed on (${String(error)}); correct it.`;
  const verdict = hasSent ? 'may-have-run' : 'not-run';
  return {
    kind: 'failed',
    failure: { code: 'bad-request', verdict, message },
    isUpstreamFault: false,
  };
}

/**
 * Starts an attempt; `sendBody` writes the body to the request and ends it. A request that Node's
 * HTTP client rejects fails with `bad-request`.
 */
export function startAttempt(
  connection: Connection,
  head: RequestHead,
  sendBody: (target: ClientRequest) => void,
): Attempt {
  const { socket, agent } = connection;
  const initialBytesWritten = socket.bytesWritten;
  let outgoing: ClientRequest | undefined;
  let hasAnswered = false;
  let hasExcess = false;
  const hasSent = () => socket.bytesWritten !== initialBytesWritten;
  const result = new Promise<AttemptResult>((resolve) => {
    const fail = (error: Error) => {
      // Node reports unparsable bytes after a complete response as an error of the request.
      hasExcess ||= hasAnswered;
      resolve({
        kind: 'failed',
        failure: makeResetFailure(hasSent(), error.message),
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
      outgoing.on('response', (response) => {
        hasAnswered = true;
        resolve(classifyResponse(response, head, connection));
      });
      sendBody(outgoing);
    } catch (error) {
      connection.destroy();
      resolve(makeUnsendableResult(hasSent(), error));
    }
  });
  return {
    connection,
    result,
    hasSent,
    cancel: () => connection.destroy(),
    hasExcess: () => hasExcess,
    isFullySent: () => outgoing?.writableFinished === true,
  };
}
