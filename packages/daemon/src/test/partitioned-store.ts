/** A store in memory with partitions, conditional appends and fenced producers, for tests. */
import type {
  KeyedStore,
  PartitionName,
  StoredKeyedRecord,
} from 'vanilladock/lib/ports/keyed-store.js';
import { waitFor } from './memory-store.js';

/** Creates the store; `pickMs` draws how long the two ways of a call take. */
export function createPartitionedStore(pickMs: () => number) {
  const partitions = new Map<string, StoredKeyedRecord[]>();
  const epochs = new Map<string, number>();
  let appends = 0;
  const getPartition = ({ topic, partition }: PartitionName) => {
    const name = `${topic}/${partition}`;
    const known = partitions.get(name) ?? [];
    partitions.set(name, known);
    return known;
  };
  const store: KeyedStore = {
    append: async (where, added, guard) => {
      await waitFor(pickMs());
      const records = getPartition(where);
      if (guard.kind === 'end' && guard.offset !== records.length) {
        await waitFor(pickMs());
        return { kind: 'end-moved', end: records.length };
      }
      if (guard.kind === 'producer') {
        const name = `${where.topic}/${where.partition}/${guard.producer}`;
        if (guard.epoch < (epochs.get(name) ?? 0)) return { kind: 'fenced' };
        epochs.set(name, guard.epoch);
      }
      appends += 1;
      const offset = records.length;
      added.forEach((record) => records.push({ ...record, offset: records.length }));
      const end = records.length;
      await waitFor(pickMs());
      return { kind: 'stored', offset, end };
    },
    read: async (where, from) => {
      await waitFor(pickMs());
      const records = getPartition(where).slice(from);
      const end = from + records.length;
      await waitFor(pickMs());
      return { kind: 'records', records, next: end, end };
    },
    readNewest: async (where) => {
      await waitFor(pickMs());
      const all = getPartition(where);
      const newest = new Map(all.map((record) => [record.key, record]));
      const records = [...newest.values()].filter(({ value }) => value !== undefined);
      const end = all.length;
      await waitFor(pickMs());
      return { kind: 'records', records, end };
    },
  };
  return {
    store,
    countAppends: () => appends,
    listRecords: (where: PartitionName) => [...getPartition(where)],
  };
}
