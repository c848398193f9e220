/**
 * HTTP client for calls to the platform, its workers and peers. Every call has a time limit, and
 * every answer a size limit. A connection on which a call got no answer is closed, so that an
 * unresponsive one is never reused.
 */
import { Agent, request as requestHttp, type ClientRequest, type IncomingMessage } from 'node:http';
import { Err, Ok, type Result } from 'ts-results-es';
import { parseAddress } from './address.js';
import type { JsonLog } from './json-log.js';
import { startRunningTimeLimit } from './running-time-limit.js';

/** An HTTP call to send. */
export interface HttpCall {
  /** `host:port`. */
  readonly address: string;
  readonly method: 'GET' | 'POST' | 'DELETE';
  /** Path and query. */
  readonly path: string;
  readonly headers?: Readonly<Record<string, string>>;
  readonly body?: Buffer;
  /** Time limit for the whole call, in milliseconds; time in which the process is paused is extra. */
  readonly timeoutMs: number;
  /** Calls of one lane may share connections; long polls have a lane of their own. */
  readonly lane?: 'calls' | 'polls';
}

/**
 * A complete answer, or none. `isRefused` means that nothing was sent: the connection was refused,
 * or the call cannot be made as it is.
 */
export type HttpOutcome =
  | { readonly kind: 'answer'; readonly status: number; readonly body: Buffer }
  | { readonly kind: 'none'; readonly reason: string; readonly isRefused: boolean };

/** Sends HTTP calls over kept-alive connections. */
export interface HttpClient {
  /**
   * Sends a call; never rejects. A call that cannot be made, such as one to an invalid port or with
   * an invalid header, gets no answer and is logged as an error.
   */
  readonly send: (call: HttpCall) => Promise<HttpOutcome>;
  readonly close: () => void;
}

/** Limits of the connections to one address. */
export interface ConnectionLimits {
  readonly maxPerLane: number;
  readonly maxIdlePerLane: number;
  /** Time after which an idle connection is closed, in milliseconds; undefined keeps it open. */
  readonly idleMs: number | undefined;
}

/** Default limits, for servers that have many clients. */
const DEFAULT_LIMITS: ConnectionLimits = { maxPerLane: 8, maxIdlePerLane: 8, idleMs: 10_000 };

/** Largest body of an answer in bytes; pages of the store and lists of ends are far smaller. */
const MAX_BODY_BYTES = 16_777_216;

/** A complete body, or why there is none. */
type BodyOutcome =
  | { readonly kind: 'complete'; readonly body: Buffer }
  | { readonly kind: 'truncated' | 'too-large' };

/** Collects a body; `finish` may be called again with a later outcome, which is to be ignored. */
function readBody(message: IncomingMessage, finish: (outcome: BodyOutcome) => void): void {
  const chunks: Buffer[] = [];
  let size = 0;
  message.on('data', (chunk: Buffer) => {
    size += chunk.length;
    if (size > MAX_BODY_BYTES) finish({ kind: 'too-large' });
    else chunks.push(chunk);
  });
  message.once('end', () =>
    finish(
      message.complete ? { kind: 'complete', body: Buffer.concat(chunks) } : { kind: 'truncated' },
    ),
  );
  message.once('error', () => finish({ kind: 'truncated' }));
  message.once('close', () => finish({ kind: 'truncated' }));
}

/** Opens the request of a call; the error is the reason for which the call cannot be made. */
function openRequest(call: HttpCall, agent: Agent): Result<ClientRequest, string> {
  const length = call.method === 'POST' ? { 'content-length': call.body?.length ?? 0 } : {};
  try {
    const { host, port } = parseAddress(call.address);
    const { method, path } = call;
    const headers = { ...call.headers, ...length };
    return Ok(requestHttp({ agent, host, port, method, path, headers }));
  } catch (error) {
    return Err((error as NodeJS.ErrnoException).code ?? String(error));
  }
}

/** Creates a client with connection limits for each address. */
export function createHttpClient(
  log: Pick<JsonLog, 'error'>,
  limits: ConnectionLimits = DEFAULT_LIMITS,
): HttpClient {
  const options = {
    keepAlive: true,
    maxSockets: limits.maxPerLane,
    maxFreeSockets: limits.maxIdlePerLane,
    scheduling: 'lifo' as const,
    ...(limits.idleMs === undefined ? {} : { timeout: limits.idleMs }),
  };
  const agents = { calls: new Agent(options), polls: new Agent(options) };
  return {
    send: (call) =>
      new Promise((resolve) => {
        const opened = openRequest(call, agents[call.lane ?? 'calls']);
        if (opened.isErr()) {
          const { address, path } = call;
          log.error({ event: 'call-impossible', address, path, reason: opened.error });
          resolve({ kind: 'none', reason: opened.error, isRefused: true });
          return;
        }
        const request = opened.value;
        let isSettled = false;
        const resolveOnce = (outcome: HttpOutcome) => {
          if (isSettled) return;
          isSettled = true;
          limit.cancel();
          if (outcome.kind === 'none') request.destroy();
          resolve(outcome);
        };
        const limit = startRunningTimeLimit(call.timeoutMs, () =>
          resolveOnce({ kind: 'none', reason: 'timeout', isRefused: false }),
        );
        request.once('socket', (socket) => socket.setNoDelay(true));
        request.on('error', (error: NodeJS.ErrnoException) =>
          resolveOnce({
            kind: 'none',
            reason: error.code ?? error.message,
            isRefused: error.code === 'ECONNREFUSED',
          }),
        );
        request.once('response', (message) =>
          readBody(message, (read) =>
            resolveOnce(
              read.kind === 'complete'
                ? { kind: 'answer', status: message.statusCode ?? 0, body: read.body }
                : { kind: 'none', reason: read.kind, isRefused: false },
            ),
          ),
        );
        request.end(call.body);
      }),
    close: () => {
      agents.calls.destroy();
      agents.polls.destroy();
    },
  };
}

const REQUEST_TIMEOUT = 408;
const SERVICE_UNAVAILABLE = 503;
const INSUFFICIENT_STORAGE = 507;

/**
 * Says whether a status of 400 or more states that nothing was done. Other errors of a server may
 * follow a call that it, or another server behind it, has carried out.
 */
export function isRefusal(status: number): boolean {
  if (status === SERVICE_UNAVAILABLE || status === INSUFFICIENT_STORAGE) return true;
  return status >= 400 && status < 500 && status !== REQUEST_TIMEOUT;
}

/** Parses a JSON body; undefined when it is not valid JSON. */
export function parseJsonBody(body: Buffer): unknown {
  try {
    return JSON.parse(body.toString('utf8')) as unknown;
  } catch {
    return undefined;
  }
}

/** Encodes a value as a JSON body. */
export function encodeJsonBody(value: unknown): Buffer {
  return Buffer.from(JSON.stringify(value), 'utf8');
}

/** Headers of calls with a JSON body. */
export const JSON_HEADERS = { 'content-type': 'application/json' } as const;
