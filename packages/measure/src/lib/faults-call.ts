/** Requests of the measurement of faults: each has an id of its own and an answer that can be checked. */
import {
  request as sendRequest,
  type Agent,
  type ClientRequest,
  type IncomingHttpHeaders,
  type IncomingMessage,
} from 'node:http';
import { buildAnswerBody } from '@vanilladock/stand-ins';
import { FLEET_SERVICE } from './routing-fleet.js';

/** One request as it is to be sent. */
export interface FaultCall {
  readonly id: string;
  readonly method: 'GET' | 'POST' | 'PUT';
  readonly headers: Readonly<Record<string, string>>;
  readonly bodyBytes: number;
  /** Length of the answer that is asked for; 0 for a JSON answer. */
  readonly answerBytes: number;
  /** What the caller does to its own request. */
  readonly caller: 'usual' | 'leaves' | 'cuts-body';
}

/** What the caller was told. */
export interface FaultResult {
  readonly call: FaultCall;
  /** 0 when no answer came. */
  readonly status: number;
  readonly verdict: string | undefined;
  /** Whether the answer was whole by its framing. */
  readonly isWhole: boolean;
  /** Whether the answer is the one that belongs to the request. */
  readonly isRight: boolean;
  /** What tells one kind of wrong answer from another; undefined when the answer is right. */
  readonly difference?: AnswerDifference;
}

/** How an answer differs from the expected one. */
export interface AnswerDifference {
  readonly receivedBytes: number;
  readonly expectedBytes: number;
  /** Place of the first byte that differs. */
  readonly firstByte: number;
  /** What was received from there on. */
  readonly excerpt: string;
  readonly headers: IncomingHttpHeaders;
  readonly hasEnded: boolean;
}

const CALL_LIMIT_MS = 20_000;
const LEAVE_AFTER_MS = 5;

const EXCERPT_BYTES = 200;

/** Builds the answer that belongs to a call. */
function buildExpectedBody({ id, answerBytes, bodyBytes: length }: FaultCall): Buffer {
  if (answerBytes > 0) return buildAnswerBody(id, answerBytes);
  return Buffer.from(JSON.stringify({ service: FLEET_SERVICE, id, length }));
}

/** Finds how an answer differs from the expected one. */
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

/** Writes the body in the way of this caller. */
function sendBody(outgoing: ClientRequest, call: FaultCall): void {
  const body = Buffer.alloc(call.bodyBytes, 'x');
  switch (call.caller) {
    case 'usual':
      outgoing.end(body);
      break;
    case 'leaves':
      outgoing.end(body);
      setTimeout(() => outgoing.destroy(), LEAVE_AFTER_MS);
      break;
    case 'cuts-body':
      outgoing.write(body.subarray(0, body.length / 2));
      setTimeout(() => outgoing.destroy(), LEAVE_AFTER_MS);
      break;
    default:
      call.caller satisfies never;
  }
}

/** Sends a call to an entry at `ip:port`; resolves to what came back and never rejects. */
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
    outgoing.setTimeout(CALL_LIMIT_MS, () => outgoing.destroy());
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
