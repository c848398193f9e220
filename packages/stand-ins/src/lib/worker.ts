/**
 * HTTP stand-in for a worker: `POST /command` applies a command, `GET /report` answers a report as
 * old as the set lag, `GET /ledger` the log of task runs, `POST /work` sets the true needs of
 * tasks, and `POST /behaviour` makes every task fail or pauses the worker. A paused worker accepts
 * connections and answers no request but `GET /ledger` and `POST /behaviour`.
 */
import { createServer } from 'node:http';
import type { IncomingMessage, ServerResponse } from 'node:http';
import type { AddressInfo } from 'node:net';
import type { Resources, WorkerCommand, WorkerReport } from 'vanilladock/lib/ports/workers.js';
import { createWorkerCore } from './worker-core.js';
import type { Behaviour, TaskRun, Work } from './worker-model.js';

/** Options of a worker stand-in. */
export interface WorkerStandInOptions {
  readonly workerId: string;
  readonly capacity: Resources;
  /** Age of the reports that it answers, in milliseconds. */
  readonly reportLagMs: number;
  /** Needs of tasks for which `POST /work` set none. */
  readonly defaultWork: Work;
}

/** A running worker stand-in. */
export interface WorkerStandIn {
  /** Address on which it listens, `ip:port`. */
  readonly address: string;
  readonly close: () => Promise<void>;
}

const MAX_BODY_BYTES = 1_048_576;

/** Reads a JSON body; throws if it is malformed or longer than `MAX_BODY_BYTES`. */
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

/** Answers with a JSON body. */
function sendJson(response: ServerResponse, status: number, value: unknown): void {
  response.writeHead(status, { 'content-type': 'application/json' });
  response.end(JSON.stringify(value));
}

/** Starts a worker stand-in on the loopback interface; the kernel chooses the port. */
export async function startWorkerStandIn(options: WorkerStandInOptions): Promise<WorkerStandIn> {
  const { workerId, capacity, reportLagMs, defaultWork } = options;
  const workByTask = new Map<string, Work>();
  const runLog: TaskRun[] = [];
  const recentReports: { readonly atMs: number; readonly report: WorkerReport }[] = [];
  const core = createWorkerCore({
    workerId,
    capacity,
    clockRate: 1,
    getWork: (taskId) => workByTask.get(taskId) ?? defaultWork,
    progress: new Map(),
    onStart: () => undefined,
    onEnd: (run) => runLog.push(run),
  });

  /** Makes a report; returns the newest one at least as old as the lag, otherwise the oldest. */
  const makeLaggedReport = (): WorkerReport => {
    const nowMs = performance.now();
    const report = core.report(nowMs);
    recentReports.push({ atMs: nowMs, report });
    while ((recentReports[1]?.atMs ?? Infinity) <= nowMs - reportLagMs) recentReports.shift();
    return recentReports[0]?.report ?? report;
  };

  const handleRequest = async (request: IncomingMessage, response: ServerResponse) => {
    const route = `${request.method} ${request.url}`;
    if (route === 'POST /behaviour') {
      core.setBehaviour((await readJson(request)) as Behaviour, performance.now());
      sendJson(response, 200, {});
      return;
    }
    if (route === 'GET /ledger') {
      sendJson(response, 200, runLog);
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
        sendJson(response, 200, makeLaggedReport());
        return;
      case 'POST /work': {
        const entries = Object.entries((await readJson(request)) as Record<string, Work>);
        entries.forEach(([taskId, value]) => workByTask.set(taskId, value));
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
