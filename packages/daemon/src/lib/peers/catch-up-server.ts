/**
 * Serves what this entry knows of the log to peers and operators, by tRPC over HTTP. Every call carries
 * the key of the settings file.
 */
import { createServer, type IncomingMessage, type Server } from 'node:http';
import { initTRPC, TRPCError } from '@trpc/server';
import { createHTTPHandler } from '@trpc/server/adapters/standalone';
import { encodeFleetState, type DigestAt, type StoredRecord } from 'vanilladock';
import { z } from 'zod';
import { isSameKey, KEY_HEADER } from '../keys.js';
import type { LogStore } from '../log-store.js';

/** What an entry says of its progress. */
export interface PeerStatus {
  readonly id: string;
  /** Offset after the last record folded. */
  readonly next: number;
  /** Version of the configuration in force; -1 for none. */
  readonly version: number;
  /** Digest after the last record folded. */
  readonly digest: string;
  /** Says whether the entry has caught up with the log or with its peers, and serves. */
  readonly isCaughtUp: boolean;
}

/** Records from an offset on, or the whole state when they are no longer held. */
export type PeerHistory =
  | { readonly kind: 'records'; readonly records: readonly StoredRecord[] }
  | { readonly kind: 'state'; readonly text: string };

/** A peer's word that it has a newer configuration. */
export interface PeerNotice {
  readonly address: string;
  readonly next: number;
}

/** What the server needs from its entry. */
export interface CatchUpPorts {
  readonly id: string;
  readonly key: string;
  readonly store: LogStore;
  readonly isCaughtUp: () => boolean;
  readonly handleNotice: (notice: PeerNotice) => void;
  /** Requests of this entry in progress at an instance. */
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

/** Builds the procedures. */
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

/** Creates the peers' server, not yet listening. */
export function createCatchUpServer(ports: CatchUpPorts): Server {
  const createContext = ({ req }: { readonly req: IncomingMessage }): Context => ({
    key: String(req.headers[KEY_HEADER] ?? ''),
  });
  return createServer(
    createHTTPHandler({ router: buildRouter(ports), createContext, maxBodySize: MAX_BODY_BYTES }),
  );
}
