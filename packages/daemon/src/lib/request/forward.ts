/**
 * Sends an admitted request to one upstream and streams the answer back. The result says whether the
 * request may have run and what was seen of the upstream. When a kept connection stays silent on an
 * idempotent request, a fresh one is tried before the upstream is blamed.
 */
import type { ServerResponse } from 'node:http';
import type { Failure, Outcome, StaySignal, Verdict } from 'vanilladock';
import type { Observation } from '../upstream-table.js';
import { closeBroken, sendAnswer } from './answer-stream.js';
import { startAttempt, type Attempt, type AttemptResult, type RequestHead } from './attempt.js';
import {
  createConnectionPool,
  FRESH_IDLE_MS,
  MAX_IDLE_MS,
  type Acquisition,
  type Connection,
  type ConnectionPool,
} from './connection-pool.js';
import { makeStopFailure, type Guard } from './guard.js';
import type { RequestBody } from './request-body.js';

/** A request on its way to one upstream. */
export interface Exchange {
  readonly head: RequestHead;
  readonly isIdempotent: boolean;
  /** `ip:port` of the upstream. */
  readonly address: string;
  /** Usual time to the first byte there, in milliseconds; 0 when unknown. */
  readonly usualMs: number;
  readonly body: RequestBody;
  readonly response: ServerResponse;
  readonly guard: Guard;
  /** Whether the caller is told to close its connection after the answer. */
  readonly isClosing: boolean;
  /** Takes one retry out of the service's budget. */
  readonly takeRetry: () => boolean;
  /** Called when a kept connection was silent and a fresh one answered. */
  readonly handleSilent: () => void;
}

/** What became of an exchange; without a failure the whole answer was passed on. */
export interface ForwardResult {
  readonly failure?: Failure | undefined;
  readonly observation: Observation;
}

/** The sending filter of one entry. */
export interface Forward {
  readonly send: (exchange: Exchange) => Promise<ForwardResult>;
  /** Sets this entry's share of the connections that each upstream process takes. */
  readonly setConnectionLimit: (limit: number) => void;
  readonly close: () => void;
}

const DEFAULT_CONNECTION_LIMIT = 64;
const MIN_STALL_MS = 1_000;
const STALL_FACTOR = 4;
const SERVER_ERROR = 500;
const NOT_IMPLEMENTED = 501;
const MAX_POOLS = 4_096;
const CLOSE = /\bclose\b/i;

type AnsweredResult = Extract<AttemptResult, { readonly kind: 'answered' }>;

/** An answer's head, or the failure that stands when no attempt got one. */
type RaceResult =
  | { readonly kind: 'answered'; readonly attempt: Attempt; readonly result: AnsweredResult }
  | { readonly kind: 'failed'; readonly forwarded: ForwardResult };

const FAILED: Outcome = { kind: 'failed' };

/** Computes after what silence an upstream or its connection is doubted, in milliseconds. */
function computeStallMs(usualMs: number): number {
  return Math.max(MIN_STALL_MS, STALL_FACTOR * usualMs);
}

/** Judges a whole answer as the upstream's work. */
function classifyOutcome(status: number, latencyMs: number): Outcome {
  const isFault = status >= SERVER_ERROR && status !== NOT_IMPLEMENTED;
  return isFault ? FAILED : { kind: 'answered', latencyMs };
}

/** Builds the result for a request that never got a connection. */
function makeConnectFailure(message: string): ForwardResult {
  return {
    failure: {
      code: 'connect-failed',
      verdict: 'not-run',
      message: `No connection to the upstream could be opened (${message}); send it again.`,
      retryAfterMs: MIN_STALL_MS,
    },
    observation: { outcome: FAILED },
  };
}

/** Builds the result of a failed attempt. */
function makeFailedResult(result: Extract<AttemptResult, { kind: 'failed' }>): ForwardResult {
  const outcome = result.isUpstreamFault ? FAILED : undefined;
  return { failure: result.failure, observation: { outcome, stay: result.stay } };
}

/** Runs attempts until one has an answer's head, all have failed, or the guard stops them. */
function runRace(first: Connection, exchange: Exchange, pool: ConnectionPool): Promise<RaceResult> {
  const { guard, head, body } = exchange;
  const attempts: Attempt[] = [];
  const startedAtMs = performance.now();
  let extra: Acquisition | undefined;
  return new Promise((resolve) => {
    let isSettled = false;
    let pending = 0;
    let worst: ForwardResult | undefined;
    let stallTimer: NodeJS.Timeout | undefined;
    const stopRace = (result: RaceResult, winner?: Attempt) => {
      isSettled = true;
      clearTimeout(stallTimer);
      extra?.cancel();
      attempts.filter((attempt) => attempt !== winner).forEach((attempt) => attempt.cancel());
      resolve(result);
    };
    const stopFailed = (forwarded: ForwardResult) => stopRace({ kind: 'failed', forwarded });
    const handleAnswer = (attempt: Attempt, result: AnsweredResult) => {
      if (attempts.length > 1 && attempt !== attempts[0]) {
        pool.dropIdle();
        exchange.handleSilent();
      }
      stopRace({ kind: 'answered', attempt, result }, attempt);
    };
    const handleFailure = (forwarded: ForwardResult) => {
      pending -= 1;
      if (worst?.failure?.verdict !== 'may-have-run') worst = forwarded;
      if (pending === 0) stopFailed(worst ?? forwarded);
    };
    const start = (connection: Connection) => {
      pending += 1;
      const attempt = startAttempt(connection, head, (target) => body.sendTo(target));
      attempts.push(attempt);
      void attempt.result.then((result) => {
        if (isSettled) return;
        if (result.kind === 'answered') handleAnswer(attempt, result);
        else handleFailure(makeFailedResult(result));
      });
    };
    const startFresh = async () => {
      if (!body.isHeldWhole() || !exchange.takeRetry()) return;
      extra = pool.take(0);
      const connection = await extra.result;
      if (connection.isErr()) return;
      if (isSettled) connection.value.destroy();
      else start(connection.value);
    };
    guard.setHandler(() => {
      const hasSent = attempts.some((attempt) => attempt.hasSent());
      const verdict: Verdict = hasSent ? 'may-have-run' : 'not-run';
      const failure = makeStopFailure(guard.getReason() ?? 'caller-left', verdict);
      const waitedMs = performance.now() - startedAtMs;
      const isBlamed =
        failure.code === 'upstream-timeout' && waitedMs >= computeStallMs(exchange.usualMs);
      stopFailed({ failure, observation: { outcome: isBlamed ? FAILED : undefined } });
    });
    if (exchange.isIdempotent && first.isReused) {
      stallTimer = setTimeout(() => void startFresh(), computeStallMs(exchange.usualMs));
    }
    start(first);
  });
}

/** Streams an answer to the caller and judges what became of it. */
async function sendOn(
  exchange: Exchange,
  attempt: Attempt,
  { answer }: AnsweredResult,
  latencyMs: number,
): Promise<ForwardResult> {
  const { guard, response } = exchange;
  const stay: StaySignal = CLOSE.test(answer.headers.connection ?? '') ? 'closing' : 'staying';
  const stopped = new Promise<'stopped'>((resolve) => {
    guard.setHandler(() => resolve('stopped'));
  });
  const { isClosing } = exchange;
  const sent = sendAnswer(answer, response, { isClosing, hasExcess: attempt.hasExcess });
  const end = await Promise.race([sent, stopped]);
  switch (end) {
    case 'whole':
      if (!attempt.isSentWhole()) attempt.cancel();
      return { observation: { stay, outcome: classifyOutcome(answer.statusCode ?? 0, latencyMs) } };
    case 'cut':
      attempt.cancel();
      closeBroken(response);
      return {
        failure: {
          code: 'upstream-truncated',
          verdict: 'ran',
          message: 'The upstream ran the request; its answer was cut.',
        },
        observation: { stay, outcome: FAILED },
      };
    case 'stopped':
      attempt.cancel();
      closeBroken(response);
      return {
        failure: makeStopFailure(guard.getReason() ?? 'caller-left', 'ran'),
        observation: { stay },
      };
    default:
      return end satisfies never;
  }
}

/** Creates the sending filter with its own kept connections. */
export function createForward(): Forward {
  const pools = new Map<string, ConnectionPool>();
  let limit = DEFAULT_CONNECTION_LIMIT;

  const dropEmptyPools = () =>
    [...pools]
      .filter(([, pool]) => pool.countOpen() === 0)
      .forEach(([address]) => pools.delete(address));
  const getPool = (address: string) => {
    const known = pools.get(address);
    if (known !== undefined) return known;
    if (pools.size >= MAX_POOLS) dropEmptyPools();
    const pool = createConnectionPool(address, limit);
    pools.set(address, pool);
    return pool;
  };
  const send = async (exchange: Exchange): Promise<ForwardResult> => {
    const { guard, isIdempotent, address, body } = exchange;
    const pool = getPool(address);
    const acquisition = pool.take(isIdempotent ? MAX_IDLE_MS : FRESH_IDLE_MS);
    guard.setHandler(acquisition.cancel);
    const connection = await acquisition.result;
    const reason = guard.getReason();
    if (reason !== undefined) {
      if (connection.isOk()) connection.value.destroy();
      return { failure: makeStopFailure(reason, 'not-run'), observation: {} };
    }
    if (connection.isErr()) return makeConnectFailure(connection.error.message);
    const startedAtMs = performance.now();
    const raced = await runRace(connection.value, exchange, pool);
    if (raced.kind === 'failed') {
      body.detach();
      return raced.forwarded;
    }
    return sendOn(exchange, raced.attempt, raced.result, performance.now() - startedAtMs);
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
