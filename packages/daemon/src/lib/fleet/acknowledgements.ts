/**
 * Tells the log how far this entry has applied it, which the barrier of moves waits for. An entry that
 * stops says so, and holds up no move.
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
  /** Takes in a record read from the log. */
  readonly observeRecord: (stored: StoredRecord) => void;
  /** Makes the last word of an entry that stops. */
  readonly makeLeaving: (appliedOffset: number) => AcknowledgementRecord;
}

const KIND = '"pool.acknowledgement"';
const RESEND_MS = 5_000;

/** Creates the acknowledgements of an entry. */
export function createAcknowledgements(entryId: string): Acknowledgements {
  let lease = createEntryLease();
  let sentAtMs = -Infinity;
  return {
    listDue: (pools, appliedOffset) => {
      const nowMs = performance.now();
      if (nowMs - sentAtMs < RESEND_MS) return [];
      if (!isAcknowledgementDue(lease, pools, entryId, nowMs, BARRIER_SETTINGS)) return [];
      const head = makeHead(entryId);
      lease = recordAcknowledgement(lease, head.id, nowMs);
      sentAtMs = nowMs;
      return [{ ...head, kind: 'pool.acknowledgement', entryId, appliedOffset }];
    },
    observeRecord: ({ text }) => {
      if (!text.includes(KIND) || !text.includes(entryId)) return;
      lease = observeReadBack(lease, (JSON.parse(text) as AcknowledgementRecord).id);
    },
    makeLeaving: (appliedOffset) => ({
      ...makeHead(entryId),
      kind: 'pool.acknowledgement',
      entryId,
      appliedOffset,
      isLeaving: true,
    }),
  };
}
