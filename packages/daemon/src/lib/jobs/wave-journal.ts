/**
 * Journal of the orders of maintenance waves, kept in the store. The holder of the fleet duty
 * writes it, with the claim's token as epoch.
 */
import type { KeyedStore } from 'vanilladock/lib/ports/keyed-store.js';
import type { WaveStep } from 'vanilladock/lib/waves/plan-wave.js';
import type { JsonLog } from '../json-log.js';
import { createFencedWriter, type WriteOutcome } from './fenced-writer.js';

/** Partition of the journal. */
const PARTITION = { topic: 'keyed.fleet', partition: 0 } as const;

const PRODUCER = 'fleet';
const STEP_KEY = /^wave\/(\d+)\/(.+)$/;
const COMPLETED_KEY = /^completed\/(\d+)$/;

/** Journal of all waves under one claim. */
export interface WaveJournal {
  /**
   * Fences off earlier holders, then reads; resolves to false when a later holder has taken over or
   * the journal was closed.
   */
  readonly load: () => Promise<boolean>;
  /**
   * Lists the stored steps of a wave by instance; empty if there are none. Times are monotonic and
   * not stored: a step of an earlier holder has the time of the last order of those, or if that is
   * not known the time at which it was loaded.
   */
  readonly listSteps: (wave: number) => ReadonlyMap<string, WaveStep>;
  /** Takes in the latest monotonic time in milliseconds at which an earlier holder has ordered. */
  readonly observeEarlierOrders: (untilMs: number) => void;
  /** Says whether the wave was stored as completed when the journal was loaded. */
  readonly isCompleted: (wave: number) => boolean;
  /** Stores the step that an instance has reached in a wave. */
  readonly write: (wave: number, instance: string, step: WaveStep) => Promise<WriteOutcome>;
  /** Removes an order that was not carried out and never will be. */
  readonly clear: (wave: number, instance: string) => Promise<WriteOutcome>;
  /** Stores that a wave is completed. */
  readonly complete: (wave: number) => Promise<WriteOutcome>;
  /** Ends all retries; writes that would be retried resolve to `lost`. */
  readonly close: () => void;
}

/** Creates the journal under a claim. */
export function createWaveJournal(store: KeyedStore, token: number, log: JsonLog): WaveJournal {
  const writer = createFencedWriter({ store, where: PARTITION, producer: PRODUCER, token, log });
  const steps = new Map<number, Map<string, WaveStep>>();
  const completed = new Set<number>();
  let earlierOrdersMs = Infinity;
  let loadedMs = Infinity;
  const getSteps = (wave: number) => {
    const waveSteps = steps.get(wave) ?? new Map<string, WaveStep>();
    steps.set(wave, waveSteps);
    return waveSteps;
  };
  const apply = (key: string, value: string) => {
    const stepMatch = STEP_KEY.exec(key);
    const completedMatch = COMPLETED_KEY.exec(key);
    if (completedMatch?.[1] !== undefined) completed.add(Number(completedMatch[1]));
    if (stepMatch?.[1] === undefined || stepMatch[2] === undefined) return;
    const stored = JSON.parse(value) as { readonly kind: WaveStep['kind'] };
    const step: WaveStep =
      stored.kind === 'done'
        ? { kind: 'done' }
        : { kind: stored.kind, atMs: Math.min(performance.now(), earlierOrdersMs) };
    getSteps(Number(stepMatch[1])).set(stepMatch[2], step);
  };
  const makeStepKey = (wave: number, instance: string) => `wave/${wave}/${instance}`;
  return {
    load: async () => {
      // What an attempt that failed has read holds as well.
      const isLoaded = await writer.load(() => (records) => {
        records.forEach(({ key, value }) => {
          if (value !== undefined) apply(key, value);
        });
      });
      loadedMs = performance.now();
      return isLoaded;
    },
    listSteps: getSteps,
    observeEarlierOrders: (untilMs) => {
      earlierOrdersMs = untilMs;
      steps.forEach((waveSteps) =>
        waveSteps.forEach((step, instance) => {
          if (step.kind === 'done' || step.atMs <= untilMs || step.atMs > loadedMs) return;
          waveSteps.set(instance, { ...step, atMs: untilMs });
        }),
      );
    },
    isCompleted: (wave) => completed.has(wave),
    write: async (wave, instance, step) => {
      const value = JSON.stringify({ kind: step.kind });
      const outcome = await writer.write([{ key: makeStepKey(wave, instance), value }]);
      if (outcome === 'stored') getSteps(wave).set(instance, step);
      return outcome;
    },
    clear: async (wave, instance) => {
      const outcome = await writer.write([{ key: makeStepKey(wave, instance), value: undefined }]);
      if (outcome === 'stored') getSteps(wave).delete(instance);
      return outcome;
    },
    complete: (wave) => writer.write([{ key: `completed/${wave}`, value: '1' }]),
    close: writer.close,
  };
}
