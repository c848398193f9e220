/**
 * Records in which pools jobs of a queue may live. A configuration may send a queue to another pool
 * while jobs that were accepted before stay in theirs, so that they are looked for in every pool that
 * the queue has been sent to. The records are appended on the condition that the partition has not
 * grown since it was read: whoever has recorded a version has read everything recorded before, and
 * nothing is recorded under an older version afterwards.
 */
import { hash } from 'node:crypto';
import { z } from 'zod';
import { parseJson } from '../parse-json.js';
import type { RouteConfig } from '../ports/fleet.js';
import type { KeyedRecord } from '../ports/keyed-store.js';

/** Pools that may have jobs of a queue; the newest is the last. */
export interface QueueHome {
  readonly queue: string;
  readonly pools: readonly string[];
}

/** What is recorded of all queues. */
export interface QueueHomes {
  /** Newest version of the configuration whose queues are recorded; -1 before the first. */
  readonly version: number;
  /** By the key of the record. */
  readonly homes: ReadonlyMap<string, QueueHome>;
}

/** Records of a store in which nothing is recorded. */
export const NO_HOMES: QueueHomes = { version: -1, homes: new Map() };

/** What an instance has to do before it uses a version of the configuration for new jobs. */
export type HomesPlan =
  /** Nothing, as the version is recorded. */
  | { readonly kind: 'recorded' }
  /** Append these records. */
  | { readonly kind: 'record'; readonly records: readonly KeyedRecord[] }
  /** Wait for a newer configuration, as one is recorded. */
  | { readonly kind: 'superseded' };

const VERSION_KEY = 'version';
const QUEUE_PREFIX = 'queue/';

/** Keys have a limit of length, so a queue's key is a digest of its name. */
const DIGEST_DIGITS = 32;

const versionSchema = z.object({ version: z.number() });
const homeSchema = z.object({ queue: z.string(), pools: z.array(z.string()) });

/** Makes the name of a route's queue, which is the same under all names and pools of the route. */
export function makeQueueName({ host, pathPrefix }: Pick<RouteConfig, 'host' | 'pathPrefix'>) {
  return `${host}${pathPrefix}`;
}

/** Lists the pool that each queue is sent to, by the queue's name; the last of equal routes holds. */
export function listTargets(routes: readonly RouteConfig[]): ReadonlyMap<string, string> {
  return new Map(routes.map((route) => [makeQueueName(route), route.pool]));
}

/** Makes the key of a queue's record. */
function makeHomeKey(queue: string): string {
  return `${QUEUE_PREFIX}${hash('sha256', queue, 'hex').slice(0, DIGEST_DIGITS)}`;
}

/** Makes the record of a queue's pools; one without pools is dropped. */
function makeHomeRecord(queue: string, pools: readonly string[]): KeyedRecord {
  const value = pools.length === 0 ? undefined : JSON.stringify({ queue, pools });
  return { key: makeHomeKey(queue), value };
}

/** Lists the pools that may have jobs of a queue; the newest is the last. */
export function listPools({ homes }: QueueHomes, queue: string): readonly string[] {
  return homes.get(makeHomeKey(queue))?.pools ?? [];
}

/**
 * Applies records in the order of their offsets. `handleUnusable` is called with the key of a record
 * that cannot be read and has no effect.
 */
export function foldHomes(
  before: QueueHomes,
  records: readonly KeyedRecord[],
  handleUnusable: (key: string) => void,
): QueueHomes {
  const homes = new Map(before.homes);
  let { version } = before;
  records.forEach(({ key, value }) => {
    if (value === undefined) {
      homes.delete(key);
      return;
    }
    const home = key.startsWith(QUEUE_PREFIX) ? parseJson(homeSchema, value) : undefined;
    const mark = key === VERSION_KEY ? parseJson(versionSchema, value) : undefined;
    if (home !== undefined) homes.set(key, home);
    else if (mark !== undefined) version = Math.max(version, mark.version);
    else handleUnusable(key);
  });
  return { version, homes };
}

/**
 * Plans what to record before jobs are accepted under a version that sends each queue to the pool in
 * `targets`: the pool becomes the newest of its queue, and the version is marked as used.
 */
export function planHomes(
  recorded: QueueHomes,
  version: number,
  targets: ReadonlyMap<string, string>,
): HomesPlan {
  if (recorded.version > version) return { kind: 'superseded' };
  if (recorded.version === version) return { kind: 'recorded' };
  const moved = [...targets].flatMap(([queue, pool]) => {
    const pools = listPools(recorded, queue);
    if (pools.at(-1) === pool) return [];
    return [makeHomeRecord(queue, [...pools.filter((other) => other !== pool), pool])];
  });
  const mark = { key: VERSION_KEY, value: JSON.stringify({ version }) };
  return { kind: 'record', records: [...moved, mark] };
}

/** Makes the record by which a pool no longer counts as one that may have jobs of a queue. */
export function makeRemoval(recorded: QueueHomes, queue: string, pool: string): KeyedRecord {
  const others = listPools(recorded, queue).filter((other) => other !== pool);
  return makeHomeRecord(queue, others);
}
