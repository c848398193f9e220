/**
 * Port to the platform's append-only log service, with few guarantees. An append may take effect
 * although its response is lost, and may be repeated; the service may be unavailable for an hour.
 * There is no conditional append. Offsets increase by one per record, and retention is limited.
 */
import type { Result } from 'ts-results-es';

/** A stored record: its offset and its encoded text. */
export interface StoredRecord {
  readonly offset: number;
  readonly text: string;
}

/** `unavailable`: no response, the effect is unknown. `refused`: there was no effect. */
export interface LogError {
  readonly kind: 'unavailable' | 'refused';
  readonly message: string;
}

/** A slice of the log. */
export interface LogSlice {
  readonly records: readonly StoredRecord[];
  /** The oldest offset that is still retained. */
  readonly first: number;
  /** The offset that the next append will get. */
  readonly next: number;
}

/** The platform's log service. */
export interface LogService {
  /** Appends texts in order; resolves to the offset of the first one. */
  readonly append: (texts: readonly string[]) => Promise<Result<number, LogError>>;
  /**
   * Reads records from an offset, or from `first` when that is later; waits up to `waitMs` for one.
   * The slice is empty when none arrives, and may end before `next`.
   */
  readonly read: (fromOffset: number, waitMs: number) => Promise<Result<LogSlice, LogError>>;
}
