/**
 * The ways in which the upstream stand-in answers, named by the request header `stand-in-answer`:
 * usual ones and ones that an entry must not pass on as true.
 */
import type { IncomingMessage, ServerResponse } from 'node:http';
import { answerJson } from './json-server.js';

/** What is answered about a request that ran. */
export interface RanRequest {
  readonly id: string;
  readonly service: string;
  /** Length of the request's body, in bytes. */
  readonly length: number;
  /** Length of the answer's body; 0 for a JSON answer. */
  readonly answerBytes: number;
}

const CHUNK_BYTES = 16_384;
const MISSING_BYTES = 10;
const ID_HEADER = 'vanilladock-request-id';

/** Builds the body of a set length that belongs to a request id. */
export function buildAnswerBody(id: string, length: number): Buffer {
  return Buffer.alloc(length, `${id}\n`);
}

/** Writes a body in chunks, as fast as the reader takes them. */
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

/** Answers with a body of a set length, or with JSON. */
function answerUsual(response: ServerResponse, ran: RanRequest): void {
  const { id, service, length, answerBytes } = ran;
  if (answerBytes === 0) {
    answerJson(response, 200, { service, id, length });
    return;
  }
  response.setHeader('content-length', answerBytes);
  response.end(buildAnswerBody(id, answerBytes));
}

/** The unusual kinds of answers. */
const ANSWERS: Readonly<
  Record<string, (response: ServerResponse, ran: RanRequest, body: Buffer) => void>
> = {
  die: (response) => void response.socket?.resetAndDestroy(),
  error: (response, { id }) => answerJson(response, 500, { id }),
  chunked: (response, _ran, body) => sendChunks(response, body),
  trailers: (response, { id }, body) => {
    response.setHeader('trailer', 'stand-in-check');
    response.write(body);
    response.addTrailers({ 'stand-in-check': id });
    response.end();
  },
  'cut-chunked': (response, _ran, body) => {
    response.write(body, () => response.socket?.destroySoon());
  },
  short: (response, _ran, body) => {
    response.writeHead(200, { 'content-length': body.length + MISSING_BYTES });
    response.write(body, () => response.socket?.destroySoon());
  },
  unframed: (response, _ran, body) => {
    response.socket?.end(`HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n${body.toString()}`);
  },
  'other-id': (response, ran) => {
    response.setHeader(ID_HEADER, 'another-request');
    answerUsual(response, ran);
  },
  close: (response, ran) => {
    response.setHeader('connection', 'close');
    answerUsual(response, ran);
  },
};

/** Answers a request that ran in the way that it asks for. */
export function answerRan(
  request: IncomingMessage,
  response: ServerResponse,
  ran: RanRequest,
): void {
  const kind = request.headers['stand-in-answer'];
  const answer = typeof kind === 'string' ? ANSWERS[kind] : undefined;
  if (answer === undefined) answerUsual(response, ran);
  else answer(response, ran, buildAnswerBody(ran.id, Math.max(1, ran.answerBytes)));
}
