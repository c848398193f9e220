/**
 * Client of other entries' catch-up servers: tRPC over Node's HTTP, with time-outs; never rejects.
 */
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

/** Why a call to a peer failed. */
export interface PeerError {
  readonly message: string;
}

/** Calls to peers, each addressed by its `ip:port`. */
export interface CatchUpClient {
  /** Fetches a peer's progress. */
  readonly fetchStatus: (address: string) => Promise<Result<PeerStatus, PeerError>>;
  /** Fetches the records from offset `from` on, or the whole state if they are not retained. */
  readonly fetchHistory: (address: string, from: number) => Promise<Result<PeerHistory, PeerError>>;
  /** Fetches the digests that a peer holds, with their offsets. */
  readonly fetchDigests: (address: string) => Promise<Result<readonly DigestAt[], PeerError>>;
  /** Notifies a peer of this entry's progress. */
  readonly sendNotice: (address: string, notice: PeerNotice) => Promise<Result<void, PeerError>>;
  /**
   * Fetches how many requests of a peer are in progress at each instance, in the given order. Peers
   * reject calls with more than 1000 ids.
   */
  readonly fetchWork: (
    address: string,
    instanceIds: readonly string[],
  ) => Promise<Result<readonly number[], PeerError>>;
  /**
   * Sends records to a peer, which rejects more than 1000; resolves to its status after it has
   * applied those that it can.
   */
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

interface FetchResponse {
  readonly ok: boolean;
  readonly json: () => Promise<unknown>;
}

const STATUS_OK = 200;
const SHORT_TIMEOUT_MS = 1_500;
const LONG_TIMEOUT_MS = 5_000;
const IDLE_TIMEOUT_MS = 10_000;

/** Creates a `fetch` for tRPC on Node's HTTP client. */
function createFetch(timeoutMs: number) {
  const agent = new Agent({ keepAlive: true, timeout: IDLE_TIMEOUT_MS });
  return (url: unknown, options: FetchOptions = {}) =>
    new Promise<FetchResponse>((resolve, reject) => {
      const headers = options.headers as Record<string, string>;
      const { method } = options;
      const signal = AbortSignal.timeout(timeoutMs);
      const outgoing = request(String(url), { method, headers, agent, signal }, (response) => {
        const chunks: Buffer[] = [];
        response.on('data', (chunk: Buffer) => chunks.push(chunk));
        response.on('error', reject);
        response.on('end', () => {
          const text = Buffer.concat(chunks).toString('utf8');
          const ok = response.statusCode === STATUS_OK;
          resolve({ ok, json: async () => JSON.parse(text) as unknown });
        });
      });
      observeCallBytes(outgoing, 'catch-up');
      outgoing.on('error', reject);
      outgoing.end(options.body);
    });
}

/** Converts a call that may reject into a result. */
async function toResult<T>(call: Promise<T>): Promise<Result<T, PeerError>> {
  try {
    return Ok(await call);
  } catch (error) {
    return Err({ message: error instanceof Error ? error.message : String(error) });
  }
}

/**
 * Creates the client, which keeps separate connections to each peer for short and long calls; `key`
 * is the key of the settings file.
 */
export function createCatchUpClient(key: string): CatchUpClient {
  const fetchByTimeout = {
    short: createFetch(SHORT_TIMEOUT_MS),
    long: createFetch(LONG_TIMEOUT_MS),
  };
  const createPeerClient = (address: string, timeout: keyof typeof fetchByTimeout) =>
    createTRPCClient<PeerRouter>({
      links: [
        httpLink({
          url: `http://${address}`,
          headers: { [KEY_HEADER]: key },
          fetch: fetchByTimeout[timeout],
        }),
      ],
    });
  return {
    fetchStatus: (address) => toResult(createPeerClient(address, 'short').status.query()),
    fetchHistory: (address, from) =>
      toResult(createPeerClient(address, 'long').history.query({ from })),
    fetchDigests: (address) => toResult(createPeerClient(address, 'long').digests.query()),
    sendNotice: (address, notice) =>
      toResult(createPeerClient(address, 'short').notify.mutate(notice)),
    fetchWork: (address, instanceIds) =>
      toResult(createPeerClient(address, 'short').work.query({ instanceIds: [...instanceIds] })),
    sendRecords: (address, records) =>
      toResult(createPeerClient(address, 'short').offer.mutate({ records: [...records] })),
  };
}
