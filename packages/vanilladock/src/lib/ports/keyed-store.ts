/**
 * Port to the platform's store: topics of partitions that are appended to conditionally and read from
 * an offset on, and keyed topics that keep the newest record of each key for good.
 */

/** A record of a keyed topic; an undefined value drops the key. */
export interface KeyedRecord {
  readonly key: string;
  readonly value: string | undefined;
}

/** A record as read back; the offset is unique in its partition and rises. */
export interface StoredKeyedRecord extends KeyedRecord {
  readonly offset: number;
}

/** Where records lie. */
export interface PartitionName {
  readonly topic: string;
  readonly partition: number;
}

/**
 * What an append is conditional on: the partition's end, or a producer whose lower epochs are fenced
 * off and whose sequence numbers make a repeat harmless.
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

/** Outcome of an append; only `unknown` may have been stored, now or later. */
export type AppendOutcome =
  | { readonly kind: 'stored'; readonly offset: number; readonly end: number }
  | { readonly kind: 'end-moved'; readonly end: number }
  | { readonly kind: 'fenced' }
  | { readonly kind: 'out-of-sequence'; readonly expected: number }
  | { readonly kind: 'refused'; readonly reason: string }
  | { readonly kind: 'unknown'; readonly reason: string };

/** Outcome of a read from an offset on. */
export type ReadOutcome =
  | {
      readonly kind: 'records';
      readonly records: readonly StoredKeyedRecord[];
      /** The offset to read from next. */
      readonly next: number;
      readonly end: number;
    }
  | { readonly kind: 'trimmed'; readonly first: number }
  | { readonly kind: 'unavailable'; readonly reason: string };

/** Outcome of a read of the newest record of every key. */
export type NewestOutcome =
  | {
      readonly kind: 'records';
      readonly records: readonly StoredKeyedRecord[];
      /** The partition's end before the first page was read. */
      readonly end: number;
    }
  | { readonly kind: 'unavailable'; readonly reason: string };

/** The platform's store. */
export interface KeyedStore {
  readonly append: (
    where: PartitionName,
    records: readonly KeyedRecord[],
    guard: AppendGuard,
  ) => Promise<AppendOutcome>;
  readonly read: (where: PartitionName, from: number, waitMs: number) => Promise<ReadOutcome>;
  readonly readNewest: (where: PartitionName) => Promise<NewestOutcome>;
}
