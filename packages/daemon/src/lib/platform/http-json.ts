/**
 * JSON calls over HTTP to the platform, with a time-out and kept connections. Answers may come
 * compressed, and unchanged ones as 304 by their entity tag.
 */
import { Agent, request, type IncomingMessage } from 'node:http';
import { gunzipSync } from 'node:zlib';
import { Err, Ok, type Result } from 'ts-results-es';
import { observeCallBytes, type ControlCause } from '../control-bytes.js';

/** `refused`: answered with a status of 400 to 499. `unavailable`: no usable answer. */
export interface CallError {
  readonly kind: 'unavailable' | 'refused';
  readonly message: string;
}

/** One JSON call. */
export interface JsonCall {
  /** `ip:port`. */
  readonly address: string;
  readonly method: 'GET' | 'POST' | 'PUT';
  readonly path: string;
  readonly body?: unknown;
  readonly timeoutMs: number;
  /** Under what the bytes are counted. */
  readonly cause: ControlCause;
  /** Entity tag of the value that is known already. */
  readonly knownTag?: string;
}

/** An answer: a value and its entity tag, or word that the known value is unchanged. */
export type TaggedAnswer<T> =
  | { readonly kind: 'value'; readonly value: T; readonly tag: string | undefined }
  | { readonly kind: 'unchanged' };

const agent = new Agent({ keepAlive: true });
const NOT_MODIFIED = 304;
const CLIENT_ERROR = 400;
const SERVER_ERROR = 500;

/** Reads a finished answer into a result. */
function parseAnswer<T>(answer: IncomingMessage, body: Buffer): Result<TaggedAnswer<T>, CallError> {
  const status = answer.statusCode ?? SERVER_ERROR;
  if (status === NOT_MODIFIED) return Ok({ kind: 'unchanged' });
  if (status >= SERVER_ERROR) return Err({ kind: 'unavailable', message: `status ${status}` });
  try {
    const isCompressed = answer.headers['content-encoding'] === 'gzip';
    const text = (isCompressed ? gunzipSync(body) : body).toString('utf8');
    if (status >= CLIENT_ERROR) {
      return Err({ kind: 'refused', message: `status ${status}: ${text}` });
    }
    return Ok({ kind: 'value', value: JSON.parse(text) as T, tag: answer.headers.etag });
  } catch {
    return Err({ kind: 'unavailable', message: 'the answer is not JSON' });
  }
}

/** Makes one JSON call whose answer may be unchanged; never rejects. */
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

/** Makes one JSON call; never rejects. */
export async function sendJson<T>(call: JsonCall): Promise<Result<T, CallError>> {
  const result = await sendTagged<T>(call);
  return result.andThen((answer): Result<T, CallError> => {
    if (answer.kind === 'value') return Ok(answer.value);
    return Err({ kind: 'unavailable', message: 'unchanged, although no tag was sent' });
  });
}
