/** JSON calls over HTTP to the platform, with a time-out and kept connections. */
import { Agent, request } from 'node:http';
import { Err, Ok, type Result } from 'ts-results-es';

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
}

const agent = new Agent({ keepAlive: true });
const CLIENT_ERROR = 400;
const SERVER_ERROR = 500;

/** Reads a finished answer into a result. */
function parseAnswer<T>(status: number, text: string): Result<T, CallError> {
  if (status >= SERVER_ERROR) return Err({ kind: 'unavailable', message: `status ${status}` });
  if (status >= CLIENT_ERROR) return Err({ kind: 'refused', message: `status ${status}: ${text}` });
  try {
    return Ok(JSON.parse(text) as T);
  } catch {
    return Err({ kind: 'unavailable', message: 'the answer is not JSON' });
  }
}

/** Makes one JSON call; never rejects. */
export function sendJson<T>(call: JsonCall): Promise<Result<T, CallError>> {
  const url = `http://${call.address}${call.path}`;
  const body = call.body === undefined ? undefined : JSON.stringify(call.body);
  const headers = { 'content-type': 'application/json' };
  return new Promise((resolve) => {
    const fail = (message: string) => resolve(Err({ kind: 'unavailable', message }));
    const outgoing = request(url, { method: call.method, agent, headers }, (answer) => {
      const chunks: Buffer[] = [];
      answer.on('data', (chunk: Buffer) => chunks.push(chunk));
      answer.on('error', (error) => fail(error.message));
      answer.on('aborted', () => fail('the answer was cut off'));
      answer.on('end', () =>
        resolve(
          parseAnswer<T>(answer.statusCode ?? SERVER_ERROR, Buffer.concat(chunks).toString()),
        ),
      );
    });
    outgoing.setTimeout(call.timeoutMs, () => outgoing.destroy(new Error('time-out')));
    outgoing.on('error', (error) => fail(error.message));
    outgoing.end(body);
  });
}
