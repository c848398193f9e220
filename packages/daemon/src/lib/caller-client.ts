/**
 * A small client for callers that follows the verdicts of an entry: it retries a request only when
 * it has not run or may safely run twice, waits as long as `retry-after` asks, and gives up at the
 * deadline. docs/REFUSALS.md lists the codes that an entry may answer with.
 */
import { randomUUID } from 'node:crypto';
import { request as openRequest, type IncomingHttpHeaders } from 'node:http';
import { isRetryable, type Verdict } from 'vanilladock';
import { HEADERS } from './request/context.js';
import { waitMs } from './servers.js';

/** A request to send through an entry. */
export interface CallerRequest {
  /** Address of an entry or load balancer, `ip:port`. */
  readonly address: string;
  readonly method: string;
  /** Path that begins with the service, such as `/prices/tray`. */
  readonly path: string;
  readonly team: string;
  readonly body?: string | Buffer;
  readonly headers?: Readonly<Record<string, string>>;
  /** Sent unchanged with every try; a random UUID when omitted. */
  readonly requestId?: string;
  /** Whether the request may safely run more than once. */
  readonly isIdempotent: boolean;
  /** Time limit of all tries together, in milliseconds. */
  readonly deadlineMs: number;
}

/**
 * The result of a request. After `failed` with the verdict `not-run` it is safe to send the request
 * anew; after any other verdict, first find out whether it ran.
 */
export type CallerAnswer =
  | {
      readonly kind: 'answered';
      readonly status: number;
      readonly headers: IncomingHttpHeaders;
      readonly body: Buffer;
      readonly tries: number;
    }
  | {
      readonly kind: 'failed';
      readonly verdict: Verdict;
      readonly code: string;
      readonly tries: number;
    };

type FailedAnswer = Extract<CallerAnswer, { readonly kind: 'failed' }>;

/** The result of one try. */
interface Try {
  readonly answer: CallerAnswer;
  /** Delay before another try, in milliseconds; undefined when none is allowed. */
  readonly retryAfterMs: number | undefined;
}

const MS_PER_SECOND = 1000;
const RECONNECT_MS = 100;

/** Builds the result of a failed try. */
function makeFailedTry(code: string, verdict: Verdict, retryAfterMs: number | undefined): Try {
  return { answer: { kind: 'failed', code, verdict, tries: 1 }, retryAfterMs };
}

/** Reads the `retry-after` header in milliseconds; undefined when absent or not a number. */
function readRetryAfterMs(headers: IncomingHttpHeaders): number | undefined {
  const seconds = Number(headers['retry-after'] ?? NaN);
  return Number.isFinite(seconds) ? seconds * MS_PER_SECOND : undefined;
}

/** Classifies a complete answer: one with a code was made by the entry, not by the upstream. */
function classifyAnswer(status: number, headers: IncomingHttpHeaders, body: Buffer): Try {
  const code = headers[HEADERS.code];
  if (typeof code !== 'string') {
    return {
      answer: { kind: 'answered', status, headers, body, tries: 1 },
      retryAfterMs: undefined,
    };
  }
  const verdict = headers[HEADERS.verdict] as Verdict;
  const afterMs = readRetryAfterMs(headers);
  return makeFailedTry(code, verdict, verdict === 'not-run' ? afterMs : (afterMs ?? RECONNECT_MS));
}

/** Sends the request once; never rejects. */
function sendOnce(request: CallerRequest, id: string, remainingMs: number): Promise<Try> {
  const { address, path, method, team } = request;
  const headers = {
    ...request.headers,
    [HEADERS.team]: team,
    [HEADERS.requestId]: id,
    [HEADERS.idempotent]: String(request.isIdempotent),
    [HEADERS.deadlineMs]: String(Math.max(1, Math.floor(remainingMs))),
  };
  return new Promise((resolve) => {
    const outgoing = openRequest(`http://${address}${path}`, { method, headers, agent: false });
    let hasConnected = false;
    outgoing.on('socket', (socket) => {
      socket.once('connect', () => {
        hasConnected = true;
      });
    });
    const fail = (code: string) => {
      clearTimeout(timer);
      resolve(makeFailedTry(code, hasConnected ? 'may-have-run' : 'not-run', RECONNECT_MS));
    };
    const timer = setTimeout(() => {
      fail('no-answer');
      outgoing.destroy();
    }, remainingMs);
    outgoing.on('error', () => fail('no-answer'));
    outgoing.on('response', (answer) => {
      const chunks: Buffer[] = [];
      answer.on('data', (chunk: Buffer) => chunks.push(chunk));
      answer.on('error', () => {});
      answer.on('close', () => {
        if (!answer.complete) {
          fail('answer-cut');
          return;
        }
        clearTimeout(timer);
        resolve(classifyAnswer(answer.statusCode ?? 0, answer.headers, Buffer.concat(chunks)));
      });
    });
    outgoing.end(request.body);
  });
}

/** Keeps `may-have-run` in a failure if an earlier try may have run. */
function mergeVerdicts(earlier: FailedAnswer | undefined, later: FailedAnswer): FailedAnswer {
  return earlier?.verdict === 'may-have-run' ? { ...later, verdict: 'may-have-run' } : later;
}

/**
 * Sends a request and retries it while its verdict and idempotence allow that and the deadline has
 * not passed. Network failures are returned as `failed`, not thrown.
 */
export async function sendRequest(request: CallerRequest): Promise<CallerAnswer> {
  const id = request.requestId ?? randomUUID();
  const deadlineAtMs = performance.now() + request.deadlineMs;
  let failed: FailedAnswer | undefined;
  for (let tries = 1; ; tries += 1) {
    const { answer, retryAfterMs } = await sendOnce(request, id, deadlineAtMs - performance.now());
    if (answer.kind === 'answered') return { ...answer, tries };
    failed = { ...mergeVerdicts(failed, answer), tries };
    const isPastDeadline = performance.now() + (retryAfterMs ?? Infinity) >= deadlineAtMs;
    if (isPastDeadline || !isRetryable(answer.verdict, request.isIdempotent)) return failed;
    await waitMs(retryAfterMs ?? 0);
  }
}
