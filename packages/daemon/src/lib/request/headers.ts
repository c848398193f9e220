/**
 * Forwarding of end-to-end headers. Hop-by-hop headers, headers that `Connection` names, and some
 * of the entry's own headers are removed; the others keep their order and repetition.
 */
import type { IncomingMessage } from 'node:http';
import { HEADERS } from './context.js';

/** Alternating names and values, the form that Node's HTTP client and server accept. */
export type RawHeaders = string[];

/** How a message frames its body; `none` if it declares none, so that a request has no body. */
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
const FORBIDDEN_TRAILERS: ReadonlySet<string> = new Set([
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

/** Copies the end-to-end headers of a message, except the excluded ones, given in lower case. */
function selectHeaders(message: IncomingMessage, excluded: ReadonlySet<string>): RawHeaders {
  const connectionNames = listConnectionNames(message.headers);
  const { rawHeaders } = message;
  const selected: RawHeaders = [];
  for (let index = 0; index < rawHeaders.length; index += 2) {
    const name = rawHeaders[index] as string;
    const lower = name.toLowerCase();
    if (HOP_BY_HOP.has(lower) || excluded.has(lower)) continue;
    if (connectionNames.has(lower) && lower !== 'content-length') continue;
    selected.push(name, rawHeaders[index + 1] as string);
  }
  return selected;
}

const EXCLUDED_FROM_REQUEST: ReadonlySet<string> = new Set([HEADERS.requestId, 'content-length']);
const EXCLUDED_FROM_RESPONSE: ReadonlySet<string> = new Set([
  HEADERS.verdict,
  HEADERS.code,
  HEADERS.notRun,
  'content-length',
]);

/** Appends the framing headers of a body to headers that have none. */
function addBodyLength(headers: RawHeaders, length: BodyLength): RawHeaders {
  if (length.kind === 'declared') headers.push('Content-Length', String(length.bytes));
  if (length.kind === 'chunked') headers.push('Transfer-Encoding', 'chunked');
  return headers;
}

/**
 * Reads how a message's body is framed; refuses framings that two parsers could read differently.
 */
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

/** Builds the headers of the request to an upstream, with its id and the framing of its body. */
export function buildRequestHeaders(
  incoming: IncomingMessage,
  requestId: string,
  length: BodyLength,
): RawHeaders {
  const headers = selectHeaders(incoming, EXCLUDED_FROM_REQUEST);
  headers.push(HEADERS.requestId, requestId);
  return addBodyLength(headers, length);
}

/**
 * Builds the headers of the response to the caller from those of the upstream's response, with the
 * verdict `ran`. A chunked response gets no framing header, as Node's server adds it.
 */
export function buildResponseHeaders(upstreamResponse: IncomingMessage): RawHeaders {
  const headers = selectHeaders(upstreamResponse, EXCLUDED_FROM_RESPONSE);
  headers.push(HEADERS.verdict, 'ran');
  const declared = upstreamResponse.headers['content-length'];
  if (upstreamResponse.headers['transfer-encoding'] === undefined && declared !== undefined) {
    headers.push('Content-Length', declared);
  }
  return headers;
}

/** Selects the trailers that may be forwarded, as names and values, from alternating ones. */
export function selectTrailers(rawTrailers: readonly string[]): readonly [string, string][] {
  const pairs = rawTrailers.flatMap((name, index): [string, string][] =>
    index % 2 === 0 ? [[name, rawTrailers[index + 1] ?? '']] : [],
  );
  return pairs.filter(([name]) => {
    const lower = name.toLowerCase();
    const isOwn = lower.startsWith(OWN_HEADER_PREFIX);
    return !isOwn && !HOP_BY_HOP.has(lower) && !FORBIDDEN_TRAILERS.has(lower);
  });
}
