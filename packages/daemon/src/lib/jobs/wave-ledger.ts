/**
 * Ledger of the orders of maintenance waves in the store, written by the holder of the fleet duty under
 * its token as epoch.
 */
import type { KeyedStore } from 'vanilladock/lib/ports/keyed-store.js';
import type { WaveStep } from 'vanilladock/lib/waves/plan-wave.js';
import type { JsonLog } from '../json-log.js';
import { createFencedWriter, type WriteOutcome } from './fenced-writer.js';

/** Partition of the ledger. */
const LEDGER = { topic: 'keyed.fleet', partition: 0 } as const;

const PRODUCER = 'fleet';
const STEP_KEY = /^wave\/(\d+)\/(.+)$/;
const COMPLETED_KEY = /^completed\/(\d+)$/;

/** The ledger. */
export interface WaveLedger {
  /** Fences off earlier holders and reads; false when a later one has taken over. */
  readonly load: () => Promise<boolean>;
  readonly listSteps: (wave: number) => ReadonlyMap<string, WaveStep>;
  readonly isCompleted: (wave: number) => boolean;
  readonly write: (wave: number, instance: string, step: WaveStep) => Promise<WriteOutcome>;
  /** Takes back an order that was not carried out and never will be. */
  readonly clear: (wave: number, instance: string) => Promise<WriteOutcome>;
  readonly complete: (wave: number) => Promise<WriteOutcome>;
  readonly close: () => void;
}

/** Creates the ledger under a claim. */
export function createWaveLedger(store: KeyedStore, token: number, log: JsonLog): WaveLedger {
  const writer = createFencedWriter({ store, where: LEDGER, producer: PRODUCER, token, log });
  const steps = new Map<number, Map<string, WaveStep>>();
  const completed = new Set<number>();
  const getSteps = (wave: number) => {
    const known = steps.get(wave) ?? new Map<string, WaveStep>();
    steps.set(wave, known);
    return known;
  };
  const apply = (key: string, value: string) => {
    const step = STEP_KEY.exec(key);
    const done = COMPLETED_KEY.exec(key);
    if (done?.[1] !== undefined) completed.add(Number(done[1]));
    if (step?.[1] === undefined || step[2] === undefined) return;
    const read = JSON.parse(value) as { readonly kind: WaveStep['kind'] };
    const made: WaveStep =
      read.kind === 'done' ? { kind: 'done' } : { kind: read.kind, atMs: performance.now() };
    getSteps(Number(step[1])).set(step[2], made);
  };
  const makeKey = (wave: number, instance: string) => `wave/${wave}/${instance}`;
  return {
    load: async () => {
      const records = await writer.load();
      records?.forEach(({ key, value }) => {
        if (value !== undefined) apply(key, value);
      });
      return records !== undefined;
    },
    listSteps: getSteps,
    isCompleted: (wave) => completed.has(wave),
    write: async (wave, instance, step) => {
      const value = JSON.stringify({ kind: step.kind });
      const outcome = await writer.write([{ key: makeKey(wave, instance), value }]);
      if (outcome === 'stored') getSteps(wave).set(instance, step);
      return outcome;
    },
    clear: async (wave, instance) => {
      const outcome = await writer.write([{ key: makeKey(wave, instance), value: undefined }]);
      if (outcome === 'stored') getSteps(wave).delete(instance);
      return outcome;
    },
    complete: (wave) => writer.write([{ key: `completed/${wave}`, value: '1' }]),
    close: writer.close,
  };
}
