/** A keyed store in memory for tests of planners, and waits on the timers in force. */
import type { KeyedStore, StoredKeyedRecord } from 'vanilladock/lib/ports/keyed-store.js';

/** Time that each call to the store takes. */
export const CALL_MS = 5;

export const NEVER = new Promise<never>(() => {});

export const waitFor = (ms: number) =>
  new Promise<void>((resolve) => {
    setTimeout(resolve, ms);
  });

/** A store that does not answer appends of the epochs in `unansweredEpochs`. */
export function createMemoryStore(appendMs = CALL_MS) {
  const records: StoredKeyedRecord[] = [];
  const unansweredEpochs = new Set<number>();
  const store: KeyedStore = {
    append: async (_, added, guard) => {
      await waitFor(appendMs);
      if (guard.kind === 'producer' && unansweredEpochs.has(guard.epoch)) return NEVER;
      const offset = records.length;
      added.forEach((record) => records.push({ ...record, offset: records.length }));
      return { kind: 'stored', offset, end: records.length };
    },
    read: () => NEVER,
    readNewest: async () => {
      await waitFor(CALL_MS);
      const newest = new Map(records.map((record) => [record.key, record]));
      return { kind: 'records', records: [...newest.values()], end: records.length };
    },
  };
  return { store, unansweredEpochs };
}
