/**
 * What a pool's planner keeps in the store. One producer a pool writes, under the fencing token of its
 * claim as epoch, so that an earlier holder's late writes have no effect.
 */
import type { KeyedRecord, KeyedStore, PartitionName } from 'vanilladock/lib/ports/keyed-store.js';
import { decodeProgress, type Progress } from 'vanilladock/lib/jobs/progress.js';
import type { JobRecord } from 'vanilladock/lib/jobs/spec.js';
import murmurHash from 'imurmurhash';
import type { JsonLog } from '../json-log.js';
import { createFencedWriter, type FencedWriter } from './fenced-writer.js';

/** Topics over which the pools' partitions are spread. */
const TOPICS = 80;

/** Key of what a pool keeps beside its jobs. */
const META_SUFFIX = ':meta';

/** What a pool keeps beside its jobs. */
export interface PoolMeta {
  /** Number of planners that the pool has had. */
  readonly generation: number;
  /** Workers that may hold leases. */
  readonly workers: readonly string[];
  /** Says whether the newest planner has heard all workers of the one before; missing in old records. */
  readonly isSettled?: boolean;
}

/** Everything that the store has of a pool. */
export interface StoredPool {
  readonly meta: PoolMeta;
  readonly jobs: readonly { readonly record: JobRecord; readonly progress: Progress | undefined }[];
}

/** The store of one pool under one claim. */
export interface PoolStore {
  /** Fences off earlier planners, then reads; undefined when the claim was superseded. */
  readonly load: () => Promise<StoredPool | undefined>;
  /** Writes records; repeats without a bound while the outcome is unknown. */
  readonly write: FencedWriter['write'];
  readonly encodeMeta: (meta: PoolMeta) => KeyedRecord;
  readonly close: () => void;
}

/** Chooses the partition of a pool. */
export function choosePartition(pool: string, partitions: number): PartitionName {
  const hash = murmurHash(pool).result();
  return {
    topic: `keyed.jobs-${hash % TOPICS}`,
    partition: Math.floor(hash / TOPICS) % partitions,
  };
}

/** Sorts the records of a pool into its jobs. */
export function decodePool(pool: string, records: readonly KeyedRecord[]): StoredPool {
  const prefix = `${pool}:`;
  const values = new Map(
    records
      .filter(({ key }) => key.startsWith(prefix))
      .flatMap(({ key, value }) => (value === undefined ? [] : [[key, value] as const])),
  );
  const metaText = values.get(`${pool}${META_SUFFIX}`);
  const meta =
    metaText === undefined ? { generation: 0, workers: [] } : (JSON.parse(metaText) as PoolMeta);
  const jobs = [...values]
    .filter(([key]) => key !== `${pool}${META_SUFFIX}` && !key.endsWith(':p'))
    .map(([key, value]) => {
      const progress = values.get(`${key}:p`);
      return {
        record: JSON.parse(value) as JobRecord,
        progress: progress === undefined ? undefined : decodeProgress(progress),
      };
    });
  return { meta, jobs };
}

/** Creates the store of a pool under a claim. */
export function createPoolStore(
  store: KeyedStore,
  pool: string,
  token: number,
  partitions: number,
  log: JsonLog,
): PoolStore {
  const where = choosePartition(pool, partitions);
  const writer = createFencedWriter({ store, where, producer: pool, token, log });
  return {
    load: async () => {
      const records = await writer.load();
      return records === undefined ? undefined : decodePool(pool, records);
    },
    write: writer.write,
    encodeMeta: (meta) => ({ key: `${pool}${META_SUFFIX}`, value: JSON.stringify(meta) }),
    close: writer.close,
  };
}
