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

/** The acknowledgements of one entry. */
export interface Acknowledgements {
  /** Lists the acknowledgement that is due now, if any. */
  readonly listDue: (pools: PoolState, appliedOffset: number) => readonly AcknowledgementRecord[];
  /** Processes a record read from the log, which may be one of this entry's acknowledgements. */
  readonly observeRecord: (stored: StoredRecord) => void;
  /** Makes the final acknowledgement of an entry that stops. */
  readonly makeFinal: (appliedOffset: number) => AcknowledgementRecord;
}

/** JSON text that every acknowledgement contains; other records are skipped without parsing. */
const KIND_TEXT = '"pool.acknowledgement"';
/** Least time between two acknowledgements. */
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
