/**
 * The kinds of answers that the upstream stand-in gives, selected by the request header
 * `stand-in-answer`: valid ones, and invalid ones that an entry must not forward as valid.
 */
import type { IncomingMessage, ServerResponse } from 'node:http';
import { answerJson } from './json-server.js';

/** A request that ran, as the answer describes it. */
export interface ExecutedRequest {
  readonly id: string;
  readonly service: string;
  /** Length of the request's body, in bytes. */
  readonly length: number;
  /** Length of the answer's body, in bytes; 0 for a JSON answer. */
  readonly answerBytes: number;
}

const CHUNK_BYTES = 16_384;
const OMITTED_BYTES = 10;
const REQUEST_ID_HEADER = 'vanilladock-request-id';

/** Builds a body of `length` bytes that repeats the request id, which reveals swapped answers. */
export function buildAnswerBody(id: string, length: number): Buffer {
  return Buffer.alloc(length, `${id}\n`);
}

/** Writes a body in chunks and waits for `drain` when the response's buffer is full. */
function sendChunks(response: ServerResponse, body: Buffer): void {
  if (response.destroyed) return;
  if (body.length === 0) {
    response.end();
    return;
  }
  const rest = body.subarray(CHUNK_BYTES);
  const sendRest = () => sendChunks(response, rest);
  if (response.write(body.subarray(0, CHUNK_BYTES))) setImmediate(sendRest);
  else response.once('drain', sendRest);
}

/** Answers with a body of the requested length, or with JSON. */
function answerNormally(response: ServerResponse, executed: ExecutedRequest): void {
  const { id, service, length, answerBytes } = executed;
  if (answerBytes === 0) {
    answerJson(response, 200, { service, id, length });
    return;
  }
  response.setHeader('content-length', answerBytes);
  response.end(buildAnswerBody(id, answerBytes));
}

/** Answers other than the normal one, by the value of the header `stand-in-answer`. */
const ANSWERS_BY_KIND: Readonly<
  Record<string, (response: ServerResponse, executed: ExecutedRequest, body: Buffer) => void>
> = {
  die: (response) => void response.socket?.resetAndDestroy(),
  error: (response, { id }) => answerJson(response, 500, { id }),
  chunked: (response, _executed, body) => sendChunks(response, body),
  trailers: (response, { id }, body) => {
    response.setHeader('trailer', 'stand-in-check');
    response.write(body);
    response.addTrailers({ 'stand-in-check': id });
    response.end();
  },
  'cut-chunked': (response, _executed, body) => {
    response.write(body, () => response.socket?.destroySoon());
  },
  short: (response, _executed, body) => {
    response.writeHead(200, { 'content-length': body.length + OMITTED_BYTES });
    response.write(body, () => response.socket?.destroySoon());
  },
  unframed: (response, _executed, body) => {
    response.socket?.end(`HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n${body.toString()}`);
  },
  'other-id': (response, executed) => {
    response.setHeader(REQUEST_ID_HEADER, 'another-request');
    answerNormally(response, executed);
  },
  close: (response, executed) => {
    response.setHeader('connection', 'close');
    answerNormally(response, executed);
  },
};

/** Answers a request that ran with the kind of answer that its header selects. */
export function answerExecuted(
  request: IncomingMessage,
  response: ServerResponse,
  executed: ExecutedRequest,
): void {
  const kind = request.headers['stand-in-answer'];
  const answer = typeof kind === 'string' ? ANSWERS_BY_KIND[kind] : undefined;
  if (answer === undefined) answerNormally(response, executed);
  else answer(response, executed, buildAnswerBody(executed.id, Math.max(1, executed.answerBytes)));
}
