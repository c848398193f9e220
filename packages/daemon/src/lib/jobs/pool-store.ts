/**
 * Stored state of a pool's planner. Each pool has a single producer, whose epoch is the fencing
 * token of its claim, so that late writes of an earlier holder have no effect.
 */
import type { KeyedRecord, KeyedStore, PartitionName } from 'vanilladock/lib/ports/keyed-store.js';
import murmurHash from 'imurmurhash';
import type { JsonLog } from '../json-log.js';
import { createFencedWriter, type FencedWriter } from './fenced-writer.js';
import { createPoolDecoder, encodeMeta, type PoolMeta, type StoredPool } from './stored-pool.js';

/** Number of topics over which the pools' partitions are spread. */
const TOPIC_COUNT = 80;

/** Dependencies and settings of a pool's store. */
export interface PoolStoreOptions {
  readonly store: KeyedStore;
  readonly pool: string;
  /** Fencing token of the claim. */
  readonly token: number;
  /** Number of partitions of each topic. */
  readonly partitions: number;
  /** How long the status of an ended job can be queried, in milliseconds. */
  readonly statusMs: number;
  readonly log: JsonLog;
}

/** The store of one pool under one claim. */
export interface PoolStore {
  /** Fences off earlier planners, then reads; undefined if superseded or closed. */
  readonly load: () => Promise<StoredPool | undefined>;
  /** Writes records; retries without limit while the outcome is unknown. */
  readonly write: FencedWriter['write'];
  /** Encodes the metadata as a record for `write`. */
  readonly encodeMeta: (meta: PoolMeta) => KeyedRecord;
  /** Ends all retries; writes that would be retried resolve to `lost`. */
  readonly close: () => void;
}

/** Chooses the topic and partition of a pool by a hash of its name. */
export function choosePartition(pool: string, partitions: number): PartitionName {
  const hash = murmurHash(pool).result();
  return {
    topic: `keyed.jobs-${hash % TOPIC_COUNT}`,
    partition: Math.floor(hash / TOPIC_COUNT) % partitions,
  };
}

/** Creates the store of a pool under a claim. */
export function createPoolStore(options: PoolStoreOptions): PoolStore {
  const { store, pool, token, statusMs, log } = options;
  const where = choosePartition(pool, options.partitions);
  const writer = createFencedWriter({ store, where, producer: pool, token, log });
  return {
    load: async () => {
      let decoder = createPoolDecoder(pool, statusMs, Date.now());
      const isLoaded = await writer.load(() => {
        decoder = createPoolDecoder(pool, statusMs, Date.now());
        return decoder.add;
      });
      return isLoaded ? decoder.decode() : undefined;
    },
    write: writer.write,
    encodeMeta: (meta) => encodeMeta(pool, meta),
    close: writer.close,
  };
}
