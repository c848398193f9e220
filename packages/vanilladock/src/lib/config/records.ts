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

/** Any record about the configuration. */
export type ConfigRecord = PublicationRecord;
