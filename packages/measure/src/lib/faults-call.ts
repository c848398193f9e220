/** Requests of the measurement of faults: each has an id of its own and an answer that can be checked. */
import { request as sendRequest, type Agent, type ClientRequest } from 'node:http';
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
}

const CALL_LIMIT_MS = 20_000;
const LEAVE_AFTER_MS = 5;

/** Says whether a body is the answer that belongs to a call. */
function isExpectedBody(call: FaultCall, body: Buffer): boolean {
  if (call.answerBytes > 0) return body.equals(buildAnswerBody(call.id, call.answerBytes));
  const { id, bodyBytes: length } = call;
  return body.toString() === JSON.stringify({ service: FLEET_SERVICE, id, length });
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
      answer.on('close', () =>
        resolve({
          call,
          status: answer.statusCode ?? 0,
          verdict: answer.headers['vanilladock-verdict'] as string | undefined,
          isWhole: answer.complete,
          isRight: isExpectedBody(call, Buffer.concat(chunks)),
        }),
      );
    });
    sendBody(outgoing, call);
  });
}
