/**
 * Properties of the configuration over any interleaving of operators, lost answers, outages, snapshots
 * and retention: all readers agree, versions never go back, and no answer is false.
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
  /** Operator publishes from the version that a reader shows; the append may be repeated or lost. */
  | {
      readonly kind: 'publish';
      readonly reader: number;
      readonly copies: number;
      readonly isValid: boolean;
    }
  /** A reader reads some records, or none while the log is down for it. */
  | { readonly kind: 'read'; readonly reader: number; readonly count: number }
  /** A reader writes a snapshot of what it knows. */
  | { readonly kind: 'snapshot'; readonly reader: number }
  /** The log drops old records. */
  | { readonly kind: 'drop'; readonly count: number }
  /** A reader hands its state to another, as peers do. */
  | { readonly kind: 'hand-on'; readonly reader: number; readonly to: number }
  /** A reader is replaced by a new one that starts from the log alone. */
  | { readonly kind: 'replace'; readonly reader: number };

interface World {
  readonly log: StoredRecord[];
  readonly all: StoredRecord[];
  readonly readers: FleetState[];
}

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
    arbitrary: fc.record({ kind: fc.constant('hand-on' as const), reader, to: reader }),
  },
  { weight: 1, arbitrary: fc.record({ kind: fc.constant('replace' as const), reader }) },
);

const getReader = (world: World, index: number) => world.readers[index] ?? createFleetState();
const appendTexts = (world: World, texts: readonly string[]) =>
  texts.forEach((text) => {
    const record = { offset: world.all.length, text };
    world.all.push(record);
    world.log.push(record);
  });
const foldWhole = (world: World) => world.all.reduce(foldFleet, createFleetState());

const runStep = (world: World, step: Step, index: number): void => {
  const head = { version: 1, id: `id-${index}`, by: `operator-${index}`, at: 0 } as const;
  switch (step.kind) {
    case 'publish': {
      const base = getReader(world, step.reader).config.version;
      const text = step.isValid ? TEXT : TEXT.replace('slots: 8', 'slots: none');
      const record = encodeRecord({ ...head, kind: 'config.publication', base, text });
      appendTexts(
        world,
        Array.from({ length: step.copies }, () => record),
      );
      return;
    }
    case 'read': {
      const state = getReader(world, step.reader);
      const first = world.log[0]?.offset ?? world.all.length;
      const isBehind = first > state.next;
      const records = world.log.filter(({ offset }) => offset >= state.next).slice(0, step.count);
      world.readers[step.reader] = isBehind
        ? (loadFleet(world.log, first) ?? state)
        : records.reduce(foldFleet, state);
      return;
    }
    case 'snapshot':
      appendTexts(world, buildSnapshot(getReader(world, step.reader), head).map(encodeRecord));
      return;
    case 'drop':
      world.log.splice(0, Math.min(step.count, world.log.length));
      return;
    case 'hand-on': {
      const from = getReader(world, step.reader);
      if (from.next > getReader(world, step.to).next) world.readers[step.to] = from;
      return;
    }
    case 'replace': {
      const fresh = loadFleet(world.log, world.log[0]?.offset ?? world.all.length);
      if (fresh !== undefined) world.readers[step.reader] = fresh;
      return;
    }
    default:
      step satisfies never;
  }
};

const test = suite('races of publications');

test('all readers agree with the whole log at their offset, and no version goes back', () => {
  fc.assert(
    fc.property(fc.array(stepArbitrary, { maxLength: 30 }), (steps) => {
      const world: World = {
        log: [],
        all: [],
        readers: Array.from({ length: READERS }, createFleetState),
      };
      steps.forEach((step, index) => {
        const before = world.readers.map(({ config }) => config.version);
        runStep(world, step, index);
        const isReplaced = (at: number) => step.kind === 'replace' && step.reader === at;
        world.readers.forEach(({ config }, at) => {
          assert.ok(config.version >= (before[at] ?? -1) || isReplaced(at), 'a version went back');
        });
      });
      world.readers.forEach((state) => {
        const prefix = world.all.slice(0, state.next).reduce(foldFleet, createFleetState());
        assert.is(state.digest, prefix.digest);
        assert.is(state.config.version, prefix.config.version);
        assert.equal(state.config.fates.toJS(), prefix.config.fates.toJS());
      });
    }),
    { seed: SEED, numRuns: RUNS },
  );
});

test('of the publications made from one version at most one is accepted', () => {
  fc.assert(
    fc.property(fc.array(stepArbitrary, { maxLength: 30 }), (steps) => {
      const world: World = {
        log: [],
        all: [],
        readers: Array.from({ length: READERS }, createFleetState),
      };
      steps.forEach((step, index) => runStep(world, step, index));
      const accepted = foldWhole(world).config.history.filter(
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
