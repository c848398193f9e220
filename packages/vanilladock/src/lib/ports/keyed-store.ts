/**
 * Port to the platform's store. Topics consist of partitions, which support conditional appends and
 * reads from an offset. Keyed topics retain the newest record of each key permanently.
 */

/** A record of a keyed topic; an undefined value deletes the key. */
export interface KeyedRecord {
  readonly key: string;
  readonly value: string | undefined;
}

/** A stored record; offsets are unique within a partition and increase. */
export interface StoredKeyedRecord extends KeyedRecord {
  readonly offset: number;
}

/** Identifies a partition of a topic. */
export interface PartitionName {
  readonly topic: string;
  readonly partition: number;
}

/**
 * Condition of an append: the partition's end offset, or a producer whose lower epochs are fenced
 * and whose sequence numbers make a repeated append harmless.
 */
export type AppendGuard =
  | { readonly kind: 'none' }
  | { readonly kind: 'end'; readonly offset: number }
  | {
      readonly kind: 'producer';
      readonly producer: string;
      readonly epoch: number;
      readonly sequence: number;
    };

/** Outcome of an append; only `unknown` leaves open whether the records are or will be stored. */
export type AppendOutcome =
  | { readonly kind: 'stored'; readonly offset: number; readonly end: number }
  | { readonly kind: 'end-moved'; readonly end: number }
  | { readonly kind: 'fenced' }
  | { readonly kind: 'out-of-sequence'; readonly expected: number }
  | { readonly kind: 'refused'; readonly reason: string }
  | { readonly kind: 'unknown'; readonly reason: string };

/**
 * Outcome of a read from an offset. `trimmed`: the store no longer keeps the records before `first`,
 * so the reader has to start again with `readNewest`.
 */
export type ReadOutcome =
  | {
      readonly kind: 'records';
      readonly records: readonly StoredKeyedRecord[];
      /** The offset from which to continue. */
      readonly next: number;
      readonly end: number;
    }
  | { readonly kind: 'trimmed'; readonly first: number }
  | { readonly kind: 'unavailable'; readonly reason: string };

/** Outcome of reading the newest record of every key. */
export type NewestOutcome =
  | {
      readonly kind: 'records';
      readonly records: readonly StoredKeyedRecord[];
      /** The partition's end offset before the first page was read. */
      readonly end: number;
    }
  | { readonly kind: 'unavailable'; readonly reason: string };

/** The platform's store. */
export interface KeyedStore {
  readonly append: (
    partition: PartitionName,
    records: readonly KeyedRecord[],
    guard: AppendGuard,
  ) => Promise<AppendOutcome>;
  readonly read: (
    partition: PartitionName,
    fromOffset: number,
    waitMs: number,
  ) => Promise<ReadOutcome>;
  /**
   * Reads the newest record of every key. With `handlePage`, hands over each page as it is read and
   * returns no records; what was handed over is incomplete if the outcome is `unavailable`.
   */
  readonly readNewest: (
    partition: PartitionName,
    handlePage?: (records: readonly StoredKeyedRecord[]) => void,
  ) => Promise<NewestOutcome>;
}
