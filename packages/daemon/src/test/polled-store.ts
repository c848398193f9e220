/**
 * A store in memory with the semantics of the port: partitions, conditional appends, producers whose
 * lower epochs are fenced and whose sequence numbers make a repeated append harmless, and reads that
 * wait for records.
 */
import type {
  AppendGuard,
  AppendOutcome,
  KeyedRecord,
  KeyedStore,
  PartitionName,
  StoredKeyedRecord,
} from 'vanilladock/lib/ports/keyed-store.js';
import { waitFor } from './memory-store.js';

type Stored = Extract<AppendOutcome, { readonly kind: 'stored' }>;

/** What a partition knows of a producer. */
interface Producer {
  readonly epoch: number;
  /** Sequence number of the next append of the epoch. */
  readonly next: number;
  readonly last: Stored | undefined;
}

interface Partition {
  readonly records: StoredKeyedRecord[];
  readonly producers: Map<string, Producer>;
  /** Ends the waits of reads for records. */
  wakeReaders: (() => void)[];
}

/** How a store behaves. */
export interface PolledStoreOptions {
  /** Draws how long each of the two ways of a call takes, in milliseconds. */
  readonly pickMs: () => number;
  /** Called with the records of each append that is stored. */
  readonly handleStored: (records: readonly KeyedRecord[]) => void;
}

/** Creates an empty store. */
export function createPolledStore({ pickMs, handleStored }: PolledStoreOptions): KeyedStore {
  const partitions = new Map<string, Partition>();
  const getPartition = ({ topic, partition }: PartitionName): Partition => {
    const name = `${topic}/${partition}`;
    const known = partitions.get(name) ?? { records: [], producers: new Map(), wakeReaders: [] };
    partitions.set(name, known);
    return known;
  };
  const addRecords = (to: Partition, added: readonly KeyedRecord[]): Stored => {
    const offset = to.records.length;
    added.forEach((record) => to.records.push({ ...record, offset: to.records.length }));
    if (added.length > 0) {
      to.wakeReaders.forEach((wake) => wake());
      Object.assign(to, { wakeReaders: [] });
    }
    handleStored(added);
    return { kind: 'stored', offset, end: to.records.length };
  };
  const appendNow = (
    to: Partition,
    added: readonly KeyedRecord[],
    guard: AppendGuard,
  ): AppendOutcome => {
    switch (guard.kind) {
      case 'none':
        return addRecords(to, added);
      case 'end': {
        const end = to.records.length;
        return guard.offset === end ? addRecords(to, added) : { kind: 'end-moved', end };
      }
      case 'producer': {
        const { producer, epoch, sequence } = guard;
        const known = to.producers.get(producer);
        if (known !== undefined && epoch < known.epoch) return { kind: 'fenced' };
        const present = known?.epoch === epoch ? known : { epoch, next: 0, last: undefined };
        if (sequence === present.next - 1 && present.last !== undefined) return present.last;
        if (sequence !== present.next) return { kind: 'out-of-sequence', expected: present.next };
        const last = addRecords(to, added);
        to.producers.set(producer, { epoch, next: sequence + 1, last });
        return last;
      }
      default:
        return guard satisfies never;
    }
  };
  /** Resolves when the partition grows, or after `ms`. */
  const waitRecords = async (of: Partition, ms: number) => {
    let wake = () => {};
    const grown = new Promise<void>((resolve) => {
      wake = resolve;
    });
    of.wakeReaders.push(wake);
    const timer = setTimeout(wake, ms);
    await grown;
    clearTimeout(timer);
    Object.assign(of, { wakeReaders: of.wakeReaders.filter((other) => other !== wake) });
  };
  return {
    append: async (where, added, guard) => {
      await waitFor(pickMs());
      const outcome = appendNow(getPartition(where), added, guard);
      await waitFor(pickMs());
      return outcome;
    },
    read: async (where, from, waitMs) => {
      await waitFor(pickMs());
      const partition = getPartition(where);
      if (partition.records.length <= from && waitMs > 0) await waitRecords(partition, waitMs);
      const records = partition.records.slice(from);
      const end = partition.records.length;
      await waitFor(pickMs());
      return { kind: 'records', records, next: from + records.length, end };
    },
    readNewest: async (where, handlePage) => {
      await waitFor(pickMs());
      const all = getPartition(where).records;
      const newest = new Map(all.map((record) => [record.key, record]));
      const records = [...newest.values()].filter(({ value }) => value !== undefined);
      const end = all.length;
      await waitFor(pickMs());
      handlePage?.(records);
      return { kind: 'records', records: handlePage === undefined ? records : [], end };
    },
  };
}
