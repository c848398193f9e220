/** Record of a part of a snapshot of everything that the log folds to. */
import type { RecordHead } from './record.js';

/** One part of a snapshot; void to a reader that knows the log up to its offset. */
export interface SnapshotRecord extends RecordHead {
  readonly kind: 'log.snapshot';
  /** Common to the parts of one snapshot. */
  readonly snapshotId: string;
  /** The last offset that the snapshot takes in. */
  readonly throughOffset: number;
  /** Index of this part, from 0. */
  readonly part: number;
  readonly parts: number;
  /** A slice of the encoded state. */
  readonly body: string;
}
