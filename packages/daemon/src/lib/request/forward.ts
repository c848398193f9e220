/**
 * Sends an admitted request to an upstream and streams the answer back. Resolves to a failure whose
 * verdict says whether the request may have run, or to undefined when the answer was passed on whole.
 */
import {
  Agent,
  request as sendRequest,
  type IncomingMessage,
  type ServerResponse,
} from 'node:http';
import { pipeline } from 'node:stream';
import type { Failure } from 'vanilladock';
import { HEADERS, type RequestContext } from './context.js';

const HOP_BY_HOP = ['connection', 'keep-alive', 'te', 'trailer', 'transfer-encoding', 'upgrade'];

/** Sends one request to `ip:port`. */
export type Forward = (
  context: RequestContext,
  address: string,
  incoming: IncomingMessage,
  response: ServerResponse,
) => Promise<Failure | undefined>;

/** Copies the headers that travel end to end. */
function selectHeaders(headers: IncomingMessage['headers']): Record<string, string | string[]> {
  const kept = Object.entries(headers).filter(
    ([name, value]) => value !== undefined && !HOP_BY_HOP.includes(name),
  );
  return Object.fromEntries(kept) as Record<string, string | string[]>;
}

/** Creates the sending filter with its own kept connections. */
export function createForward(): Forward {
  const agent = new Agent({ keepAlive: true });
  return (context, address, incoming, response) =>
    new Promise((resolve) => {
      const [host, port] = address.split(':');
      const headers = { ...selectHeaders(incoming.headers), [HEADERS.requestId]: context.id };
      const options = { host, port: Number(port), path: context.path, method: incoming.method };
      const outgoing = sendRequest({ ...options, headers, agent });
      let hasConnected = false;
      const fail = (code: Failure['code'], message: string) =>
        resolve({ code, verdict: hasConnected ? 'may-have-run' : 'not-run', message });
      const timer = setTimeout(
        () => outgoing.destroy(new Error('the deadline passed')),
        Math.max(0, context.deadlineAtMs - performance.now()),
      );
      outgoing.on('socket', (socket) => {
        hasConnected = !socket.connecting;
        socket.once('connect', () => {
          hasConnected = true;
        });
      });
      outgoing.on('error', (error) => {
        clearTimeout(timer);
        fail(hasConnected ? 'upstream-reset' : 'connect-failed', error.message);
      });
      outgoing.on('response', (answer) => {
        response.writeHead(answer.statusCode ?? 502, {
          ...selectHeaders(answer.headers),
          [HEADERS.verdict]: 'ran',
        });
        pipeline(answer, response, (error) => {
          clearTimeout(timer);
          if (error) fail('upstream-truncated', error.message);
          else resolve(undefined);
        });
      });
      pipeline(incoming, outgoing, () => {});
    });
}
