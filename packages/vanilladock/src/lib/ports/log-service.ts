/**
 * Port to the platform's append-only log service. Little is assumed: appends may take effect although
 * their answer is lost, may be repeated, and the service may be down for an hour. There is no
 * conditional append. Offsets grow by one for each record and records are kept for a limited time.
 */
import type { Result } from 'ts-results-es';

/** A record as stored: its offset and its encoded text. */
export interface StoredRecord {
  readonly offset: number;
  readonly text: string;
}

/** `unavailable`: no answer, the effect is unknown. `refused`: the service did nothing. */
export interface LogError {
  readonly kind: 'unavailable' | 'refused';
  readonly message: string;
}

/** A slice of a stream. */
export interface LogSlice {
  readonly records: readonly StoredRecord[];
  /** The oldest offset that is still kept. */
  readonly first: number;
  /** The offset that the next append will get. */
  readonly next: number;
}

/** The platform's log service. */
export interface LogService {
  /** Appends texts in order; resolves to the offset of the first one. */
  readonly append: (texts: readonly string[]) => Promise<Result<number, LogError>>;
  /** Reads records from an offset on; waits up to `waitMs` for the first one. */
  readonly read: (from: number, waitMs: number) => Promise<Result<LogSlice, LogError>>;
}
