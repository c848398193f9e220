/** Records about the configuration. */
import type { RecordHead } from '../log/record.js';

/** An operator's publication; void when `base` is not the current version. */
export interface PublicationRecord extends RecordHead {
  readonly kind: 'config.publication';
  /** Offset of the publication that this one was made from; -1 for the first. */
  readonly base: number;
  /** The YAML text. */
  readonly text: string;
}

/** The current configuration, appended again before retention ends. */
export interface ConfigSnapshotRecord extends RecordHead {
  readonly kind: 'config.snapshot';
  /** Offset of the publication that is in force. */
  readonly configVersion: number;
  readonly author: string;
  readonly publicationId: string;
  readonly text: string;
}

/** Any record about the configuration. */
export type ConfigRecord = PublicationRecord | ConfigSnapshotRecord;
