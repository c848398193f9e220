/** Record of one part of a snapshot of the folded state. */
import type { RecordHead } from './record.js';

/** One part of a snapshot; ignored by a reader that has folded the log up to its offset. */
export interface SnapshotRecord extends RecordHead {
  readonly kind: 'log.snapshot';
  /** Id that all parts of one snapshot share. */
  readonly snapshotId: string;
  /** The last offset that the snapshot includes. */
  readonly throughOffset: number;
  /** Index of this part, from 0. */
  readonly part: number;
  /** Number of parts of the snapshot. */
  readonly parts: number;
  /** A slice of the encoded state. */
  readonly body: string;
}
