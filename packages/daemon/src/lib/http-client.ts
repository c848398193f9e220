/**
 * HTTP client for calls to the platform, its workers and peers. Every call has a time limit. A
 * connection on which a call got no answer is closed, so that an unresponsive one is never reused.
 */
import { Agent, request as requestHttp, type IncomingMessage } from 'node:http';
import { parseAddress } from './address.js';
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
 * A complete answer, or none. `isRefused` means that the connection was refused, so that nothing
 * was sent.
 */
export type HttpOutcome =
  | { readonly kind: 'answer'; readonly status: number; readonly body: Buffer }
  | { readonly kind: 'none'; readonly reason: string; readonly isRefused: boolean };

/** Sends HTTP calls over kept-alive connections. */
export interface HttpClient {
  /** Sends a call; never rejects. */
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

/** Collects a body; finishes with undefined when it was truncated. */
function readBody(message: IncomingMessage, finish: (body: Buffer | undefined) => void): void {
  const chunks: Buffer[] = [];
  message.on('data', (chunk: Buffer) => chunks.push(chunk));
  message.once('end', () => finish(message.complete ? Buffer.concat(chunks) : undefined));
  message.once('error', () => finish(undefined));
  message.once('close', () => finish(undefined));
}

/** Creates a client with connection limits for each address. */
export function createHttpClient(limits: ConnectionLimits = DEFAULT_LIMITS): HttpClient {
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
        const { host, port } = parseAddress(call.address);
        let isSettled = false;
        const request = requestHttp({
          agent: agents[call.lane ?? 'calls'],
          host,
          port,
          method: call.method,
          path: call.path,
          headers: {
            ...call.headers,
            ...(call.method === 'POST' ? { 'content-length': call.body?.length ?? 0 } : {}),
          },
        });
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
          readBody(message, (body) =>
            resolveOnce(
              body === undefined
                ? { kind: 'none', reason: 'truncated', isRefused: false }
                : { kind: 'answer', status: message.statusCode ?? 0, body },
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
