/**
 * Reads and writes one partition as its only producer under a fencing token. Writes are sent one at
 * a time; one without a response is retried with its sequence number until the store has answered.
 */
import type { KeyedRecord, KeyedStore, PartitionName } from 'vanilladock/lib/ports/keyed-store.js';
import type { JsonLog } from '../json-log.js';
import { waitMs } from './clock.js';

/**
 * Outcome of a write: `refused` is not stored and may be sent again; `lost` if another producer has
 * taken over or the writer was closed, which can leave open whether the write was stored.
 */
export type WriteOutcome = 'stored' | 'refused' | 'lost';

/** Dependencies and settings of a writer. */
export interface FencedWriterOptions {
  readonly store: KeyedStore;
  readonly where: PartitionName;
  readonly producer: string;
  /** Fencing token of the claim, used as the producer's epoch. */
  readonly token: number;
  readonly log: JsonLog;
}

/** Takes in some of the records that are read. */
export type RecordHandler = (records: readonly KeyedRecord[]) => void;

/** Writer of one partition under one claim. */
export interface FencedWriter {
  /**
   * Fences off earlier holders, then reads the newest record of each key; retries until the store
   * answers. Each attempt hands its records, page by page, to a handler of its own. Resolves to false
   * when a later holder has taken over or the writer was closed.
   */
  readonly load: (startReading: () => RecordHandler) => Promise<boolean>;
  /**
   * Appends the records together, after all earlier writes have their outcome. After one that was
   * rejected because of an error, the writer is closed.
   */
  readonly write: (records: readonly KeyedRecord[]) => Promise<WriteOutcome>;
  /** Ends all retries; writes that would be retried resolve to `lost`. */
  readonly close: () => void;
}

/** Pause before a retry. */
const RETRY_MS = 100;

/** Creates a writer. */
export function createFencedWriter(options: FencedWriterOptions): FencedWriter {
  const { store, where, producer, token, log } = options;
  let sequence = 0;
  let isClosed = false;
  let queue: Promise<unknown> = Promise.resolve();

  const writeNow = async (records: readonly KeyedRecord[]): Promise<WriteOutcome> => {
    let mayBeStored = false;
    while (!isClosed) {
      const guard = { kind: 'producer', producer, epoch: token, sequence } as const;
      const outcome = await store.append(where, records, guard);
      switch (outcome.kind) {
        case 'stored':
          sequence += 1;
          return 'stored';
        case 'fenced':
          return 'lost';
        case 'out-of-sequence':
          log.error({ event: 'store-out-of-sequence', producer, sequence, ...outcome });
          sequence = outcome.expected;
          break;
        case 'refused':
          log.warn({ event: 'store-refused', producer, sequence, ...outcome, mayBeStored });
          if (!mayBeStored) return 'refused';
          break;
        case 'unknown':
          log.warn({ event: 'store-unanswered', producer, sequence, ...outcome });
          mayBeStored = true;
          break;
        case 'end-moved':
          return 'refused';
        default:
          return outcome satisfies never;
      }
      await waitMs(RETRY_MS);
    }
    return 'lost';
  };
  const write = (records: readonly KeyedRecord[]): Promise<WriteOutcome> => {
    const written = queue.then(() => writeNow(records));
    // Whether a write that failed by an error is stored is not known, so that none may follow it.
    queue = written.catch(() => {
      isClosed = true;
    });
    return written;
  };
  /** Claims the epoch by an empty write; resolves to whether the writer holds it. */
  const claimEpoch = async (): Promise<boolean> => {
    while (!isClosed) {
      const outcome = await write([]);
      if (outcome !== 'refused') return outcome === 'stored';
      await waitMs(RETRY_MS);
    }
    return false;
  };
  return {
    load: async (startReading) => {
      if (!(await claimEpoch())) return false;
      while (!isClosed) {
        const handleRecords = startReading();
        const newest = await store.readNewest(where, handleRecords);
        if (newest.kind === 'records') {
          handleRecords(newest.records);
          return true;
        }
        log.warn({ event: 'store-unreadable', producer, reason: newest.reason });
        await waitMs(RETRY_MS);
      }
      return false;
    },
    write,
    close: () => {
      isClosed = true;
    },
  };
}
