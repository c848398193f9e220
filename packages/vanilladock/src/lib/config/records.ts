/** Log records of the configuration. */
import type { RecordHead } from '../log/record.js';

/** A publication by an operator; has no effect when `base` is not the current version. */
export interface PublicationRecord extends RecordHead {
  readonly kind: 'config.publication';
  /** Offset of the publication that this one is based on; -1 for the first. */
  readonly base: number;
  /** YAML text of the configuration. */
  readonly text: string;
}

/** Any log record of the configuration. */
export type ConfigRecord = PublicationRecord;
