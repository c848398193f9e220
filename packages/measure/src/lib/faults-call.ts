/**
 * Requests of the measurement `faults`: each has a unique id and an answer that can be verified.
 */
import {
  request as sendRequest,
  type Agent,
  type ClientRequest,
  type IncomingHttpHeaders,
  type IncomingMessage,
} from 'node:http';
import { buildAnswerBody } from '@vanilladock/stand-ins';
import { FLEET_SERVICE } from './routing-fleet.js';

/** One request to send; a `POST` is an order, which is not idempotent. */
export interface FaultCall {
  /** Unique id, sent in the header `vanilladock-request-id`. */
  readonly id: string;
  readonly method: 'GET' | 'POST' | 'PUT';
  readonly headers: Readonly<Record<string, string>>;
  readonly bodyBytes: number;
  /** Length of the requested answer, in bytes; 0 for a JSON answer. */
  readonly answerBytes: number;
  /**
   * The caller's behaviour: `leaves` aborts after sending the body, `cuts-body` in the middle of
   * it.
   */
  readonly caller: 'usual' | 'leaves' | 'cuts-body';
}

/** The answer that the caller received. */
export interface FaultResult {
  readonly call: FaultCall;
  /** 0 when no answer was received. */
  readonly status: number;
  readonly verdict: string | undefined;
  /** Whether the answer was complete by its HTTP framing. */
  readonly isWhole: boolean;
  /** Whether the body is exactly the one expected for this request. */
  readonly isRight: boolean;
  /** Details for diagnosing a wrong answer; undefined when the answer is right. */
  readonly difference?: AnswerDifference;
}

/** How an answer differs from the expected one. */
export interface AnswerDifference {
  readonly receivedBytes: number;
  readonly expectedBytes: number;
  /** Index of the first byte that differs. */
  readonly firstByte: number;
  /** Received bytes from that index on, at most 200, as Latin-1. */
  readonly excerpt: string;
  readonly headers: IncomingHttpHeaders;
  readonly hasEnded: boolean;
}

const CALL_TIMEOUT_MS = 20_000;
const ABORT_AFTER_MS = 5;

const EXCERPT_BYTES = 200;

/** Builds the expected answer of a call. */
function buildExpectedBody({ id, answerBytes, bodyBytes: length }: FaultCall): Buffer {
  if (answerBytes > 0) return buildAnswerBody(id, answerBytes);
  return Buffer.from(JSON.stringify({ service: FLEET_SERVICE, id, length }));
}

/** Describes how an answer differs from the expected one. */
function findDifference(answer: IncomingMessage, body: Buffer, expected: Buffer): AnswerDifference {
  const differs = body.findIndex((byte, index) => byte !== expected[index]);
  const firstByte = differs < 0 ? body.length : differs;
  return {
    receivedBytes: body.length,
    expectedBytes: expected.length,
    firstByte,
    excerpt: body.subarray(firstByte, firstByte + EXCERPT_BYTES).toString('latin1'),
    headers: answer.headers,
    hasEnded: answer.readableEnded,
  };
}

/** Sends the body as the caller's behaviour demands. */
function sendBody(outgoing: ClientRequest, call: FaultCall): void {
  const body = Buffer.alloc(call.bodyBytes, 'x');
  switch (call.caller) {
    case 'usual':
      outgoing.end(body);
      break;
    case 'leaves':
      outgoing.end(body);
      setTimeout(() => outgoing.destroy(), ABORT_AFTER_MS);
      break;
    case 'cuts-body':
      outgoing.write(body.subarray(0, body.length / 2));
      setTimeout(() => outgoing.destroy(), ABORT_AFTER_MS);
      break;
    default:
      call.caller satisfies never;
  }
}

/** Sends a call to an entry at `ip:port`; resolves to the received answer and never rejects. */
export function sendCall(address: string, call: FaultCall, agent: Agent): Promise<FaultResult> {
  const url = `http://${address}/${FLEET_SERVICE}/order`;
  const headers = {
    ...call.headers,
    'vanilladock-request-id': call.id,
    'content-length': call.bodyBytes,
    'stand-in-answer-bytes': call.answerBytes,
  };
  return new Promise((resolve) => {
    let hasAnswer = false;
    const outgoing = sendRequest(url, { method: call.method, headers, agent });
    const resolveNone = () =>
      resolve({ call, status: 0, verdict: undefined, isWhole: false, isRight: false });
    outgoing.setTimeout(CALL_TIMEOUT_MS, () => outgoing.destroy());
    outgoing.on('error', resolveNone);
    outgoing.on('close', () => {
      if (!hasAnswer) resolveNone();
    });
    outgoing.on('response', (answer) => {
      hasAnswer = true;
      const chunks: Buffer[] = [];
      answer.on('data', (chunk: Buffer) => chunks.push(chunk));
      answer.on('error', () => {});
      answer.on('close', () => {
        const body = Buffer.concat(chunks);
        const expected = buildExpectedBody(call);
        const isRight = body.equals(expected);
        resolve({
          call,
          status: answer.statusCode ?? 0,
          verdict: answer.headers['vanilladock-verdict'] as string | undefined,
          isWhole: answer.complete,
          isRight,
          ...(isRight ? {} : { difference: findDifference(answer, body, expected) }),
        });
      });
    });
    sendBody(outgoing, call);
  });
}
