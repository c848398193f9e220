/**
 * Properties of the configuration under any interleaving of publications, lost or repeated appends,
 * log outages, snapshots and retention: all readers agree, versions never decrease, and at most one
 * publication from each version is accepted.
 */
import { readFileSync } from 'node:fs';
import fc from 'fast-check';
import * as assert from 'uvu/assert';
import { suite } from 'uvu';
import { encodeRecord } from '../lib/log/codec.js';
import { createFleetState, foldFleet, type FleetState } from '../lib/log/fleet-state.js';
import { buildSnapshot, loadFleet } from '../lib/log/snapshot.js';
import type { StoredRecord } from '../lib/ports/log-service.js';

const TEXT = readFileSync(new URL('../../../../examples/smokehouse.yaml', import.meta.url), 'utf8');
const SEED = 20261203;
const RUNS = 400;
const READERS = 3;

type Step =
  /** An operator publishes from a reader's version; the append may be lost or repeated. */
  | {
      readonly kind: 'publish';
      readonly reader: number;
      readonly copies: number;
      readonly isValid: boolean;
    }
  /** A reader reads some records, or none while it cannot reach the log. */
  | { readonly kind: 'read'; readonly reader: number; readonly count: number }
  /** A reader appends a snapshot of its state. */
  | { readonly kind: 'snapshot'; readonly reader: number }
  /** The log drops its oldest records. */
  | { readonly kind: 'drop'; readonly count: number }
  /** A reader transfers its state to another, as peers do. */
  | { readonly kind: 'transfer'; readonly reader: number; readonly to: number }
  /** A reader is replaced by a new one that loads its state from the log. */
  | { readonly kind: 'replace'; readonly reader: number };

interface Simulation {
  /** The records that the log still has. */
  readonly log: StoredRecord[];
  /** Every record that was ever appended. */
  readonly allRecords: StoredRecord[];
  readonly readers: FleetState[];
}

/** Creates an empty log and readers that have read nothing. */
const createSimulation = (): Simulation => ({
  log: [],
  allRecords: [],
  readers: Array.from({ length: READERS }, createFleetState),
});

const reader = fc.nat({ max: READERS - 1 });
const stepArbitrary: fc.Arbitrary<Step> = fc.oneof(
  {
    weight: 4,
    arbitrary: fc.record({
      kind: fc.constant('publish' as const),
      reader,
      copies: fc.integer({ min: 0, max: 2 }),
      isValid: fc.boolean(),
    }),
  },
  {
    weight: 4,
    arbitrary: fc.record({ kind: fc.constant('read' as const), reader, count: fc.nat({ max: 6 }) }),
  },
  { weight: 2, arbitrary: fc.record({ kind: fc.constant('snapshot' as const), reader }) },
  {
    weight: 1,
    arbitrary: fc.record({ kind: fc.constant('drop' as const), count: fc.nat({ max: 6 }) }),
  },
  {
    weight: 1,
    arbitrary: fc.record({ kind: fc.constant('transfer' as const), reader, to: reader }),
  },
  { weight: 1, arbitrary: fc.record({ kind: fc.constant('replace' as const), reader }) },
);

const getReader = (simulation: Simulation, index: number) =>
  simulation.readers[index] ?? createFleetState();
const appendTexts = (simulation: Simulation, texts: readonly string[]) =>
  texts.forEach((text) => {
    const record = { offset: simulation.allRecords.length, text };
    simulation.allRecords.push(record);
    simulation.log.push(record);
  });
const foldAllRecords = (simulation: Simulation) =>
  simulation.allRecords.reduce(foldFleet, createFleetState());

const runStep = (simulation: Simulation, step: Step, index: number): void => {
  const head = { version: 1, id: `id-${index}`, by: `operator-${index}`, at: 0 } as const;
  switch (step.kind) {
    case 'publish': {
      const base = getReader(simulation, step.reader).config.version;
      const text = step.isValid ? TEXT : TEXT.replace('slots: 8', 'slots: none');
      const record = encodeRecord({ ...head, kind: 'config.publication', base, text });
      appendTexts(
        simulation,
        Array.from({ length: step.copies }, () => record),
      );
      return;
    }
    case 'read': {
      const state = getReader(simulation, step.reader);
      const first = simulation.log[0]?.offset ?? simulation.allRecords.length;
      const isBehind = first > state.next;
      const records = simulation.log
        .filter(({ offset }) => offset >= state.next)
        .slice(0, step.count);
      simulation.readers[step.reader] = isBehind
        ? (loadFleet(simulation.log, first) ?? state)
        : records.reduce(foldFleet, state);
      return;
    }
    case 'snapshot':
      appendTexts(
        simulation,
        buildSnapshot(getReader(simulation, step.reader), head).map(encodeRecord),
      );
      return;
    case 'drop':
      simulation.log.splice(0, Math.min(step.count, simulation.log.length));
      return;
    case 'transfer': {
      const sender = getReader(simulation, step.reader);
      if (sender.next > getReader(simulation, step.to).next) simulation.readers[step.to] = sender;
      return;
    }
    case 'replace': {
      const loaded = loadFleet(
        simulation.log,
        simulation.log[0]?.offset ?? simulation.allRecords.length,
      );
      if (loaded !== undefined) simulation.readers[step.reader] = loaded;
      return;
    }
    default:
      step satisfies never;
  }
};

const test = suite('concurrent publications');

test('all readers agree with the whole log at their offset, and no version decreases', () => {
  fc.assert(
    fc.property(fc.array(stepArbitrary, { maxLength: 30 }), (steps) => {
      const simulation = createSimulation();
      steps.forEach((step, index) => {
        const before = simulation.readers.map(({ config }) => config.version);
        runStep(simulation, step, index);
        const isReplaced = (position: number) =>
          step.kind === 'replace' && step.reader === position;
        simulation.readers.forEach(({ config }, position) => {
          assert.ok(
            config.version >= (before[position] ?? -1) || isReplaced(position),
            'a version decreased',
          );
        });
      });
      simulation.readers.forEach((state) => {
        const prefix = simulation.allRecords
          .slice(0, state.next)
          .reduce(foldFleet, createFleetState());
        assert.is(state.digest, prefix.digest);
        assert.is(state.config.version, prefix.config.version);
        assert.equal(state.config.fates.toJS(), prefix.config.fates.toJS());
      });
    }),
    { seed: SEED, numRuns: RUNS },
  );
});

test('at most one of the publications based on the same version is accepted', () => {
  fc.assert(
    fc.property(fc.array(stepArbitrary, { maxLength: 30 }), (steps) => {
      const simulation = createSimulation();
      steps.forEach((step, index) => runStep(simulation, step, index));
      const accepted = foldAllRecords(simulation).config.history.filter(
        ({ fate }) => fate.kind === 'accepted',
      );
      const bases = accepted.map(({ base }) => base);
      assert.is(new Set(bases).size, bases.size);
      accepted.forEach(({ base }, index) =>
        assert.is(base, index === 0 ? -1 : accepted.get(index - 1)?.offset),
      );
    }),
    { seed: SEED, numRuns: RUNS },
  );
});

test.run();
