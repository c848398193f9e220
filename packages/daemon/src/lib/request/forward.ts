/**
 * Sends an admitted request to one upstream and streams the response back. The result says whether
 * the request may have run and what was observed of the upstream. When a reused connection does not
 * respond to an idempotent request, a hedged attempt on a new connection follows, so that a broken
 * connection does not count as a failure of the upstream.
 */
import type { ServerResponse } from 'node:http';
import type { Failure, RequestOutcome, DepartureSignal, Verdict } from 'vanilladock';
import type { Observation } from '../upstream-table.js';
import { closeTruncated, sendResponse } from './response-stream.js';
import { startAttempt, type Attempt, type AttemptResult, type RequestHead } from './attempt.js';
import {
  createConnectionPool,
  MAX_IDLE_NON_IDEMPOTENT_MS,
  MAX_IDLE_MS,
  type Acquisition,
  type Connection,
  type ConnectionPool,
} from './connection-pool.js';
import { makeStopFailure, type Guard } from './guard.js';
import type { RequestBody } from './request-body.js';

/** A request to forward to one upstream. */
export interface ForwardRequest {
  readonly head: RequestHead;
  readonly isIdempotent: boolean;
  /** `ip:port` of the upstream. */
  readonly address: string;
  /** Typical time to the first byte of a response there, in milliseconds; 0 when unknown. */
  readonly usualMs: number;
  readonly body: RequestBody;
  readonly response: ServerResponse;
  readonly guard: Guard;
  /** Whether a response that begins now tells the caller to close its connection. */
  readonly isClosing: () => boolean;
  /** Takes one retry out of the service's budget; false when none is left. */
  readonly takeRetry: () => boolean;
  /** Called when a reused connection was unresponsive and the new one got a response. */
  readonly handleSilent: () => void;
}

/** How forwarding ended; without a failure the complete response was forwarded. */
export interface ForwardResult {
  readonly failure?: Failure | undefined;
  /** What was learned of the upstream's health; empty when nothing was. */
  readonly observation: Observation;
}

/** The forwarding filter of one entry. */
export interface Forwarder {
  /**
   * Sends the request and resolves once it has ended; failures are in the result. After a failure,
   * the response to the caller has begun only if its `headersSent` is true, and is cut then.
   */
  readonly send: (request: ForwardRequest) => Promise<ForwardResult>;
  /** Sets how many connections this entry may have to each upstream process, at least 1. */
  readonly setConnectionLimit: (limit: number) => void;
  /** Destroys all connections, also those in use. */
  readonly close: () => void;
}

const DEFAULT_CONNECTION_LIMIT = 64;
const MIN_STALL_TIMEOUT_MS = 1_000;
/** Multiple of the typical time to the first byte after which an upstream is unresponsive. */
const STALL_FACTOR = 4;
const SERVER_ERROR = 500;
const NOT_IMPLEMENTED = 501;
/** Number of pools at which those without connections are dropped before one is added. */
const MAX_POOLS = 4_096;
const CLOSE_PATTERN = /\bclose\b/i;

type AnsweredResult = Extract<AttemptResult, { readonly kind: 'answered' }>;

/** The head of a response, or the failure to report when no attempt got one. */
type RaceResult =
  | { readonly kind: 'answered'; readonly attempt: Attempt; readonly result: AnsweredResult }
  | { readonly kind: 'failed'; readonly forwarded: ForwardResult };

const FAILED_OUTCOME: RequestOutcome = { kind: 'failed' };

/** Computes the wait, in milliseconds, after which an upstream or connection is unresponsive. */
function computeStallTimeoutMs(usualMs: number): number {
  return Math.max(MIN_STALL_TIMEOUT_MS, STALL_FACTOR * usualMs);
}

/** Classifies a complete response for the upstream's health; 501 does not count as a failure. */
function classifyOutcome(status: number, latencyMs: number): RequestOutcome {
  const isFault = status >= SERVER_ERROR && status !== NOT_IMPLEMENTED;
  return isFault ? FAILED_OUTCOME : { kind: 'answered', latencyMs };
}

/** Builds the result for a request that got no connection. */
function makeConnectFailure(message: string): ForwardResult {
  return {
    failure: {
      code: 'connect-failed',
      verdict: 'not-run',
      message: `No connection to the upstream could be opened (${message}); send it again.`,
      retryAfterMs: MIN_STALL_TIMEOUT_MS,
    },
    observation: { outcome: FAILED_OUTCOME },
  };
}

/** Builds the result of a failed attempt. */
function makeFailedResult(result: Extract<AttemptResult, { kind: 'failed' }>): ForwardResult {
  const outcome = result.isUpstreamFault ? FAILED_OUTCOME : undefined;
  return {
    failure: result.failure,
    observation: { outcome, departureSignal: result.departureSignal },
  };
}

/**
 * Races the first attempt against a hedged one, until one gets the head of a response, all have
 * failed or the guard stops them.
 */
function runRace(
  first: Connection,
  request: ForwardRequest,
  pool: ConnectionPool,
): Promise<RaceResult> {
  const { guard, head, body } = request;
  const attempts: Attempt[] = [];
  const startedAtMs = performance.now();
  let hedge: Acquisition | undefined;
  return new Promise((resolve) => {
    let isSettled = false;
    let pending = 0;
    let worstFailure: ForwardResult | undefined;
    let stallTimer: NodeJS.Timeout | undefined;
    const stopRace = (result: RaceResult, winner?: Attempt) => {
      isSettled = true;
      clearTimeout(stallTimer);
      hedge?.cancel();
      attempts.filter((attempt) => attempt !== winner).forEach((attempt) => attempt.cancel());
      resolve(result);
    };
    const stopFailed = (forwarded: ForwardResult) => stopRace({ kind: 'failed', forwarded });
    const handleResponse = (attempt: Attempt, result: AnsweredResult) => {
      if (attempts.length > 1 && attempt !== attempts[0]) {
        pool.dropIdle();
        request.handleSilent();
      }
      stopRace({ kind: 'answered', attempt, result }, attempt);
    };
    const handleFailure = (forwarded: ForwardResult) => {
      pending -= 1;
      if (worstFailure?.failure?.verdict !== 'may-have-run') worstFailure = forwarded;
      if (pending === 0) stopFailed(worstFailure ?? forwarded);
    };
    const startOn = (connection: Connection) => {
      pending += 1;
      const attempt = startAttempt(connection, head, (target) => body.sendTo(target));
      attempts.push(attempt);
      void attempt.result.then((result) => {
        if (isSettled) return;
        if (result.kind === 'answered') handleResponse(attempt, result);
        else handleFailure(makeFailedResult(result));
      });
    };
    const startHedge = async () => {
      if (!body.isFullyBuffered() || !request.takeRetry()) return;
      hedge = pool.take(0);
      const connection = await hedge.result;
      if (connection.isErr()) return;
      if (isSettled) connection.value.destroy();
      else startOn(connection.value);
    };
    guard.setStopHandler(() => {
      const hasSent = attempts.some((attempt) => attempt.hasSent());
      const verdict: Verdict = hasSent ? 'may-have-run' : 'not-run';
      const failure = makeStopFailure(guard.getReason() ?? 'caller-left', verdict);
      const waitedMs = performance.now() - startedAtMs;
      const isUpstreamFault =
        failure.code === 'upstream-timeout' && waitedMs >= computeStallTimeoutMs(request.usualMs);
      stopFailed({
        failure,
        observation: { outcome: isUpstreamFault ? FAILED_OUTCOME : undefined },
      });
    });
    if (request.isIdempotent && first.isReused) {
      stallTimer = setTimeout(() => void startHedge(), computeStallTimeoutMs(request.usualMs));
    }
    startOn(first);
  });
}

/** Streams a response to the caller and classifies how that ended. */
async function sendUpstreamResponse(
  request: ForwardRequest,
  attempt: Attempt,
  { answer }: AnsweredResult,
  latencyMs: number,
): Promise<ForwardResult> {
  const { guard, response } = request;
  const departureSignal: DepartureSignal = CLOSE_PATTERN.test(answer.headers.connection ?? '')
    ? 'closing'
    : 'staying';
  const stopped = new Promise<'stopped'>((resolve) => {
    guard.setStopHandler(() => resolve('stopped'));
  });
  const isClosing = request.isClosing();
  const streamEnd = sendResponse(answer, response, { isClosing, hasExcess: attempt.hasExcess });
  const end = await Promise.race([streamEnd, stopped]);
  switch (end) {
    case 'whole':
      if (!attempt.isFullySent()) attempt.cancel();
      return {
        observation: {
          departureSignal,
          outcome: classifyOutcome(answer.statusCode ?? 0, latencyMs),
        },
      };
    case 'cut':
      attempt.cancel();
      closeTruncated(response);
      return {
        failure: {
          code: 'upstream-truncated',
          verdict: 'ran',
          message: 'The upstream ran the request; its answer was cut.',
        },
        observation: { departureSignal, outcome: FAILED_OUTCOME },
      };
    case 'stopped':
      attempt.cancel();
      closeTruncated(response);
      return {
        failure: makeStopFailure(guard.getReason() ?? 'caller-left', 'ran'),
        observation: { departureSignal },
      };
    default:
      return end satisfies never;
  }
}

/** Creates the forwarding filter with its own connection pools. */
export function createForwarder(): Forwarder {
  const pools = new Map<string, ConnectionPool>();
  let limit = DEFAULT_CONNECTION_LIMIT;

  const dropEmptyPools = () =>
    [...pools]
      .filter(([, pool]) => pool.countOpen() === 0)
      .forEach(([address]) => pools.delete(address));
  const getPool = (address: string) => {
    const existing = pools.get(address);
    if (existing !== undefined) return existing;
    if (pools.size >= MAX_POOLS) dropEmptyPools();
    const pool = createConnectionPool(address, limit);
    pools.set(address, pool);
    return pool;
  };
  const send = async (request: ForwardRequest): Promise<ForwardResult> => {
    const { guard, isIdempotent, address, body } = request;
    const pool = getPool(address);
    const acquisition = pool.take(isIdempotent ? MAX_IDLE_MS : MAX_IDLE_NON_IDEMPOTENT_MS);
    guard.setStopHandler(acquisition.cancel);
    const connection = await acquisition.result;
    const reason = guard.getReason();
    if (reason !== undefined) {
      if (connection.isOk()) connection.value.destroy();
      return { failure: makeStopFailure(reason, 'not-run'), observation: {} };
    }
    if (connection.isErr()) return makeConnectFailure(connection.error.message);
    const startedAtMs = performance.now();
    guard.setSent(true);
    const raceResult = await runRace(connection.value, request, pool);
    if (raceResult.kind === 'failed') {
      guard.setSent(false);
      body.detach();
      return raceResult.forwarded;
    }
    return sendUpstreamResponse(
      request,
      raceResult.attempt,
      raceResult.result,
      performance.now() - startedAtMs,
    );
  };
  return {
    send,
    setConnectionLimit: (value) => {
      limit = Math.max(1, value);
      pools.forEach((pool) => pool.setLimit(limit));
    },
    close: () => pools.forEach((pool) => pool.close()),
  };
}
