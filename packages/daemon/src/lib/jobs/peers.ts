/**
 * Calls between instances: a request about a job goes to the instance that plans its pool, as JSON
 * over HTTP on a separate port. After a request without an answer of status 200, a peer is sent no
 * requests for a short time.
 */
import type { Server } from 'node:http';
import type { PeerDutyView, PeerOutcome } from 'vanilladock/lib/duties/authority.js';
import type { Member } from 'vanilladock/lib/duties/claim-table.js';
import { createHttpClient, encodeJsonBody, JSON_HEADERS, parseJsonBody } from '../http-client.js';
import type { JsonLog } from '../json-log.js';
import { makeUnavailable, type JobReply, type JobRequest } from './job-request.js';
import {
  isDutyView,
  isJobReply,
  isJobRequest,
  isNotice,
  type SentNotice,
} from './peer-messages.js';

/** Client for calls to peers. */
export interface PeerClient {
  /** Sends a notice; without a JSON answer of status 200, resolves to `silent`. */
  readonly sendNotice: (peer: Member, notice: SentNotice) => Promise<PeerOutcome>;
  /**
   * Sends a request. A failed call resolves to `unavailable` if the peer cannot have received it or
   * was sent nothing because of an earlier failure, else to `unknown`.
   */
  readonly send: (peer: Member, request: JobRequest, timeoutMs: number) => Promise<JobReply>;
  /**
   * Monotonic time of the last answered request, over all peers, in milliseconds; -Infinity before
   * the first. Answered notices do not count.
   */
  readonly getLastContactMs: () => number;
  readonly close: () => void;
}

const JOBS_PATH = '/jobs';
const DUTIES_PATH = '/duties';
const NOTICE_TIMEOUT_MS = 400;

/** Time for which an unresponsive peer is sent no requests. */
const UNRESPONSIVE_PAUSE_MS = 700;
const HTTP_OK = 200;
const HTTP_BAD_REQUEST = 400;
const HTTP_SERVER_ERROR = 500;
const MAX_BODY_BYTES = 1_048_576;

/** Peers are few and serve many concurrent calls, so their connections are kept and not limited. */
const CONNECTIONS = { maxPerLane: Infinity, maxIdlePerLane: 32, idleMs: undefined };

/** Creates the client. */
export function createPeerClient(log: Pick<JsonLog, 'error'>): PeerClient {
  const http = createHttpClient(log, CONNECTIONS);
  const unresponsiveUntilMs = new Map<string, number>();
  let lastContactMs = -Infinity;
  return {
    sendNotice: async (peer, notice) => {
      const outcome = await http.send({
        address: peer.address,
        method: 'POST',
        path: DUTIES_PATH,
        headers: JSON_HEADERS,
        body: encodeJsonBody(notice),
        timeoutMs: NOTICE_TIMEOUT_MS,
      });
      if (outcome.kind !== 'answer' || outcome.status !== HTTP_OK) return { kind: 'silent' };
      const view = parseJsonBody(outcome.body);
      return isDutyView(view) ? { kind: 'answered', view } : { kind: 'silent' };
    },
    send: async (peer, request, timeoutMs) => {
      if ((unresponsiveUntilMs.get(peer.id) ?? 0) > performance.now()) {
        return makeUnavailable('peer-silent');
      }
      const outcome = await http.send({
        address: peer.address,
        method: 'POST',
        path: JOBS_PATH,
        headers: JSON_HEADERS,
        body: encodeJsonBody(request),
        timeoutMs,
      });
      if (outcome.kind === 'answer' && outcome.status === HTTP_OK) {
        lastContactMs = performance.now();
        const reply = parseJsonBody(outcome.body);
        return isJobReply(reply) ? reply : { kind: 'unknown', why: 'peer-malformed' };
      }
      unresponsiveUntilMs.set(peer.id, performance.now() + UNRESPONSIVE_PAUSE_MS);
      if (outcome.kind === 'answer') return { kind: 'unknown', why: `peer-${outcome.status}` };
      const why = `peer-${outcome.reason}`;
      return outcome.isRefused ? makeUnavailable(why) : { kind: 'unknown', why };
    },
    getLastContactMs: () => lastContactMs,
    close: http.close,
  };
}

/** Handlers of peers' calls, and the log of calls that were not answered with status 200. */
export interface PeerHandlers {
  readonly answer: (request: JobRequest) => Promise<JobReply>;
  readonly answerNotice: (notice: SentNotice) => PeerDutyView;
  readonly log: JsonLog;
}

/** Status and value of the answer to a peer's call; undefined for an empty body. */
interface PeerAnswer {
  readonly status: number;
  readonly value: JobReply | PeerDutyView | undefined;
}

/** Starts to answer a call with the parsed body; undefined if that is no message of a peer. */
function startAnswer(
  path: string | undefined,
  body: unknown,
  { answer, answerNotice }: PeerHandlers,
): Promise<JobReply> | PeerDutyView | undefined {
  if (path === DUTIES_PATH) return isNotice(body) ? answerNotice(body) : undefined;
  return isJobRequest(body) ? answer(body) : undefined;
}

/**
 * Answers a call with the parsed body. A body that is no message of a peer is answered with 400, and
 * a call whose handler fails with 500, which leaves open whether it took effect.
 */
async function answerCall(
  path: string | undefined,
  body: unknown,
  handlers: PeerHandlers,
): Promise<PeerAnswer> {
  const { log } = handlers;
  try {
    const started = startAnswer(path, body, handlers);
    if (started === undefined) {
      log.warn({ event: 'peer-call-malformed', path });
      return { status: HTTP_BAD_REQUEST, value: undefined };
    }
    return { status: HTTP_OK, value: await started };
  } catch (error) {
    log.error({ event: 'peer-call-failed', path, reason: String(error) });
    return { status: HTTP_SERVER_ERROR, value: undefined };
  }
}

/** Answers the calls of peers that a server receives. A call with a body over 1 MiB is cut off. */
export function servePeers(server: Server, handlers: PeerHandlers): void {
  server.on('request', (request, response) => {
    const chunks: Buffer[] = [];
    let size = 0;
    request.on('data', (chunk: Buffer) => {
      size += chunk.length;
      if (size > MAX_BODY_BYTES) request.destroy();
      else chunks.push(chunk);
    });
    request.once('end', () => {
      const body = parseJsonBody(Buffer.concat(chunks));
      void answerCall(request.url, body, handlers).then(({ status, value }) => {
        response.writeHead(status, JSON_HEADERS);
        response.end(JSON.stringify(value));
      });
    });
  });
  server.keepAliveTimeout = 30_000;
}
