/**
 * Follows one partition of a keyed topic: its newest records first, then everything appended since.
 * When the history was dropped meanwhile, it starts again from the newest records.
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

/** What a follower hears: records in order; a snapshot names every key that there is. */
export interface TopicEvent {
  readonly kind: 'snapshot' | 'records';
  readonly records: readonly StoredKeyedRecord[];
  /** The offset up to which everything was read. */
  readonly next: number;
}

/** How a topic is followed. */
export interface FollowOptions {
  readonly store: KeyedStore;
  readonly where: PartitionName;
  /** Pause between reads, which bounds their number. */
  readonly pauseMs: number;
  /** How long a read waits for a record. */
  readonly pollMs: number;
  /** How long the next read waits, where that changes. */
  readonly getPollMs?: () => number;
  /** Called after every answer of the store. */
  readonly handleContact: () => void;
  /** Called when everything has been taken in that was stored when a read was sent. */
  readonly handleRead?: (sent: Moment) => void;
  readonly log: JsonLog;
}

const RETRY_MS = 250;

/** Follows a topic until unsubscribed. */
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
    const readOn = async (from: number): Promise<number | undefined> => {
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
    const run = async () => {
      let next: number | undefined;
      while (!subscriber.closed) {
        next = next === undefined ? await readSnapshot() : await readOn(next);
        await waitMs(next === undefined ? RETRY_MS : pauseMs);
      }
    };
    void run();
  });
}
