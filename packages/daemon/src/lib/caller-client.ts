/**
 * A small client for callers that obeys verdicts: it sends a request again only when that cannot run it
 * twice, comes back when the entry says so, and gives up at its deadline. docs/REFUSALS.md lists what
 * an entry may answer.
 */
import { randomUUID } from 'node:crypto';
import { request as openRequest, type IncomingHttpHeaders } from 'node:http';
import { isRetryable, type Verdict } from 'vanilladock';
import { HEADERS } from './request/context.js';
import { waitMs } from './servers.js';

/** One request of a caller. */
export interface CallerRequest {
  /** Entry or balancer, `ip:port`. */
  readonly address: string;
  readonly method: string;
  /** Service and path, such as `/prices/tray`. */
  readonly path: string;
  readonly team: string;
  readonly body?: string | Buffer;
  readonly headers?: Readonly<Record<string, string>>;
  /** Stays the same over all tries; chosen when left out. */
  readonly requestId?: string;
  /** Whether running it twice does no harm. */
  readonly isIdempotent: boolean;
  /** Longest time for all tries together, in milliseconds. */
  readonly deadlineMs: number;
}

/** What became of a request. `failed` with `not-run` may be ordered anew; with others, look first. */
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

type Failed = Extract<CallerAnswer, { readonly kind: 'failed' }>;

/** One try and when another is allowed, in milliseconds; undefined for never. */
interface Try {
  readonly answer: CallerAnswer;
  readonly retryAfterMs: number | undefined;
}

const MS_PER_SECOND = 1000;
const RECONNECT_MS = 100;

/** Builds a failed try. */
function makeFailedTry(code: string, verdict: Verdict, retryAfterMs: number | undefined): Try {
  return { answer: { kind: 'failed', code, verdict, tries: 1 }, retryAfterMs };
}

/** Reads the time to come back. */
function readRetryAfterMs(headers: IncomingHttpHeaders): number | undefined {
  const seconds = Number(headers['retry-after'] ?? NaN);
  return Number.isFinite(seconds) ? seconds * MS_PER_SECOND : undefined;
}

/** Judges a whole answer: one with a code is the entry's own. */
function classifyWhole(status: number, headers: IncomingHttpHeaders, body: Buffer): Try {
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

/** Tries once; never rejects. */
function sendOnce(request: CallerRequest, id: string, leftMs: number): Promise<Try> {
  const { address, path, method, team } = request;
  const headers = {
    ...request.headers,
    [HEADERS.team]: team,
    [HEADERS.requestId]: id,
    [HEADERS.idempotent]: String(request.isIdempotent),
    [HEADERS.deadlineMs]: String(Math.max(1, Math.floor(leftMs))),
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
    }, leftMs);
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
        resolve(classifyWhole(answer.statusCode ?? 0, answer.headers, Buffer.concat(chunks)));
      });
    });
    outgoing.end(request.body);
  });
}

/** Keeps the doubt of earlier tries in a failure. */
function mergeDoubt(earlier: Failed | undefined, later: Failed): Failed {
  return earlier?.verdict === 'may-have-run' ? { ...later, verdict: 'may-have-run' } : later;
}

/** Sends a request, and again as long as that is allowed and its deadline has not passed. */
export async function sendRequest(request: CallerRequest): Promise<CallerAnswer> {
  const id = request.requestId ?? randomUUID();
  const endsAtMs = performance.now() + request.deadlineMs;
  let failed: Failed | undefined;
  for (let tries = 1; ; tries += 1) {
    const { answer, retryAfterMs } = await sendOnce(request, id, endsAtMs - performance.now());
    if (answer.kind === 'answered') return { ...answer, tries };
    failed = { ...mergeDoubt(failed, answer), tries };
    const comesTooLate = performance.now() + (retryAfterMs ?? Infinity) >= endsAtMs;
    if (comesTooLate || !isRetryable(answer.verdict, request.isIdempotent)) return failed;
    await waitMs(retryAfterMs ?? 0);
  }
}
