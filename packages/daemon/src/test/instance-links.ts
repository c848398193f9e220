/** What becomes of the calls of one simulated process to the store, its peers and the workers. */
import type { KeyedStore } from 'vanilladock/lib/ports/keyed-store.js';
import { NEVER, waitFor } from './memory-store.js';

/** What becomes of calls to the store; `late` ones are carried out up to `MAX_LATE_MS` later. */
export type StoreWay = 'open' | 'lost' | 'unanswered' | 'late';

/** Which notices and answers between a process and its peers are lost. */
export type PeerWay = 'open' | 'none' | 'outgoing-lost' | 'incoming-lost';

/** Links of a process. */
export interface Links {
  store: StoreWay;
  peers: PeerWay;
  /** Index of the only worker that it reaches; undefined if it reaches all. */
  onlyWorker: number | undefined;
  /** Additional time that it takes to read the stored state of a pool, in milliseconds. */
  loadMs: number;
}

/** A call to the store without an answer counts as unanswered after this time. */
const STORE_TIMEOUT_MS = 900;

/** Topics of the stored states of pools. */
const POOL_TOPICS = 'keyed.jobs-';

const MAX_LATE_MS = 4_000;

export const makeOpenLinks = (): Links => ({
  store: 'open',
  peers: 'open',
  onlyWorker: undefined,
  loadMs: 0,
});

/** Says whether messages that a process sends to its peers are lost. */
export const isOutgoingLost = ({ peers }: Links) => peers === 'none' || peers === 'outgoing-lost';

/** Says whether messages of its peers to a process are lost. */
export const isIncomingLost = ({ peers }: Links) => peers === 'none' || peers === 'incoming-lost';

/** Wraps a store so that the calls of a process have the fate that its links have at the time. */
export function createLinkedStore(
  store: KeyedStore,
  links: Links,
  pick: (max: number) => number,
): KeyedStore {
  const send = async <T, U>(call: () => Promise<T>, timeoutMs: number, none: U): Promise<T | U> => {
    const answerCall = async () => {
      if (links.store === 'lost') return NEVER;
      if (links.store === 'late') await waitFor(pick(MAX_LATE_MS));
      const outcome = await call();
      return links.store === 'open' || links.store === 'late' ? outcome : NEVER;
    };
    return Promise.race([answerCall(), waitFor(timeoutMs).then(() => none)]);
  };
  const reason = 'no answer';
  return {
    append: (...given) =>
      send(() => store.append(...given), STORE_TIMEOUT_MS, { kind: 'unknown', reason } as const),
    read: (where, from, waitMs) => {
      const none = { kind: 'unavailable', reason } as const;
      return send(() => store.read(where, from, waitMs), STORE_TIMEOUT_MS + waitMs, none);
    },
    readNewest: async (where, handlePage) => {
      const none = { kind: 'unavailable', reason } as const;
      const loadMs = where.topic.startsWith(POOL_TOPICS) ? links.loadMs : 0;
      await waitFor(loadMs);
      const outcome = await send(() => store.readNewest(where), STORE_TIMEOUT_MS, none);
      if (outcome.kind === 'unavailable' || handlePage === undefined) return outcome;
      handlePage(outcome.records);
      return { ...outcome, records: [] };
    },
  };
}
