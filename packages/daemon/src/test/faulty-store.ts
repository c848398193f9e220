/**
 * A keyed store in memory with one partition, as the platform's pages describe it: epochs, sequence
 * numbers and the answers to the last five appends of each producer, pages that are no snapshot, and
 * appends that are refused, not answered, or carried out late.
 */
import type {
  AppendOutcome,
  KeyedRecord,
  KeyedStore,
  StoredKeyedRecord,
} from 'vanilladock/lib/ports/keyed-store.js';
import { waitFor } from './memory-store.js';

/** How the store treats appends; `mixed` draws for each call. */
export type StoreFault = 'none' | 'refused' | 'lost' | 'late' | 'slow' | 'mixed';

const MIXED_FAULTS = ['none', 'refused', 'lost', 'late', 'slow'] as const;
const CLIENT_TIMEOUT_MS = 300;
const SLOW_MS = 500;
const LATE_MS = 3_000;
const PAGE_KEYS = 3;

/** Number of a producer's appends whose answers are remembered. */
const REMEMBERED_APPENDS = 5;

interface Producer {
  readonly epoch: number;
  readonly nextSequence: number;
  readonly answers: readonly (readonly [number, AppendOutcome])[];
}

/** Creates the store; `pickMs` draws times up to a limit. */
export function createFaultyStore(pickMs: (maxMs: number) => number) {
  const newest = new Map<string, StoredKeyedRecord>();
  const producers = new Map<string, Producer>();
  let end = 0;
  let fault: StoreFault = 'none';

  const applyRecords = (records: readonly KeyedRecord[]): AppendOutcome => {
    const offset = end;
    records.forEach((record) => {
      if (record.value === undefined) newest.delete(record.key);
      else newest.set(record.key, { ...record, offset: end });
      end += 1;
    });
    return { kind: 'stored', offset, end };
  };
  const handleAppend: (...call: Parameters<KeyedStore['append']>) => AppendOutcome = (
    _,
    records,
    guard,
  ) => {
    if (guard.kind !== 'producer') return { kind: 'refused', reason: 'unguarded' };
    const { producer: name, epoch, sequence } = guard;
    const known = producers.get(name);
    if (known !== undefined && epoch < known.epoch) return { kind: 'fenced' };
    const isNewEpoch = known === undefined || epoch > known.epoch;
    const answers = isNewEpoch ? [] : known.answers;
    const repeated = answers.find(([number]) => number === sequence);
    if (repeated !== undefined) return repeated[1];
    if (!isNewEpoch && sequence !== known.nextSequence) {
      return { kind: 'out-of-sequence', expected: known.nextSequence };
    }
    const answer = applyRecords(records);
    producers.set(name, {
      epoch,
      nextSequence: sequence + 1,
      answers: [...answers, [sequence, answer] as const].slice(-REMEMBERED_APPENDS),
    });
    return answer;
  };
  const chooseFault = () =>
    fault === 'mixed' ? (MIXED_FAULTS[pickMs(MIXED_FAULTS.length) - 1] ?? 'none') : fault;
  const append: KeyedStore['append'] = async (...call) => {
    const chosen = chooseFault();
    await waitFor(pickMs(10));
    switch (chosen) {
      case 'refused':
        return { kind: 'refused', reason: 'status 503' };
      case 'lost':
        handleAppend(...call);
        await waitFor(CLIENT_TIMEOUT_MS);
        return { kind: 'unknown', reason: 'timeout' };
      case 'late':
        setTimeout(() => handleAppend(...call), pickMs(LATE_MS));
        await waitFor(CLIENT_TIMEOUT_MS);
        return { kind: 'unknown', reason: 'timeout' };
      case 'slow':
        await waitFor(pickMs(SLOW_MS));
        break;
      case 'none':
        break;
      default:
        chosen satisfies never;
    }
    const answer = handleAppend(...call);
    await waitFor(pickMs(10));
    return answer;
  };
  const readNewest: KeyedStore['readNewest'] = async (_, handlePage) => {
    let after = '';
    for (;;) {
      await waitFor(pickMs(10));
      if (chooseFault() === 'refused') return { kind: 'unavailable', reason: 'status 503' };
      const last = after;
      const keys = [...newest.keys()].filter((key) => key > last).sort();
      const page = keys.slice(0, PAGE_KEYS).map((key) => newest.get(key)!);
      handlePage?.(page);
      after = page.at(-1)?.key ?? last;
      if (keys.length <= PAGE_KEYS) return { kind: 'records', records: [], end };
    }
  };
  const store: KeyedStore = { append, read: () => new Promise<never>(() => {}), readNewest };
  return {
    store,
    setFault: (next: StoreFault) => {
      fault = next;
    },
  };
}
