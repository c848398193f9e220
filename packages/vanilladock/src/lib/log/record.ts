/**
 * Records of the log. Each has a kind, the version of its format, an id that makes repeated appends
 * harmless, and the entry or operator that wrote it. docs/RECORDS.md describes for each kind who
 * writes it and when it is void.
 */
import type { ConfigRecord } from '../config/records.js';
import type { ClaimRecord } from '../duties/records.js';
import type { MaintenanceRecord } from '../maintenance/records.js';
import type { PlacementRecord } from '../placement/records.js';
import type { PoolRecord } from '../pools/records.js';
import type { SnapshotRecord } from './snapshot-record.js';

/** Fields that every record has. */
export interface RecordHead {
  readonly version: 1;
  /** Unique; a second record with the same id has no effect. */
  readonly id: string;
  /** Id of the entry, or name of the operator, that wrote the record. */
  readonly by: string;
  /** Wall clock of the writer in milliseconds since 1970; informative only. */
  readonly at: number;
}

/** Any record that this version knows. */
export type LogRecord =
  ConfigRecord | ClaimRecord | PoolRecord | MaintenanceRecord | PlacementRecord | SnapshotRecord;

/** A record with its offset in the log; offsets start at 0 and increase by one. */
export interface PlacedRecord<T extends LogRecord = LogRecord> {
  readonly offset: number;
  readonly record: T;
}
