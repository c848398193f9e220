/**
 * HTTP stand-in for a worker: `POST /command` obeys a command, `GET /report` gives a report that is as
 * old as the set lag, `GET /ledger` what really ran, `POST /work` sets what tasks need, and
 * `POST /behaviour` lets it fail everything or pause. A paused worker keeps connections open and silent.
 */
import { createServer } from 'node:http';
import type { IncomingMessage, ServerResponse } from 'node:http';
import type { AddressInfo } from 'node:net';
import type { Resources, WorkerCommand, WorkerReport } from 'vanilladock/lib/ports/workers.js';
import { createWorkerCore } from './worker-core.js';
import type { Behaviour, LedgerEntry, Work } from './worker-core.js';

/** Settings of a worker stand-in. */
export interface WorkerStandInOptions {
  readonly workerId: string;
  readonly capacity: Resources;
  /** Age of the reports that it gives, in milliseconds. */
  readonly reportLagMs: number;
  /** What a task needs for which nothing was set. */
  readonly defaultWork: Work;
}

/** A running worker stand-in. */
export interface WorkerStandIn {
  /** `ip:port` where it answers. */
  readonly address: string;
  readonly close: () => Promise<void>;
}

const MAX_BODY_BYTES = 1_048_576;

/** Reads a JSON body. */
async function readJson(request: IncomingMessage): Promise<unknown> {
  const chunks: Buffer[] = [];
  let bytes = 0;
  for await (const chunk of request as AsyncIterable<Buffer>) {
    bytes += chunk.length;
    if (bytes > MAX_BODY_BYTES) throw new Error('the body is too large');
    chunks.push(chunk);
  }
  return JSON.parse(Buffer.concat(chunks).toString('utf8')) as unknown;
}

/** Answers with JSON. */
function sendJson(response: ServerResponse, status: number, value: unknown): void {
  response.writeHead(status, { 'content-type': 'application/json' });
  response.end(JSON.stringify(value));
}

/** Starts a worker stand-in on a port that the kernel chooses. */
export async function startWorkerStandIn(options: WorkerStandInOptions): Promise<WorkerStandIn> {
  const { workerId, capacity, reportLagMs, defaultWork } = options;
  const work = new Map<string, Work>();
  const ledger: LedgerEntry[] = [];
  const made: { readonly atMs: number; readonly report: WorkerReport }[] = [];
  const core = createWorkerCore({
    workerId,
    capacity,
    clockRate: 1,
    getWork: (taskId) => work.get(taskId) ?? defaultWork,
    progress: new Map(),
    onStart: () => undefined,
    onEnd: (entry) => ledger.push(entry),
  });

  /** Makes a report and gives the newest one that is as old as the lag. */
  const makeLaggingReport = (): WorkerReport => {
    const nowMs = performance.now();
    const report = core.report(nowMs);
    made.push({ atMs: nowMs, report });
    while ((made[1]?.atMs ?? Infinity) <= nowMs - reportLagMs) made.shift();
    return made[0]?.report ?? report;
  };

  const handleRequest = async (request: IncomingMessage, response: ServerResponse) => {
    const route = `${request.method} ${request.url}`;
    if (route === 'POST /behaviour') {
      core.setBehaviour((await readJson(request)) as Behaviour, performance.now());
      sendJson(response, 200, {});
      return;
    }
    if (route === 'GET /ledger') {
      sendJson(response, 200, ledger);
      return;
    }
    if (core.isPaused()) return;
    switch (route) {
      case 'POST /command': {
        const command = (await readJson(request)) as WorkerCommand;
        sendJson(response, 200, { answer: core.apply(command, performance.now()) });
        return;
      }
      case 'GET /report':
        sendJson(response, 200, makeLaggingReport());
        return;
      case 'POST /work': {
        const entries = Object.entries((await readJson(request)) as Record<string, Work>);
        entries.forEach(([taskId, value]) => work.set(taskId, value));
        sendJson(response, 200, {});
        return;
      }
      default:
        sendJson(response, 404, { error: 'use /command, /report, /work, /behaviour or /ledger' });
    }
  };

  const server = createServer((request, response) => {
    handleRequest(request, response).catch((error: unknown) => {
      sendJson(response, 400, { error: String(error) });
    });
  });
  await new Promise<void>((resolve) => {
    server.listen(0, '127.0.0.1', resolve);
  });
  const { port } = server.address() as AddressInfo;
  return {
    address: `127.0.0.1:${port}`,
    close: () =>
      new Promise((resolve) => {
        server.close(() => resolve());
        server.closeAllConnections();
      }),
  };
}
