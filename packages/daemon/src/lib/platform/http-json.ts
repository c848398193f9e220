/**
 * JSON calls over HTTP to the platform, with an idle timeout and kept-alive connections. Supports
 * gzip compression and conditional requests: an unchanged value is answered with 304 by its entity
 * tag.
 */
import { Agent, request, type IncomingMessage } from 'node:http';
import { gunzipSync } from 'node:zlib';
import { Err, Ok, type Result } from 'ts-results-es';
import { observeCallBytes, type ControlCause } from '../control-bytes.js';

/**
 * A failed call. `refused`: answered with a status of 400 to 499; `unavailable`: no usable answer.
 */
export interface CallError {
  readonly kind: 'unavailable' | 'refused';
  readonly message: string;
}

/** A JSON call to send. */
export interface JsonCall {
  /** `ip:port`. */
  readonly address: string;
  readonly method: 'GET' | 'POST' | 'PUT';
  readonly path: string;
  readonly body?: unknown;
  /** Longest time without activity on the connection, in milliseconds. */
  readonly timeoutMs: number;
  /** Cause under which the call's bytes are counted. */
  readonly cause: ControlCause;
  /** Entity tag of the value that the caller already has. */
  readonly knownTag?: string;
}

/** A value with its entity tag, or the notice that the known value is unchanged. */
export type TaggedAnswer<T> =
  | { readonly kind: 'value'; readonly value: T; readonly tag: string | undefined }
  | { readonly kind: 'unchanged' };

const agent = new Agent({ keepAlive: true });
const NOT_MODIFIED = 304;
const MIN_CLIENT_ERROR = 400;
const MIN_SERVER_ERROR = 500;

/** Parses a complete answer. */
function parseAnswer<T>(answer: IncomingMessage, body: Buffer): Result<TaggedAnswer<T>, CallError> {
  const status = answer.statusCode ?? MIN_SERVER_ERROR;
  if (status === NOT_MODIFIED) return Ok({ kind: 'unchanged' });
  if (status >= MIN_SERVER_ERROR) return Err({ kind: 'unavailable', message: `status ${status}` });
  try {
    const isCompressed = answer.headers['content-encoding'] === 'gzip';
    const text = (isCompressed ? gunzipSync(body) : body).toString('utf8');
    if (status >= MIN_CLIENT_ERROR) {
      return Err({ kind: 'refused', message: `status ${status}: ${text}` });
    }
    return Ok({ kind: 'value', value: JSON.parse(text) as T, tag: answer.headers.etag });
  } catch {
    return Err({ kind: 'unavailable', message: 'the answer is not JSON' });
  }
}

/** Sends a JSON call that may be answered as unchanged; failures are in the result, not thrown. */
export function sendTagged<T>(call: JsonCall): Promise<Result<TaggedAnswer<T>, CallError>> {
  const url = `http://${call.address}${call.path}`;
  const body = call.body === undefined ? undefined : JSON.stringify(call.body);
  const headers: Record<string, string> = { 'accept-encoding': 'gzip' };
  if (body !== undefined) headers['content-type'] = 'application/json';
  if (call.knownTag !== undefined) headers['if-none-match'] = call.knownTag;
  return new Promise((resolve) => {
    const fail = (message: string) => resolve(Err({ kind: 'unavailable', message }));
    const outgoing = request(url, { method: call.method, agent, headers }, (answer) => {
      const chunks: Buffer[] = [];
      answer.on('data', (chunk: Buffer) => chunks.push(chunk));
      answer.on('error', (error) => fail(error.message));
      answer.on('aborted', () => fail('the answer was cut off'));
      answer.on('end', () => resolve(parseAnswer<T>(answer, Buffer.concat(chunks))));
    });
    observeCallBytes(outgoing, call.cause);
    outgoing.setTimeout(call.timeoutMs, () => outgoing.destroy(new Error('time-out')));
    outgoing.on('error', (error) => fail(error.message));
    outgoing.end(body);
  });
}

/** Sends a JSON call; failures are in the result, not thrown. */
export async function sendJson<T>(call: JsonCall): Promise<Result<T, CallError>> {
  const result = await sendTagged<T>(call);
  return result.andThen((answer): Result<T, CallError> => {
    if (answer.kind === 'value') return Ok(answer.value);
    return Err({ kind: 'unavailable', message: 'unchanged, although no tag was sent' });
  });
}
