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
}

/** Puts a released instance into a pool; second half of a move, or first sight of an instance. */
export interface JoinRecord extends RecordHead {
  readonly kind: 'pool.join';
  readonly instanceId: string;
  readonly pool: string;
  /** Offset of the release that this join completes; -1 for a new instance. */
  readonly releaseOffset: number;
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
