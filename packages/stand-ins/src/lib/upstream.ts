/**
 * Stand-in for one process of a service: a number of slots, a queue when they are taken, and a ledger
 * of every request id that ran, which measurements take as the truth.
 *
 * `GET /ledger` answers `{"ran": {id: times}}`. The header `stand-in-work-ms` sets the service time.
 * The answer echoes the request id and the length of the body.
 */
import { createServer, type IncomingMessage, type ServerResponse } from 'node:http';
import type { AddressInfo } from 'node:net';
import { answerJson, type RunningServer } from './json-server.js';

/** Options of an upstream stand-in. */
export interface UpstreamOptions {
  readonly service: string;
  readonly slots: number;
  /** Service time when the request names none, in milliseconds. */
  readonly workMs: number;
  readonly port?: number;
}

/** A running upstream stand-in. */
export interface Upstream extends RunningServer {
  readonly listLedger: () => ReadonlyMap<string, number>;
  /** While set, new requests are refused with 503 and the header `vanilladock-not-run`. */
  readonly setLeaving: (isLeaving: boolean) => void;
}

const WORK_HEADER = 'stand-in-work-ms';
const ID_HEADER = 'vanilladock-request-id';

/** Starts an upstream stand-in. */
export async function startUpstream(options: UpstreamOptions): Promise<Upstream> {
  const ledger = new Map<string, number>();
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
    const length = await readLength(request);
    await takeSlot();
    ledger.set(id, (ledger.get(id) ?? 0) + 1);
    setTimeout(() => {
      releaseSlot();
      answerJson(response, 200, { service: options.service, id, length });
    }, workMs);
  };
  const handle = (request: IncomingMessage, response: ServerResponse) => {
    if (request.url === '/ledger') {
      answerJson(response, 200, { ran: Object.fromEntries(ledger) });
    } else if (isLeaving) {
      response.setHeader('vanilladock-not-run', 'leaving');
      answerJson(response, 503, { message: 'leaving' });
    } else {
      runRequest(request, response).catch(() => response.destroy());
    }
  };

  const server = createServer(handle);
  await new Promise<void>((resolve) => {
    server.listen(options.port ?? 0, '127.0.0.1', resolve);
  });
  const { port } = server.address() as AddressInfo;
  return {
    address: `127.0.0.1:${port}`,
    listLedger: () => ledger,
    setLeaving: (value) => {
      isLeaving = value;
    },
    close: () =>
      new Promise<void>((resolve) => {
        server.close(() => resolve());
        server.closeAllConnections();
      }),
  };
}
