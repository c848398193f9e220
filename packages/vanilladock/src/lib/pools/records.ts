/** Records about membership of instances in pools. */
import type { RecordHead } from '../log/record.js';

/** Takes an instance out of its pool; first half of a move. */
export interface ReleaseRecord extends RecordHead {
  readonly kind: 'pool.release';
  readonly instanceId: string;
  readonly from: string;
  readonly to: string;
  /** Fencing token of the planner's claim. */
  readonly fence: number;
}

/** An entry's word that it has applied the log up to an offset. */
export interface AcknowledgementRecord extends RecordHead {
  readonly kind: 'pool.acknowledgement';
  readonly entryId: string;
  readonly appliedOffset: number;
  /** True in the last word of an entry that has stopped routing for good. */
  readonly isLeaving?: boolean;
}

/** An entry whose lease the planner saw run out, and the acknowledgement that it judged by. */
export interface LapsedEntry {
  readonly entryId: string;
  /** Offset of the entry's newest acknowledgement; the join is void when there is a newer one. */
  readonly acknowledgementOffset: number;
}

/** Puts a released instance into a pool; second half of a move, or first sight of an instance. */
export interface JoinRecord extends RecordHead {
  readonly kind: 'pool.join';
  readonly instanceId: string;
  readonly pool: string;
  /** Offset of the release or removal that this join follows; -1 for a new instance. */
  readonly releaseOffset: number;
  /** Entries that have not acknowledged the release and whose lease has run out. */
  readonly lapsed?: readonly LapsedEntry[];
  readonly fence: number;
}

/** Forgets an instance that the platform has removed. */
export interface RemovalRecord extends RecordHead {
  readonly kind: 'pool.removal';
  readonly instanceId: string;
  readonly fence: number;
}

/** Any record about pools. */
export type PoolRecord = ReleaseRecord | AcknowledgementRecord | JoinRecord | RemovalRecord;
