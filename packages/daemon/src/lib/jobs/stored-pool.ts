/**
 * Decodes what is stored of a pool. Records are taken in page by page, and of a job that ended longer
 * ago than its state can be queried nothing is kept but its id, so that the memory of a take-over does
 * not grow with what has ever run.
 */
import { leaseHolderSchema, type LeaseHolder } from 'vanilladock/lib/jobs/lease-holder.js';
import type { CancelTombstone } from 'vanilladock/lib/jobs/cancel-tombstones.js';
import { CLOCK_TOLERANCE_MS } from 'vanilladock/lib/jobs/make-job.js';
import { decodeProgress, type Progress } from 'vanilladock/lib/jobs/progress.js';
import type { JobRecord } from 'vanilladock/lib/jobs/spec.js';
import { makeJobKey, makeProgressKey } from 'vanilladock/lib/jobs/store-queue.js';
import type { KeyedRecord } from 'vanilladock/lib/ports/keyed-store.js';
import { teamCeilingsSchema } from 'vanilladock/lib/teams/team-ceilings.js';
import { z } from 'zod';

/** A stored lease holder; old records have its id alone. */
const holderSchema = z.union([
  z.string().transform((id): LeaseHolder => ({ id, bornMs: 0 })),
  leaseHolderSchema,
]);

const metaSchema = z.object({
  /** Number of planners that the pool has had. */
  generation: z.number(),
  /** The workers that may hold leases. */
  workers: z.array(holderSchema).readonly(),
  /** Fencing token of the newest planner; absent in old records. */
  token: z.number().optional(),
  /**
   * Whether no planner before the newest one sends orders any more; absent in old records, which
   * count as settled.
   */
  isSettled: z.boolean().optional(),
  /**
   * Time in milliseconds for which planners before the newest one may have sent orders, from some time
   * before the record was stored; absent if that is not known, or settled.
   */
  earlierOrdersMs: z.number().nonnegative().optional(),
  /** What the teams may use at most by the orders of planners so far; absent in old records. */
  teamCeilings: teamCeilingsSchema.optional(),
  /** Lowest versions under which submissions are taken; absent while none has been recorded. */
  floors: z.object({ base: z.number(), byQueue: z.record(z.string(), z.number()) }).optional(),
});

/** Metadata of a pool, stored beside its jobs. */
export type PoolMeta = Readonly<z.infer<typeof metaSchema>>;

/** Metadata of a pool that has had no planner. */
const NEW_POOL: PoolMeta = { generation: 0, workers: [] };

/** A stored job; undefined progress if none is stored. */
export interface StoredJob {
  readonly record: JobRecord;
  readonly progress: Progress | undefined;
}

/** Everything that is stored of a pool. */
export interface StoredPool {
  readonly meta: PoolMeta;
  readonly jobs: readonly StoredJob[];
  /** Jobs that were cancelled before they were submitted. */
  readonly tombstones: readonly CancelTombstone[];
  /** Ids of jobs whose records are no longer needed. */
  readonly expiredJobs: readonly string[];
}

/** Decoder of the records of one pool. */
export interface PoolDecoder {
  /** Takes in records of the pool's partition, which other pools may share, in any order. */
  readonly add: (records: readonly KeyedRecord[]) => void;
  /**
   * Decodes what was taken in; a pool without stored metadata gets generation 0 and no workers.
   * Throws if a record of the pool is not one that a planner has written.
   */
  readonly decode: () => StoredPool;
}

/** Of ended jobs that do not say when they ended, as in old records, so many are kept. */
const MAX_UNDATED = 5_000;

/** Makes the key of a pool's metadata. */
function makeMetaKey(pool: string): string {
  return `${pool}:meta`;
}

/** Encodes the metadata of a pool. */
export function encodeMeta(pool: string, meta: PoolMeta): KeyedRecord {
  return { key: makeMetaKey(pool), value: JSON.stringify(meta) };
}

/** Decodes the metadata of a pool; undefined text stands for a pool that has had no planner. */
function decodeMeta(text: string | undefined): PoolMeta {
  return text === undefined ? NEW_POOL : metaSchema.parse(JSON.parse(text));
}

/** Creates the decoder of a pool; `wallMs` is the present time in milliseconds since 1970. */
export function createPoolDecoder(pool: string, statusMs: number, wallMs: number): PoolDecoder {
  const prefix = makeJobKey(pool, '');
  const progressSuffix = makeProgressKey(pool, '').slice(prefix.length);
  const texts = new Map<string, string>();
  const progresses = new Map<string, Progress>();
  const expired = new Set<string>();
  const undatedIds: string[] = [];
  let metaText: string | undefined;

  const isExpired = ({ phase, endedAtMs }: Progress) =>
    phase !== 'active' &&
    endedAtMs !== undefined &&
    wallMs - endedAtMs > statusMs + CLOCK_TOLERANCE_MS;
  const dropJob = (id: string) => {
    expired.add(id);
    texts.delete(id);
    progresses.delete(id);
  };
  const addProgress = (id: string, value: string) => {
    const progress = decodeProgress(value);
    if (isExpired(progress)) {
      dropJob(id);
      return;
    }
    progresses.set(id, progress);
    if (progress.phase === 'active' || progress.endedAtMs !== undefined) return;
    undatedIds.push(id);
    if (undatedIds.length > 2 * MAX_UNDATED) dropOldest();
  };
  const takeTombstone = (jobId: string, { tombstone, endedAtMs = 0 }: Progress) => {
    if (tombstone === undefined) {
      dropJob(jobId);
      return [];
    }
    return [{ jobId, cancelledAtMs: endedAtMs, ...tombstone }];
  };
  const readAcceptedAt = (id: string) => {
    const text = texts.get(id);
    return text === undefined ? 0 : (JSON.parse(text) as JobRecord).acceptedAtMs;
  };
  /** Drops the undated jobs beyond the limit that were accepted first. */
  const dropOldest = () => {
    const byAge = undatedIds
      .map((id) => ({ id, acceptedAtMs: readAcceptedAt(id) }))
      .sort((a, b) => b.acceptedAtMs - a.acceptedAtMs);
    byAge.slice(MAX_UNDATED).forEach(({ id }) => dropJob(id));
    undatedIds.splice(0, undatedIds.length, ...byAge.slice(0, MAX_UNDATED).map(({ id }) => id));
  };
  const addRecord = ({ key, value }: KeyedRecord) => {
    if (!key.startsWith(prefix) || value === undefined) return;
    const name = key.slice(prefix.length);
    if (key === makeMetaKey(pool)) metaText = value;
    else if (name.endsWith(progressSuffix)) {
      addProgress(name.slice(0, -progressSuffix.length), value);
    } else if (!expired.has(name)) texts.set(name, value);
  };
  return {
    add: (records) => records.forEach(addRecord),
    decode: () => {
      dropOldest();
      const tombstones = [...progresses]
        .filter(([id]) => !texts.has(id))
        .flatMap(([id, progress]) => takeTombstone(id, progress));
      const jobs = [...texts].map(([id, text]) => ({
        record: JSON.parse(text) as JobRecord,
        progress: progresses.get(id),
      }));
      return { meta: decodeMeta(metaText), jobs, tombstones, expiredJobs: [...expired] };
    },
  };
}
