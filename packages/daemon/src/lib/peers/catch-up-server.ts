/**
 * Serves this entry's copy of the log to peers and operators, by tRPC over HTTP. Every call must
 * carry the key of the settings file.
 */
import { createServer, type IncomingMessage, type Server } from 'node:http';
import { initTRPC, TRPCError } from '@trpc/server';
import { createHTTPHandler } from '@trpc/server/adapters/standalone';
import { encodeFleetState, type DigestAt, type StoredRecord } from 'vanilladock';
import { z } from 'zod';
import { isSameKey, KEY_HEADER } from '../keys.js';
import type { LogStore } from '../log-store.js';

/** An entry's progress in the log. */
export interface PeerStatus {
  readonly id: string;
  /** Offset after the last folded record. */
  readonly next: number;
  /** Version of the configuration in force; -1 for none. */
  readonly version: number;
  /** Digest of the state after the last folded record. */
  readonly digest: string;
  /** Whether the entry has caught up with the log or with its peers, and serves requests. */
  readonly isCaughtUp: boolean;
}

/**
 * Records from an offset on, empty if there are none yet, or the whole state, as `encodeFleetState`
 * encodes it, when those records are no longer retained.
 */
export type PeerHistory =
  | { readonly kind: 'records'; readonly records: readonly StoredRecord[] }
  | { readonly kind: 'state'; readonly text: string };

/** A peer's notification of its progress, sent when it has a newer configuration. */
export interface PeerNotice {
  /** Peer address of the sender, `ip:port`. */
  readonly address: string;
  /** Offset after the last record that the sender has folded. */
  readonly next: number;
}

/** What the server needs from its entry. */
export interface CatchUpPorts {
  readonly id: string;
  /** Key of the settings file, which every call must carry. */
  readonly key: string;
  readonly store: LogStore;
  readonly isCaughtUp: () => boolean;
  readonly handleNotice: (notice: PeerNotice) => void;
  /** Counts the requests of this entry in progress at an instance. */
  readonly countWork: (instanceId: string) => number;
}

interface Context {
  readonly key: string;
}

const MAX_BODY_BYTES = 4_194_304;
const OFFSET = z.number().int().min(0);
const RECORDS = z.array(z.object({ offset: OFFSET, text: z.string() })).max(1000);
const INSTANCE_IDS = z.array(z.string().max(200)).max(1000);
const NOTICE = z.object({ address: z.string().max(64), next: OFFSET });

/** Builds the tRPC procedures. */
function buildRouter(ports: CatchUpPorts) {
  const t = initTRPC.context<Context>().create({ isDev: false });
  const procedure = t.procedure.use(({ ctx, next }) => {
    if (isSameKey(ctx.key, ports.key)) return next();
    const message = `send the key of the settings file in the header ${KEY_HEADER}`;
    throw new TRPCError({ code: 'UNAUTHORIZED', message });
  });
  const getStatus = (): PeerStatus => {
    const { next, digest, config } = ports.store.getState();
    const { version } = config;
    return { id: ports.id, next, version, digest, isCaughtUp: ports.isCaughtUp() };
  };
  const getHistory = (from: number): PeerHistory => {
    const records = ports.store.listRecords(from);
    if (records !== undefined) return { kind: 'records', records };
    return { kind: 'state', text: encodeFleetState(ports.store.getState()) };
  };
  return t.router({
    status: procedure.query(getStatus),
    history: procedure
      .input(z.object({ from: OFFSET }))
      .query(({ input }) => getHistory(input.from)),
    digests: procedure.query((): readonly DigestAt[] => ports.store.listDigests()),
    notify: procedure.input(NOTICE).mutation(({ input }) => ports.handleNotice(input)),
    work: procedure
      .input(z.object({ instanceIds: INSTANCE_IDS }))
      .query(({ input }): readonly number[] => input.instanceIds.map(ports.countWork)),
    offer: procedure.input(z.object({ records: RECORDS })).mutation(({ input }) => {
      ports.store.applyRecords(input.records);
      return getStatus();
    }),
  });
}

/** The procedures that peers may call. */
export type PeerRouter = ReturnType<typeof buildRouter>;

/** Creates the catch-up server, not yet listening. */
export function createCatchUpServer(ports: CatchUpPorts): Server {
  const createContext = ({ req }: { readonly req: IncomingMessage }): Context => ({
    key: String(req.headers[KEY_HEADER] ?? ''),
  });
  return createServer(
    createHTTPHandler({ router: buildRouter(ports), createContext, maxBodySize: MAX_BODY_BYTES }),
  );
}
