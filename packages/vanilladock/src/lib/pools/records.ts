/** Pool records: the membership of instances in pools. */
import type { RecordHead } from '../log/record.js';

/** Removes an instance from pool `from`, to join pool `to`; the first half of a move. */
export interface ReleaseRecord extends RecordHead {
  readonly kind: 'pool.release';
  readonly instanceId: string;
  readonly from: string;
  readonly to: string;
  /** Fencing token of the claim on `MOVES_DUTY` under which the record was written. */
  readonly fence: number;
}

/**
 * Acknowledges that an entry has applied the log up to an offset; void unless that offset is lower
 * than the record's own.
 */
export interface AcknowledgementRecord extends RecordHead {
  readonly kind: 'pool.acknowledgement';
  readonly entryId: string;
  readonly appliedOffset: number;
  /** True in the last acknowledgement of an entry that has stopped routing permanently. */
  readonly isLeaving?: boolean;
}

/** An entry whose lease has lapsed for the planner, and the acknowledgement it counted from. */
export interface LapsedEntry {
  readonly entryId: string;
  /** Offset of the entry's newest acknowledgement; the join is void when there is a newer one. */
  readonly acknowledgementOffset: number;
}

/**
 * Adds an instance to a pool: the second half of a move, or the first join of an instance. A return
 * to the pool that it was released from needs no acknowledgements.
 */
export interface JoinRecord extends RecordHead {
  readonly kind: 'pool.join';
  readonly instanceId: string;
  readonly pool: string;
  /** Offset of the release or removal that this join follows; -1 for a new instance. */
  readonly releaseOffset: number;
  /** Entries that have not acknowledged the release and whose lease has lapsed. */
  readonly lapsed?: readonly LapsedEntry[];
  /** Fencing token of the claim on `MOVES_DUTY` under which the record was written. */
  readonly fence: number;
}

/**
 * Removes an instance that the platform no longer has, whether it is in a pool or between pools.
 */
export interface RemovalRecord extends RecordHead {
  readonly kind: 'pool.removal';
  readonly instanceId: string;
  /** Fencing token of the claim on `MOVES_DUTY` under which the record was written. */
  readonly fence: number;
}

/** Any pool record. */
export type PoolRecord = ReleaseRecord | AcknowledgementRecord | JoinRecord | RemovalRecord;
