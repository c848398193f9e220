/**
 * Stand-in for one process of a service: a number of slots, a queue when they are taken, and a ledger
 * of every request id that ran, which measurements take as the truth.
 *
 * `GET /ledger` answers `{"ran": {id: times}}`; `PUT /control` takes `{"isLeaving"}`. Request headers
 * `stand-in-work-ms`, `stand-in-answer-bytes` and `stand-in-answer` set the service time, the length
 * and the kind of the answer; `stand-in-answer: refuse` is answered before it runs. An answer without a
 * set length echoes the request id and the length of the body; one with a length repeats the id. Every
 * answer repeats the request id in its header.
 */
import { appendFileSync } from 'node:fs';
import { createServer, type IncomingMessage, type ServerResponse } from 'node:http';
import type { AddressInfo, Socket } from 'node:net';
import { answerJson, readBody, type RunningServer } from './json-server.js';
import { answerRan } from './upstream-answers.js';

/** Options of an upstream stand-in. */
export interface UpstreamOptions {
  readonly service: string;
  readonly slots: number;
  /** Service time when the request names none, in milliseconds. */
  readonly workMs: number;
  readonly port?: number;
  /** While draining, time during which new connections are still taken, in milliseconds. */
  readonly noticeMs?: number;
  /** File that gets a line with the request id for each run, before the answer. */
  readonly ledgerPath?: string;
}

/** A running upstream stand-in. */
export interface Upstream extends RunningServer {
  readonly listLedger: () => ReadonlyMap<string, number>;
  /** Request ids whose caller's connection closed before the answer was written. */
  readonly listAbandoned: () => ReadonlySet<string>;
  /** Bytes written to connections that are open. */
  readonly countWritten: () => number;
  /** While set, new requests are refused with 503 and the header `vanilladock-not-run`. */
  readonly setLeaving: (isLeaving: boolean) => void;
  readonly drain: () => Promise<void>;
}

const WORK_HEADER = 'stand-in-work-ms';
const LENGTH_HEADER = 'stand-in-answer-bytes';
const ID_HEADER = 'vanilladock-request-id';
const DEFAULT_NOTICE_MS = 500;

/** Starts an upstream stand-in. */
export async function startUpstream(options: UpstreamOptions): Promise<Upstream> {
  const ledger = new Map<string, number>();
  const abandoned = new Set<string>();
  const waiting: (() => void)[] = [];
  let busy = 0;
  let isLeaving = false;

  const takeSlot = () =>
    new Promise<void>((resolve) => {
      if (busy < options.slots) {
        busy += 1;
        resolve();
      } else {
        waiting.push(resolve);
      }
    });
  const releaseSlot = () => {
    const next = waiting.shift();
    if (next === undefined) busy -= 1;
    else next();
  };
  const readLength = async (request: IncomingMessage) => {
    let length = 0;
    for await (const chunk of request) length += (chunk as Buffer).length;
    return length;
  };
  const runRequest = async (request: IncomingMessage, response: ServerResponse) => {
    const id = String(request.headers[ID_HEADER] ?? '');
    const workMs = Number(request.headers[WORK_HEADER] ?? options.workMs);
    response.once('close', () => {
      if (!response.writableFinished) abandoned.add(id);
    });
    const length = await readLength(request);
    await takeSlot();
    ledger.set(id, (ledger.get(id) ?? 0) + 1);
    if (options.ledgerPath !== undefined) appendFileSync(options.ledgerPath, `${id}\n`);
    const sendAnswer = () => {
      releaseSlot();
      if (isLeaving) response.setHeader('connection', 'close');
      const answerBytes = Number(request.headers[LENGTH_HEADER] ?? 0);
      answerRan(request, response, { id, service: options.service, length, answerBytes });
    };
    if (workMs === 0) sendAnswer();
    else setTimeout(sendAnswer, workMs);
  };
  const handleControl = async (request: IncomingMessage, response: ServerResponse) => {
    const control = JSON.parse(await readBody(request)) as { readonly isLeaving: boolean };
    isLeaving = control.isLeaving;
    answerJson(response, 200, control);
  };
  const refuseRun = (response: ServerResponse, reason: 'leaving' | 'busy') => {
    response.setHeader('vanilladock-not-run', reason);
    if (reason === 'leaving') response.setHeader('connection', 'close');
    answerJson(response, 503, { message: reason });
  };
  const handle = (request: IncomingMessage, response: ServerResponse) => {
    response.setHeader(ID_HEADER, request.headers[ID_HEADER] ?? '');
    if (request.url === '/ledger') {
      answerJson(response, 200, { ran: Object.fromEntries(ledger) });
    } else if (request.url === '/control') {
      handleControl(request, response).catch(() => response.destroy());
    } else if (isLeaving) {
      refuseRun(response, 'leaving');
    } else if (request.headers['stand-in-answer'] === 'refuse') {
      refuseRun(response, 'busy');
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
    listLedger: () => ledger,
    listAbandoned: () => abandoned,
    countWritten: () => [...sockets].reduce((sum, socket) => sum + socket.bytesWritten, 0),
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
