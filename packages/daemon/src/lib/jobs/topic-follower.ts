/**
 * Follows one partition of a keyed topic: reads the newest record of each key, then everything
 * appended since. If the next record was trimmed meanwhile, it starts again from the newest ones.
 */
import { Observable } from 'rxjs';
import type { JsonLog } from '../json-log.js';
import type {
  KeyedStore,
  PartitionName,
  StoredKeyedRecord,
} from 'vanilladock/lib/ports/keyed-store.js';
import type { Moment } from 'vanilladock/lib/jobs/state.js';
import { readMoment, waitMs } from './clock.js';
import { runEndlessLoop } from './endless-loop.js';

/** Records of a followed partition, in order; a snapshot has the newest record of every key. */
export interface TopicEvent {
  readonly kind: 'snapshot' | 'records';
  readonly records: readonly StoredKeyedRecord[];
  /** Offset of the next record to read; everything before it was read. */
  readonly next: number;
}

/** How a topic is followed. */
export interface FollowOptions {
  readonly store: KeyedStore;
  readonly where: PartitionName;
  /** Pause between reads in milliseconds, which bounds their rate. */
  readonly pauseMs: number;
  /** How long a read waits for a record, in milliseconds. */
  readonly pollMs: number;
  /** Returns how long the next read waits; takes precedence over `pollMs`. */
  readonly getPollMs?: () => number;
  /** Called after every response of the store, also one that the next record was trimmed. */
  readonly handleContact: () => void;
  /** Called once every record that was stored when a read was sent has been emitted. */
  readonly handleRead?: (sent: Moment) => void;
  readonly log: JsonLog;
}

const RETRY_MS = 250;

/**
 * Follows a partition until unsubscribed. It never completes or fails: an unavailable store is
 * logged and read again. A snapshot that is not the first replaces everything read before.
 */
export function watchTopic(options: FollowOptions): Observable<TopicEvent> {
  const { store, where, pauseMs, pollMs, handleContact, log } = options;
  return new Observable<TopicEvent>((subscriber) => {
    let isLost = false;
    const recordContact = () => {
      handleContact();
      if (isLost) log.info({ event: 'dependency-regained', dependency: 'store', ...where });
      isLost = false;
    };
    const recordLoss = (reason: string) => {
      if (!isLost) log.warn({ event: 'dependency-lost', dependency: 'store', ...where, reason });
      isLost = true;
    };
    const readSnapshot = async (): Promise<number | undefined> => {
      const sent = readMoment();
      const newest = await store.readNewest(where);
      if (newest.kind === 'unavailable') {
        recordLoss(newest.reason);
        return undefined;
      }
      recordContact();
      const next = newest.end;
      subscriber.next({ kind: 'snapshot', records: newest.records, next });
      options.handleRead?.(sent);
      return next;
    };
    const readNext = async (from: number): Promise<number | undefined> => {
      const sent = readMoment();
      const read = await store.read(where, from, options.getPollMs?.() ?? pollMs);
      switch (read.kind) {
        case 'records':
          recordContact();
          if (read.records.length > 0 || read.next !== from) {
            subscriber.next({ kind: 'records', records: read.records, next: read.next });
          }
          if (read.next >= read.end) options.handleRead?.(sent);
          return read.next;
        case 'trimmed':
          recordContact();
          log.warn({ event: 'history-gone', ...where, from, first: read.first });
          return undefined;
        case 'unavailable':
          recordLoss(read.reason);
          await waitMs(RETRY_MS);
          return from;
        default:
          return read satisfies never;
      }
    };
    let next: number | undefined;
    const runRound = async () => {
      next = next === undefined ? await readSnapshot() : await readNext(next);
      await waitMs(next === undefined ? RETRY_MS : pauseMs);
    };
    void runEndlessLoop({
      where: `follow ${where.topic}/${where.partition}`,
      log,
      isStopped: () => subscriber.closed,
      runRound,
      // What the failed round has passed on is not known, and a snapshot replaces it.
      handleFailed: () => {
        next = undefined;
      },
    });
  });
}
