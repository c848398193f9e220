/**
 * The request path in this process over real sockets: callers, upstream stand-ins, fault proxies.
 */
import { readFileSync } from 'node:fs';
import { request as sendRequest, type IncomingHttpHeaders, type Server } from 'node:http';
import { connect } from 'node:net';
import {
  startFaultProxy,
  startUpstream,
  type FaultProxy,
  type Upstream,
} from '@vanilladock/stand-ins';
import { createAdmission, createRandom, parseConfig, planDrain, type Admission } from 'vanilladock';
import type { JsonLog, LogFields } from '../lib/json-log.js';
import { createCallerServer } from '../lib/request/caller-server.js';
import { createDrain } from '../lib/request/drain.js';
import { createForwarder, type Forwarder } from '../lib/request/forward.js';
import { createRequestHandler } from '../lib/request/handler.js';
import { closeServer, openServer } from '../lib/servers.js';
import { createUpstreamTable, type UpstreamTable } from '../lib/upstream-table.js';

const CONFIG = readFileSync(
  new URL('../../../../examples/smokehouse.yaml', import.meta.url),
  'utf8',
);
const CALL_TIMEOUT_MS = 10_000;
/** A drain that is longer than every request of the tests. */
const LONG_DRAIN = { noticeMs: 1_000, limitMs: 60_000 };
const LOCATION = { region: 'tasmania', dataCentre: 'hobart', rack: 'r1' };

/** The outcome of a call as the caller sees it. */
export interface CallResult {
  /** HTTP status; 0 when there was no response. */
  readonly status: number;
  readonly headers: IncomingHttpHeaders;
  readonly trailers: Readonly<Record<string, string | undefined>>;
  readonly body: string;
  readonly isWhole: boolean;
  readonly verdict: string | undefined;
  readonly code: string | undefined;
}

/** A request to send; defaults to a GET of the service `prices`. */
export interface Call {
  readonly method?: string;
  readonly path?: string;
  readonly id: string;
  readonly body?: string | Buffer;
  readonly headers?: Readonly<Record<string, string>>;
}

/** A running request path with its upstreams. */
export interface Harness {
  readonly address: string;
  readonly upstreams: readonly Upstream[];
  readonly proxies: readonly FaultProxy[];
  readonly table: UpstreamTable;
  readonly forward: Forwarder;
  /** Log lines so far. */
  readonly lines: readonly LogFields[];
  readonly call: (call: Call) => Promise<CallResult>;
  /** Counts how often the upstreams ran the request of an id. */
  readonly countRuns: (id: string) => number;
  /** Lists an upstream as leaving. */
  readonly setLeavingInList: (index: number) => void;
  /** Lists an upstream at another `ip:port`. */
  readonly setAddress: (index: number, address: string) => void;
  readonly close: () => Promise<void>;
}

/** Settings of a harness; `startHarness` has the defaults. */
export interface HarnessOptions {
  readonly upstreams?: number;
  readonly slots?: number;
  readonly workMs?: number;
  readonly maxBodyBytes?: number;
  readonly maxEjectedShare?: number;
  readonly retryBudgetShare?: number;
  readonly admission?: Admission;
  readonly forward?: Forwarder;
  readonly isShedding?: () => boolean;
  readonly isDraining?: () => boolean;
}

/** Sends one request and resolves to its outcome; never rejects. */
export const sendCall = (address: string, call: Call): Promise<CallResult> =>
  new Promise((resolve) => {
    const noResponse = { status: 0, headers: {}, trailers: {}, body: '', isWhole: false } as const;
    const toResult = (partial: Omit<CallResult, 'verdict' | 'code'>): CallResult => ({
      ...partial,
      verdict: partial.headers['vanilladock-verdict'] as string | undefined,
      code: partial.headers['vanilladock-code'] as string | undefined,
    });
    const headers = { 'vanilladock-request-id': call.id, ...call.headers };
    const { method = 'GET', path = '/prices/tray' } = call;
    const outgoing = sendRequest(`http://${address}${path}`, { agent: false, method, headers });
    outgoing.setTimeout(CALL_TIMEOUT_MS, () => outgoing.destroy());
    outgoing.on('error', () => resolve(toResult(noResponse)));
    outgoing.on('response', (answer) => {
      const chunks: Buffer[] = [];
      answer.on('data', (chunk: Buffer) => chunks.push(chunk));
      answer.on('error', () => {});
      answer.on('close', () =>
        resolve(
          toResult({
            status: answer.statusCode ?? 0,
            headers: answer.headers,
            trailers: answer.trailers,
            body: Buffer.concat(chunks).toString(),
            isWhole: answer.complete,
          }),
        ),
      );
    });
    outgoing.end(call.body);
  });

/** Writes raw bytes to a server and resolves to all it sent until the connection closed. */
export const sendRaw = (address: string, bytes: string): Promise<string> =>
  new Promise((resolve) => {
    const [host = '', port] = address.split(':');
    const socket = connect({ host, port: Number(port) }, () => socket.write(bytes));
    let text = '';
    socket.setTimeout(CALL_TIMEOUT_MS, () => socket.destroy());
    socket.on('data', (chunk: Buffer) => {
      text += chunk.toString('latin1');
    });
    socket.on('error', () => {});
    socket.on('close', () => resolve(text));
  });

/** Waits until a condition holds; rejects after 5 s. */
export const waitFor = async (isMet: () => boolean): Promise<void> => {
  for (let tries = 0; tries < 500; tries += 1) {
    if (isMet()) return;
    await new Promise((resolve) => {
      setTimeout(resolve, 10);
    });
  }
  throw new Error('the condition was not met within 5 s');
};

/** Starts the request path with upstreams of the service `prices`, each behind a fault proxy. */
export const startHarness = async (options: HarnessOptions = {}): Promise<Harness> => {
  const count = options.upstreams ?? 2;
  const { slots = 8, workMs = 0 } = options;
  const upstreams = await Promise.all(
    Array.from({ length: count }, () => startUpstream({ service: 'prices', slots, workMs })),
  );
  const faultedIds = new Set<string>();
  const proxies = await Promise.all(
    upstreams.map(({ address }) => startFaultProxy(address, faultedIds)),
  );
  const parsed = parseConfig(CONFIG).unwrap();
  const { maxBodyBytes = parsed.defaults.maxBodyBytes, retryBudgetShare = 0.1 } = options;
  const config = { ...parsed, defaults: { ...parsed.defaults, maxBodyBytes, retryBudgetShare } };
  const table = createUpstreamTable();
  const { maxEjectedShare = 0.5 } = options;
  table.setLimits('prices', { maxEjectedShare, leaveGraceMs: 200 });
  const leavingIndexes = new Set<number>();
  const addresses = new Map<number, string>();
  const updateTable = () =>
    table.setInstances(
      proxies.map((proxy, index) => ({
        id: `prices-${index}`,
        role: 'upstream',
        service: 'prices',
        address: addresses.get(index) ?? proxy.address,
        location: LOCATION,
        state: leavingIndexes.has(index) ? 'leaving' : 'live',
        attributes: {},
      })),
    );
  updateTable();
  const admission = options.admission ?? createAdmission();
  if (options.admission === undefined) admission.setCapacity('prices', 1000);
  const lines: LogFields[] = [];
  const write = (fields: LogFields) => void lines.push(fields);
  const log: JsonLog = { info: write, warn: write, error: write };
  const forward = options.forward ?? createForwarder();
  const drain = createDrain();
  if (options.isDraining?.() === true) drain.start(planDrain(performance.now(), LONG_DRAIN));
  const handle = createRequestHandler({
    getConfig: () => config,
    listCandidates: table.listCandidates,
    observeStart: table.observeStart,
    observeEnd: table.observeEnd,
    admission,
    ...(options.isShedding === undefined ? {} : { isShedding: options.isShedding }),
    drain,
    forward,
    random: createRandom(1),
    log,
  });
  const server: Server = createCallerServer((request, response) => void handle(request, response));
  const address = await openServer(server, '127.0.0.1:0');
  const countRuns = (id: string) =>
    upstreams.reduce((sum, upstream) => sum + (upstream.getRunCounts().get(id) ?? 0), 0);
  return {
    address,
    upstreams,
    proxies,
    table,
    forward,
    lines,
    call: (call) => sendCall(address, call),
    countRuns,
    setLeavingInList: (index) => {
      leavingIndexes.add(index);
      updateTable();
    },
    setAddress: (index, newAddress) => {
      addresses.set(index, newAddress);
      updateTable();
    },
    close: async () => {
      await closeServer(server, 0);
      forward.close();
      await Promise.all(proxies.map((proxy) => proxy.close()));
      await Promise.all(upstreams.map((upstream) => upstream.close()));
    },
  };
};
