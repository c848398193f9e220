/**
 * Stand-in for one process of a service: a fixed number of slots, a queue for requests that find
 * none free, and a run log that counts the runs of each request id. Measurements use the run log as
 * the reference for what really ran.
 *
 * `GET /ledger` answers `{"ran": {id: times}}`; `PUT /control` takes `{"isLeaving"}`. The request
 * headers `stand-in-work-ms`, `stand-in-answer-bytes` and `stand-in-answer` set the service time,
 * and the length and the kind of the answer. A request with `stand-in-answer: refuse` does not run
 * and is answered with 503 and the header `vanilladock-not-run: busy`. An answer without a set
 * length states the request id and the length of the request's body; one with a set length consists
 * of the repeated id. Every answer echoes the request id in the header `vanilladock-request-id`.
 */
import { appendFileSync } from 'node:fs';
import { createServer, type IncomingMessage, type ServerResponse } from 'node:http';
import type { AddressInfo, Socket } from 'node:net';
import { answerJson, readBody, type RunningServer } from './json-server.js';
import { answerExecuted } from './upstream-answers.js';

/** Options of an upstream stand-in. */
export interface UpstreamOptions {
  readonly service: string;
  /** Number of requests that run at the same time. */
  readonly slots: number;
  /** Service time of requests that set none, in milliseconds. */
  readonly workMs: number;
  readonly port?: number;
  /** Time after the start of a drain in which connections are still accepted, in milliseconds. */
  readonly noticeMs?: number;
  /** File to which each run appends a line with its request id, before it is answered. */
  readonly ledgerPath?: string;
}

/** A running upstream stand-in. */
export interface Upstream extends RunningServer {
  /** Number of runs by request id, counted when a run starts. */
  readonly getRunCounts: () => ReadonlyMap<string, number>;
  /** Ids of the requests whose connection closed before the answer was written completely. */
  readonly listAbandoned: () => ReadonlySet<string>;
  /** Number of bytes written to the connections that are open now. */
  readonly countWrittenBytes: () => number;
  /** While set, new requests are refused with 503 and the header `vanilladock-not-run: leaving`. */
  readonly setLeaving: (isLeaving: boolean) => void;
  /**
   * Refuses new requests from now on, still accepts connections for `noticeMs`, then stops
   * listening and resolves once the requests in progress are complete.
   */
  readonly drain: () => Promise<void>;
}

const WORK_MS_HEADER = 'stand-in-work-ms';
const ANSWER_BYTES_HEADER = 'stand-in-answer-bytes';
const REQUEST_ID_HEADER = 'vanilladock-request-id';
const DEFAULT_NOTICE_MS = 500;

/** Starts an upstream stand-in. */
export async function startUpstream(options: UpstreamOptions): Promise<Upstream> {
  const runCounts = new Map<string, number>();
  const abandonedIds = new Set<string>();
  const queue: (() => void)[] = [];
  let busySlots = 0;
  let isLeaving = false;

  const takeSlot = () =>
    new Promise<void>((resolve) => {
      if (busySlots < options.slots) {
        busySlots += 1;
        resolve();
      } else {
        queue.push(resolve);
      }
    });
  const releaseSlot = () => {
    const startNext = queue.shift();
    if (startNext === undefined) busySlots -= 1;
    else startNext();
  };
  const readBodyBytes = async (request: IncomingMessage) => {
    let length = 0;
    for await (const chunk of request) length += (chunk as Buffer).length;
    return length;
  };
  const runRequest = async (request: IncomingMessage, response: ServerResponse) => {
    const id = String(request.headers[REQUEST_ID_HEADER] ?? '');
    const workMs = Number(request.headers[WORK_MS_HEADER] ?? options.workMs);
    response.once('close', () => {
      if (!response.writableFinished) abandonedIds.add(id);
    });
    const length = await readBodyBytes(request);
    await takeSlot();
    runCounts.set(id, (runCounts.get(id) ?? 0) + 1);
    if (options.ledgerPath !== undefined) appendFileSync(options.ledgerPath, `${id}\n`);
    const sendAnswer = () => {
      releaseSlot();
      if (isLeaving) response.setHeader('connection', 'close');
      const answerBytes = Number(request.headers[ANSWER_BYTES_HEADER] ?? 0);
      answerExecuted(request, response, { id, service: options.service, length, answerBytes });
    };
    if (workMs === 0) sendAnswer();
    else setTimeout(sendAnswer, workMs);
  };
  const handleControl = async (request: IncomingMessage, response: ServerResponse) => {
    const control = JSON.parse(await readBody(request)) as { readonly isLeaving: boolean };
    isLeaving = control.isLeaving;
    answerJson(response, 200, control);
  };
  const refuseRequest = (response: ServerResponse, reason: 'leaving' | 'busy') => {
    response.setHeader('vanilladock-not-run', reason);
    if (reason === 'leaving') response.setHeader('connection', 'close');
    answerJson(response, 503, { message: reason });
  };
  const handle = (request: IncomingMessage, response: ServerResponse) => {
    response.setHeader(REQUEST_ID_HEADER, request.headers[REQUEST_ID_HEADER] ?? '');
    if (request.url === '/ledger') {
      answerJson(response, 200, { ran: Object.fromEntries(runCounts) });
    } else if (request.url === '/control') {
      handleControl(request, response).catch(() => response.destroy());
    } else if (isLeaving) {
      refuseRequest(response, 'leaving');
    } else if (request.headers['stand-in-answer'] === 'refuse') {
      refuseRequest(response, 'busy');
    } else {
      runRequest(request, response).catch(() => response.destroy());
    }
  };

  const sockets = new Set<Socket>();
  const server = createServer(handle);
  server.on('connection', (socket) => {
    sockets.add(socket);
    socket.once('close', () => sockets.delete(socket));
  });
  await new Promise<void>((resolve) => {
    server.listen(options.port ?? 0, '127.0.0.1', resolve);
  });
  const { port } = server.address() as AddressInfo;
  const closeServer = () =>
    new Promise<void>((resolve) => {
      server.close(() => resolve());
      server.closeIdleConnections();
    });
  const drain = async () => {
    isLeaving = true;
    await new Promise((resolve) => {
      setTimeout(resolve, options.noticeMs ?? DEFAULT_NOTICE_MS);
    });
    await closeServer();
  };
  return {
    address: `127.0.0.1:${port}`,
    getRunCounts: () => runCounts,
    listAbandoned: () => abandonedIds,
    countWrittenBytes: () => [...sockets].reduce((sum, socket) => sum + socket.bytesWritten, 0),
    setLeaving: (value) => {
      isLeaving = value;
    },
    drain,
    close: () =>
      new Promise<void>((resolve) => {
        server.close(() => resolve());
        server.closeAllConnections();
      }),
  };
}
