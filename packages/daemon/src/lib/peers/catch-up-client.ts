/** Calls the peers' server of other entries by tRPC over Node's HTTP, with time-outs; never rejects. */
import { Agent, request } from 'node:http';
import { createTRPCClient, httpLink } from '@trpc/client';
import { Err, Ok, type Result } from 'ts-results-es';
import type { DigestAt, StoredRecord } from 'vanilladock';
import { observeCallBytes } from '../control-bytes.js';
import { KEY_HEADER } from '../keys.js';
import {
  type PeerHistory,
  type PeerNotice,
  type PeerRouter,
  type PeerStatus,
} from './catch-up-server.js';

/** Why a peer gave nothing. */
export interface PeerError {
  readonly message: string;
}

/** Calls to one peer at `ip:port`. */
export interface CatchUpClient {
  readonly fetchStatus: (address: string) => Promise<Result<PeerStatus, PeerError>>;
  readonly fetchHistory: (address: string, from: number) => Promise<Result<PeerHistory, PeerError>>;
  readonly fetchDigests: (address: string) => Promise<Result<readonly DigestAt[], PeerError>>;
  readonly sendNotice: (address: string, notice: PeerNotice) => Promise<Result<void, PeerError>>;
  /** Requests of a peer in progress at each instance, in the order asked. */
  readonly fetchWork: (
    address: string,
    instanceIds: readonly string[],
  ) => Promise<Result<readonly number[], PeerError>>;
  /** Hands records to a peer; resolves to its status afterwards. */
  readonly sendRecords: (
    address: string,
    records: readonly StoredRecord[],
  ) => Promise<Result<PeerStatus, PeerError>>;
}

interface FetchOptions {
  readonly method?: string;
  readonly headers?: unknown;
  readonly body?: unknown;
}

interface FetchAnswer {
  readonly ok: boolean;
  readonly json: () => Promise<unknown>;
}

const STATUS_OK = 200;
const SHORT_TIMEOUT_MS = 1_500;
const LONG_TIMEOUT_MS = 5_000;
const IDLE_MS = 10_000;

/** Creates a `fetch` for tRPC on Node's HTTP client. */
function createFetch(timeoutMs: number) {
  const agent = new Agent({ keepAlive: true, timeout: IDLE_MS });
  return (url: unknown, options: FetchOptions = {}) =>
    new Promise<FetchAnswer>((resolve, reject) => {
      const headers = options.headers as Record<string, string>;
      const { method } = options;
      const signal = AbortSignal.timeout(timeoutMs);
      const outgoing = request(String(url), { method, headers, agent, signal }, (answer) => {
        const chunks: Buffer[] = [];
        answer.on('data', (chunk: Buffer) => chunks.push(chunk));
        answer.on('error', reject);
        answer.on('end', () => {
          const text = Buffer.concat(chunks).toString('utf8');
          const ok = answer.statusCode === STATUS_OK;
          resolve({ ok, json: async () => JSON.parse(text) as unknown });
        });
      });
      observeCallBytes(outgoing, 'catch-up');
      outgoing.on('error', reject);
      outgoing.end(options.body);
    });
}

/** Turns a call that may reject into a result. */
async function toResult<T>(call: Promise<T>): Promise<Result<T, PeerError>> {
  try {
    return Ok(await call);
  } catch (error) {
    return Err({ message: error instanceof Error ? error.message : String(error) });
  }
}

/** Creates the calls, with one pair of connections to each peer. */
export function createCatchUpClient(key: string): CatchUpClient {
  const fetches = { short: createFetch(SHORT_TIMEOUT_MS), long: createFetch(LONG_TIMEOUT_MS) };
  const openPeer = (address: string, speed: keyof typeof fetches) =>
    createTRPCClient<PeerRouter>({
      links: [
        httpLink({
          url: `http://${address}`,
          headers: { [KEY_HEADER]: key },
          fetch: fetches[speed],
        }),
      ],
    });
  return {
    fetchStatus: (address) => toResult(openPeer(address, 'short').status.query()),
    fetchHistory: (address, from) => toResult(openPeer(address, 'long').history.query({ from })),
    fetchDigests: (address) => toResult(openPeer(address, 'long').digests.query()),
    sendNotice: (address, notice) => toResult(openPeer(address, 'short').notify.mutate(notice)),
    fetchWork: (address, instanceIds) =>
      toResult(openPeer(address, 'short').work.query({ instanceIds: [...instanceIds] })),
    sendRecords: (address, records) =>
      toResult(openPeer(address, 'short').offer.mutate({ records: [...records] })),
  };
}
