/**
 * Knows in which pools jobs of each queue may live, and records it before jobs are accepted under a
 * new version of the configuration. It reads the records once for each version and appends on the
 * condition that nothing was recorded since, so that instances agree without asking each other.
 */
import type { BehaviorSubject } from 'rxjs';
import type { FleetConfig } from 'vanilladock/lib/ports/fleet.js';
import type { KeyedRecord, KeyedStore } from 'vanilladock/lib/ports/keyed-store.js';
import {
  foldHomes,
  listPools,
  listTargets,
  makeRemoval,
  NO_HOMES,
  planHomes,
  type QueueHome,
  type QueueHomes,
} from 'vanilladock/lib/queues/queue-homes.js';
import { createLoggingGuard, makeErrorFields } from '../error-guard.js';
import type { JsonLog } from '../json-log.js';
import { waitMs } from './clock.js';

/** Dependencies of the directory. */
export interface QueueDirectoryOptions {
  readonly store: KeyedStore;
  readonly config: BehaviorSubject<FleetConfig | undefined>;
  readonly log: JsonLog;
}

/** How new jobs of a queue are handed in. */
export interface QueuePlacement {
  /** Version under which they are; it may be older than the configuration in force. */
  readonly version: number;
  /** Other pools that may have a job of the queue with the same id. */
  readonly formerPools: readonly string[];
}

/** Directory of one instance. */
export interface QueueDirectory {
  /**
   * Finds how jobs of a queue are handed in to the pool that a version sends it to; undefined until
   * that is recorded.
   */
  readonly findPlacement: (
    queue: string,
    pool: string,
    version: number,
  ) => QueuePlacement | undefined;
  /** Lists the other pools that may have jobs of a queue, as far as that is known. */
  readonly listFormerPools: (queue: string, pool: string) => readonly string[];
  /** Says whether a version is recorded, so that all pools are known that its queues were sent to. */
  readonly hasRecorded: (version: number) => boolean;
  /** Lists the queues that may have jobs in a pool and are sent elsewhere, or nowhere, now. */
  readonly listLeftQueues: (pool: string) => readonly string[];
  /** Version that is recorded and in use; -1 before the first. */
  readonly getVersion: () => number;
  /**
   * Records that a pool has no more jobs of queues that it has closed for versions older than the
   * one in use; has no effect if a newer one is recorded.
   */
  readonly removePool: (queues: readonly string[], pool: string) => Promise<void>;
  readonly stop: () => void;
}

/** Partition of the records. */
const HOMES = { topic: 'keyed.queues', partition: 0 } as const;

/** Instances read a new version spread over this time, so that few appends are in vain. */
const SPREAD_MS = 150;

/** Records of one append, so that it stays far below the size that the store takes. */
const MAX_RECORDS = 1_000;

/** Pause after a call to the store that failed. */
const RETRY_MS = 250;

/** Further pause after an attempt that failed by an error; it bounds the lines of a lasting fault. */
const FAILED_PAUSE_MS = 1_000;

/** Starts the directory; it reads and records whenever there is a new version. */
export function startQueueDirectory(options: QueueDirectoryOptions): QueueDirectory {
  const { store, config, log } = options;
  let recorded: QueueHomes = NO_HOMES;
  /** Offset of the next record to read; undefined to start from the newest records. */
  let next: number | undefined;
  /** Version in use, with the pool that it sends each queue to. */
  let version = -1;
  let targets: ReadonlyMap<string, string> = new Map();
  let isStopped = false;
  let isRecording = false;

  const applyRecords = (records: readonly KeyedRecord[]) => {
    recorded = foldHomes(recorded, records, (key) =>
      log.error({ event: 'queue-record-unusable', key }),
    );
  };
  /** Reads all newest records; resolves to whether the store answered. */
  const readNewest = async (): Promise<boolean> => {
    const newest = await store.readNewest(HOMES);
    if (newest.kind === 'unavailable') return false;
    if (next !== undefined) return true;
    recorded = NO_HOMES;
    applyRecords(newest.records);
    next = newest.end;
    return true;
  };
  /**
   * Reads to the end of the partition; resolves to whether that was reached. An answer that another
   * call has overtaken is dropped, as its records would replace newer ones.
   */
  const readAll = async (): Promise<boolean> => {
    while (!isStopped) {
      if (next === undefined && !(await readNewest())) return false;
      const from = next;
      const read = await store.read(HOMES, from ?? 0, 0);
      if (next !== from) continue;
      switch (read.kind) {
        case 'records':
          applyRecords(read.records);
          next = read.next;
          if (read.next >= read.end) return true;
          break;
        case 'trimmed':
          next = undefined;
          break;
        case 'unavailable':
          return false;
        default:
          read satisfies never;
      }
    }
    return false;
  };
  /**
   * Appends records if nothing was recorded since the last read; resolves to whether all of them are
   * stored. Of many, a first part may be.
   */
  const append = async (records: readonly KeyedRecord[]): Promise<boolean> => {
    let offset = next;
    for (let start = 0; start < records.length; start += MAX_RECORDS) {
      if (offset === undefined) return false;
      const part = records.slice(start, start + MAX_RECORDS);
      const outcome = await store.append(HOMES, part, { kind: 'end', offset });
      if (outcome.kind !== 'stored') return false;
      // Else another call has read them meanwhile.
      if (next === offset) {
        applyRecords(part);
        next = outcome.end;
      }
      offset = outcome.end;
    }
    return true;
  };
  const activateVersion = (used: FleetConfig, records: number) => {
    version = used.version;
    targets = listTargets(used.routes);
    log.info({ event: 'queues-recorded', version, queues: targets.size, records });
  };
  /** Makes one attempt; resolves to whether the version is in use or superseded. */
  const recordVersion = async (wanted: FleetConfig): Promise<boolean> => {
    if (!(await readAll())) return false;
    const plan = planHomes(recorded, wanted.version, listTargets(wanted.routes));
    switch (plan.kind) {
      case 'superseded':
        log.warn({
          event: 'queues-superseded',
          version: wanted.version,
          recorded: recorded.version,
        });
        return true;
      case 'recorded':
        activateVersion(wanted, 0);
        return true;
      case 'record':
        if (!(await append(plan.records))) return false;
        activateVersion(wanted, plan.records.length);
        return true;
      default:
        return plan satisfies never;
    }
  };
  /** As `recordVersion`; an error counts as a failed attempt, as nothing else would start another. */
  const runAttempt = async (wanted: FleetConfig): Promise<boolean> => {
    try {
      return await recordVersion(wanted);
    } catch (error) {
      log.error({ event: 'queues-failed', where: 'record', ...makeErrorFields(error) });
      // What the failed attempt has read or appended is not known.
      next = undefined;
      await waitMs(FAILED_PAUSE_MS);
      return false;
    }
  };
  const recordNewest = async () => {
    if (isRecording) return;
    isRecording = true;
    let triedVersion = version;
    try {
      while (!isStopped && (config.value?.version ?? -1) > triedVersion) {
        const wanted = config.value;
        if (wanted === undefined) break;
        if (version >= 0) await waitMs(Math.random() * SPREAD_MS);
        if (await runAttempt(wanted)) triedVersion = wanted.version;
        else await waitMs(RETRY_MS);
      }
    } finally {
      isRecording = false;
    }
  };
  const guard = createLoggingGuard(log, 'queues-failed');
  const listOthers = (queue: string, pool: string) =>
    listPools(recorded, queue).filter((other) => other !== pool);
  const subscription = config.subscribe(() => guard.watch('record', recordNewest()));
  return {
    findPlacement: (queue, pool, wanted) =>
      // A queue that both versions send to the pool goes on under the recorded one.
      version <= wanted && targets.get(queue) === pool
        ? { version, formerPools: listOthers(queue, pool) }
        : undefined,
    listFormerPools: listOthers,
    hasRecorded: (wanted) => version >= wanted,
    listLeftQueues: (pool) =>
      [...recorded.homes.values()]
        .filter(
          ({ queue, pools }: QueueHome) => pools.includes(pool) && targets.get(queue) !== pool,
        )
        .map(({ queue }) => queue),
    getVersion: () => version,
    removePool: async (queues, pool) => {
      const used = version;
      if (queues.length === 0 || !(await readAll())) return;
      if (recorded.version !== used || version !== used) return;
      const left = queues
        .filter((queue) => targets.get(queue) !== pool)
        .filter((queue) => listPools(recorded, queue).includes(pool))
        .slice(0, MAX_RECORDS);
      if (left.length === 0) return;
      if (await append(left.map((queue) => makeRemoval(recorded, queue, pool)))) {
        log.info({ event: 'queues-left', pool, queues: left.length, queue: left[0], version });
      }
    },
    stop: () => {
      isStopped = true;
      subscription.unsubscribe();
    },
  };
}
