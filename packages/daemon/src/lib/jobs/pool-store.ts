/**
 * Stored state of a pool's planner. Each pool has a single producer, whose epoch is the fencing
 * token of its claim, so that late writes of an earlier holder have no effect.
 */
import type { KeyedRecord, KeyedStore, PartitionName } from 'vanilladock/lib/ports/keyed-store.js';
import { decodeProgress, type Progress } from 'vanilladock/lib/jobs/progress.js';
import type { LeaseHolder } from 'vanilladock/lib/jobs/lease-holder.js';
import type { JobRecord } from 'vanilladock/lib/jobs/spec.js';
import murmurHash from 'imurmurhash';
import { z } from 'zod';
import type { JsonLog } from '../json-log.js';
import { createFencedWriter, type FencedWriter } from './fenced-writer.js';

/** Number of topics over which the pools' partitions are spread. */
const TOPIC_COUNT = 80;

/** Suffix of the key of a pool's metadata. */
const META_SUFFIX = ':meta';

/** A possible lease holder; old records have its id alone. */
const holderSchema = z.union([
  z.string().transform((id): LeaseHolder => ({ id, bornMs: 0 })),
  z.object({
    id: z.string(),
    bornMs: z.number(),
    longLeaseTasks: z.array(z.string()).readonly().optional(),
  }),
]);

const metaSchema = z.object({
  /** Number of planners that the pool has had. */
  generation: z.number(),
  /** The workers that may hold leases. */
  workers: z.array(holderSchema).readonly(),
  /**
   * Whether the newest planner has reports of all its predecessor's workers; absent in old records,
   * which count as settled.
   */
  isSettled: z.boolean().optional(),
  /** Lowest versions under which submissions are taken; absent while none has been recorded. */
  floors: z.object({ base: z.number(), byQueue: z.record(z.string(), z.number()) }).optional(),
});

/** Metadata of a pool, stored beside its jobs. */
export type PoolMeta = Readonly<z.infer<typeof metaSchema>>;

/** Metadata of a pool that has had no planner. */
const NEW_POOL: PoolMeta = { generation: 0, workers: [] };

/** Everything that is stored of a pool. */
export interface StoredPool {
  readonly meta: PoolMeta;
  /** Jobs with their progress; undefined for a job without stored progress. */
  readonly jobs: readonly { readonly record: JobRecord; readonly progress: Progress | undefined }[];
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

/**
 * Decodes the metadata and jobs of a pool from the records of its partition, which other pools may
 * share. A pool without stored metadata gets generation 0 and no workers.
 */
export function decodePool(pool: string, records: readonly KeyedRecord[]): StoredPool {
  const prefix = `${pool}:`;
  const valuesByKey = new Map(
    records
      .filter(({ key }) => key.startsWith(prefix))
      .flatMap(({ key, value }) => (value === undefined ? [] : [[key, value] as const])),
  );
  const metaText = valuesByKey.get(`${pool}${META_SUFFIX}`);
  const meta = metaText === undefined ? NEW_POOL : metaSchema.parse(JSON.parse(metaText));
  const jobs = [...valuesByKey]
    .filter(([key]) => key !== `${pool}${META_SUFFIX}` && !key.endsWith(':p'))
    .map(([key, value]) => {
      const progress = valuesByKey.get(`${key}:p`);
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
