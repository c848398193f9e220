/**
 * Headers that travel end to end. Hop-by-hop headers, those that `Connection` names, and the entry's
 * own headers are left out in both directions; order and repetition of the others are kept.
 */
import type { IncomingMessage } from 'node:http';
import { HEADERS } from './context.js';

/** Names and values by turns, as Node's client and server take them. */
export type FlatHeaders = string[];

/** How the length of a message's body is given. */
export type BodyLength =
  | { readonly kind: 'none' }
  | { readonly kind: 'declared'; readonly bytes: number }
  | { readonly kind: 'chunked' }
  | { readonly kind: 'refused'; readonly message: string };

const HOP_BY_HOP: ReadonlySet<string> = new Set([
  'connection',
  'keep-alive',
  'proxy-connection',
  'proxy-authenticate',
  'proxy-authorization',
  'te',
  'transfer-encoding',
  'upgrade',
  'expect',
]);
const NOT_IN_TRAILERS: ReadonlySet<string> = new Set([
  'content-length',
  'content-encoding',
  'content-type',
  'content-range',
  'host',
  'trailer',
  'authorization',
  'cookie',
  'set-cookie',
]);
const OWN_HEADER_PREFIX = 'vanilladock-';
const NO_NAMES: ReadonlySet<string> = new Set();

/** Lists the names that the header `Connection` declares as hop-by-hop. */
function listConnectionNames(headers: IncomingMessage['headers']): ReadonlySet<string> {
  const { connection } = headers;
  if (connection === undefined) return NO_NAMES;
  return new Set(connection.split(',').map((name) => name.trim().toLowerCase()));
}

/** Copies the end-to-end headers of a message, except those that are dropped. */
function selectHeaders(message: IncomingMessage, dropped: ReadonlySet<string>): FlatHeaders {
  const named = listConnectionNames(message.headers);
  const { rawHeaders } = message;
  const kept: FlatHeaders = [];
  for (let index = 0; index < rawHeaders.length; index += 2) {
    const name = rawHeaders[index] as string;
    const lower = name.toLowerCase();
    if (HOP_BY_HOP.has(lower) || dropped.has(lower)) continue;
    if (named.has(lower) && lower !== 'content-length') continue;
    kept.push(name, rawHeaders[index + 1] as string);
  }
  return kept;
}

const DROPPED_FROM_REQUEST: ReadonlySet<string> = new Set([HEADERS.requestId, 'content-length']);
const DROPPED_FROM_ANSWER: ReadonlySet<string> = new Set([
  HEADERS.verdict,
  HEADERS.code,
  HEADERS.notRun,
  'content-length',
]);

/** Adds the framing of a body to headers that carry none. */
function addBodyLength(headers: FlatHeaders, length: BodyLength): FlatHeaders {
  if (length.kind === 'declared') headers.push('Content-Length', String(length.bytes));
  if (length.kind === 'chunked') headers.push('Transfer-Encoding', 'chunked');
  return headers;
}

/** Reads how a message's body is framed; refuses framings that two readers could take differently. */
export function readBodyLength(message: IncomingMessage): BodyLength {
  const coding = message.headers['transfer-encoding'];
  const declared = message.headers['content-length'];
  if (coding !== undefined) {
    if (declared !== undefined) return { kind: 'refused', message: 'two lengths are declared' };
    if (coding.trim().toLowerCase() === 'chunked') return { kind: 'chunked' };
    return { kind: 'refused', message: `the transfer coding ${coding} is not taken` };
  }
  if (declared === undefined) return { kind: 'none' };
  if (/^\d{1,15}$/.test(declared)) return { kind: 'declared', bytes: Number(declared) };
  return { kind: 'refused', message: 'the declared length is not a number' };
}

/** Builds the headers of the request to an upstream. */
export function buildRequestHeaders(
  incoming: IncomingMessage,
  requestId: string,
  length: BodyLength,
): FlatHeaders {
  const headers = selectHeaders(incoming, DROPPED_FROM_REQUEST);
  headers.push(HEADERS.requestId, requestId);
  return addBodyLength(headers, length);
}

/** Builds the headers of an upstream's answer towards the caller. */
export function buildAnswerHeaders(answer: IncomingMessage): FlatHeaders {
  const headers = selectHeaders(answer, DROPPED_FROM_ANSWER);
  headers.push(HEADERS.verdict, 'ran');
  const declared = answer.headers['content-length'];
  if (answer.headers['transfer-encoding'] === undefined && declared !== undefined) {
    headers.push('Content-Length', declared);
  }
  return headers;
}

/** Selects the trailers that may travel on. */
export function selectTrailers(rawTrailers: readonly string[]): readonly [string, string][] {
  const pairs = rawTrailers.flatMap((name, index): [string, string][] =>
    index % 2 === 0 ? [[name, rawTrailers[index + 1] ?? '']] : [],
  );
  return pairs.filter(([name]) => {
    const lower = name.toLowerCase();
    const isOwn = lower.startsWith(OWN_HEADER_PREFIX);
    return !isOwn && !HOP_BY_HOP.has(lower) && !NOT_IN_TRAILERS.has(lower);
  });
}
