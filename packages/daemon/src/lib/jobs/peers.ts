/**
 * Calls among instances: a request about a job goes to the instance that plans its pool, as JSON over
 * HTTP on a port of their own. A peer that did not answer in time is left alone for a moment.
 */
import { Agent, createServer, request as requestHttp, type Server } from 'node:http';
import type { Member } from 'vanilladock/lib/duties/claim-table.js';
import type { JobReply, JobRequest } from './job-request.js';

/** Calls to peers. */
export interface PeerClient {
  readonly send: (peer: Member, request: JobRequest, timeoutMs: number) => Promise<JobReply>;
  /** Steady time of the last answer of any peer. */
  readonly getLastContactMs: () => number;
  readonly close: () => void;
}

const JOBS_PATH = '/jobs';
const SILENT_PAUSE_MS = 700;
const RETRY_AFTER_MS = 1_000;
const HTTP_OK = 200;
const MAX_BODY_BYTES = 1_048_576;

/** Creates the client. */
export function createPeerClient(): PeerClient {
  const agent = new Agent({ keepAlive: true, scheduling: 'lifo', maxFreeSockets: 32 });
  const silentUntilMs = new Map<string, number>();
  let lastContactMs = -Infinity;
  return {
    send: (peer, request, timeoutMs) =>
      new Promise((resolve) => {
        if ((silentUntilMs.get(peer.id) ?? 0) > performance.now()) {
          resolve({ kind: 'unavailable', why: 'peer-silent', retryAfterMs: RETRY_AFTER_MS });
          return;
        }
        const body = Buffer.from(JSON.stringify(request), 'utf8');
        const colon = peer.address.lastIndexOf(':');
        let isSettled = false;
        const call = requestHttp({
          agent,
          host: peer.address.slice(0, colon),
          port: Number(peer.address.slice(colon + 1)),
          method: 'POST',
          path: JOBS_PATH,
          headers: { 'content-type': 'application/json', 'content-length': body.length },
        });
        const handleOutcome = (reply: JobReply) => {
          if (isSettled) return;
          isSettled = true;
          clearTimeout(timer);
          resolve(reply);
        };
        const fail = (why: string, isProcessGone: boolean) => {
          if (isSettled) return;
          silentUntilMs.set(peer.id, performance.now() + SILENT_PAUSE_MS);
          call.destroy();
          handleOutcome(
            isProcessGone
              ? { kind: 'unavailable', why, retryAfterMs: RETRY_AFTER_MS }
              : { kind: 'unknown', why },
          );
        };
        const timer = setTimeout(() => fail('peer-timeout', false), timeoutMs);
        call.once('socket', (socket) => socket.setNoDelay(true));
        call.on('error', (error: NodeJS.ErrnoException) =>
          fail(error.code ?? error.message, error.code === 'ECONNREFUSED'),
        );
        call.once('response', (message) => {
          const chunks: Buffer[] = [];
          message.on('data', (chunk: Buffer) => chunks.push(chunk));
          message.once('error', () => fail('peer-reset', false));
          message.once('close', () => fail('peer-reset', false));
          message.once('end', () => {
            if (!message.complete || message.statusCode !== HTTP_OK) return;
            lastContactMs = performance.now();
            handleOutcome(JSON.parse(Buffer.concat(chunks).toString('utf8')) as JobReply);
          });
        });
        call.end(body);
      }),
    getLastContactMs: () => lastContactMs,
    close: () => agent.destroy(),
  };
}

/** Starts the server for peers' calls. */
export function startPeerServer(
  host: string,
  port: number,
  answer: (request: JobRequest) => Promise<JobReply>,
): Promise<Server> {
  const server = createServer((request, response) => {
    const chunks: Buffer[] = [];
    let size = 0;
    request.on('data', (chunk: Buffer) => {
      size += chunk.length;
      if (size > MAX_BODY_BYTES) request.destroy();
      else chunks.push(chunk);
    });
    request.once('end', () => {
      const asked = JSON.parse(Buffer.concat(chunks).toString('utf8')) as JobRequest;
      void answer(asked).then((reply) => {
        response.writeHead(HTTP_OK, { 'content-type': 'application/json' });
        response.end(JSON.stringify(reply));
      });
    });
  });
  server.keepAliveTimeout = 30_000;
  return new Promise((resolve, reject) => {
    server.once('error', reject);
    server.listen(port, host, () => resolve(server));
  });
}
