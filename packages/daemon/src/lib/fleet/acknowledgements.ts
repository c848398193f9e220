/**
 * Acknowledges the log: builds the records that state up to which offset this entry has applied it.
 * The barrier of moves waits for them. A stopping entry announces that it leaves, so that no move
 * waits for it.
 */
import {
  BARRIER_SETTINGS,
  createEntryLease,
  isAcknowledgementDue,
  observeReadBack,
  recordAcknowledgement,
  type AcknowledgementRecord,
  type PoolState,
  type StoredRecord,
} from 'vanilladock';
import { makeHead } from './record-head.js';

/** Builds an entry's acknowledgements that it has applied the log up to an offset. */
export interface Acknowledgements {
  /**
   * Builds the acknowledgement that is due now and records it as sent; empty if none is due.
   * `appliedOffset` is the offset of the last applied record. One that is not appended is not
   * repeated for `RESEND_INTERVAL_MS`.
   */
  readonly listDue: (pools: PoolState, appliedOffset: number) => readonly AcknowledgementRecord[];
  /**
   * Processes a record read from the log: marks one of this entry's acknowledgements as read back
   * and ignores other records.
   */
  readonly observeRecord: (stored: StoredRecord) => void;
  /** Builds the final acknowledgement of a stopping entry, which states that it leaves. */
  readonly makeFinal: (appliedOffset: number) => AcknowledgementRecord;
}

/** JSON text that every acknowledgement contains; other records are skipped without parsing. */
const KIND_TEXT = '"pool.acknowledgement"';
/** Least time between two acknowledgements, in milliseconds. */
const RESEND_INTERVAL_MS = 5_000;

/** Creates the acknowledgements of an entry. */
export function createAcknowledgements(entryId: string): Acknowledgements {
  let lease = createEntryLease();
  let sentAtMs = -Infinity;
  return {
    listDue: (pools, appliedOffset) => {
      const nowMs = performance.now();
      if (nowMs - sentAtMs < RESEND_INTERVAL_MS) return [];
      if (!isAcknowledgementDue(lease, pools, entryId, nowMs, BARRIER_SETTINGS)) return [];
      const head = makeHead(entryId);
      lease = recordAcknowledgement(lease, head.id, nowMs);
      sentAtMs = nowMs;
      return [{ ...head, kind: 'pool.acknowledgement', entryId, appliedOffset }];
    },
    observeRecord: ({ text }) => {
      if (!text.includes(KIND_TEXT) || !text.includes(entryId)) return;
      lease = observeReadBack(lease, (JSON.parse(text) as AcknowledgementRecord).id);
    },
    makeFinal: (appliedOffset) => ({
      ...makeHead(entryId),
      kind: 'pool.acknowledgement',
      entryId,
      appliedOffset,
      isLeaving: true,
    }),
  };
}
