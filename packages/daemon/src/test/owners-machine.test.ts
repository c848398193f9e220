/**
 * Faults of the owners of a pool: instances are stopped, killed, cut off and frozen, and workers are
 * cut off and start again, mostly while several owners follow each other within seconds. First
 * series written out that each break one guard of a take-over if it is missing, then random ones.
 */
import fc from 'fast-check';
import * as assert from 'uvu/assert';
import { suite } from 'uvu';
import {
  runOwnerFaults,
  type OwnerFault,
  type OwnerSeries,
  type OwnerStep,
  type Who,
} from './owner-faults.js';

const SEED = 20_261_207;
const CHAIN_CASES = 70;
const MIXED_CASES = 40;

const makeStep = (fault: OwnerFault, waitMs: number): OwnerStep => ({ fault, waitMs });

/** An instance reaches nothing but the first worker, which others reach too if it is shared. */
const makeIsland = (who: Who, isShared: boolean, worker = 0) =>
  ({ kind: 'island', who, worker, isShared, afterMs: 8_000 }) as const;

const STOP_OWNER = { kind: 'stop', who: 'owner' } as const;
const CUT_SECOND = { kind: 'worker-cut', worker: 1, lost: 'orders', afterMs: 2_700 } as const;
const SMALL_POOL = { workers: 2, jobs: 2, hasBatches: false };

/** The first worker starts again, and its entry is known soon. */
const QUICK_RESTART = { kind: 'restart', worker: 0, afterMs: 20, entryMs: 40 } as const;

const listCases = (seedList: readonly number[], waits: readonly number[]) =>
  seedList.flatMap((seed) => waits.map((waitMs) => [seed, waitMs] as const));

/**
 * Runs written series; each is named by the seed and a wait that differs. With `areAllReached`, none
 * may start a task again either that a worker lists as done.
 */
const checkSeries = async (
  named: readonly (readonly [seed: number, waitMs: number])[],
  makeSteps: (waitMs: number) => readonly OwnerStep[],
  size: Omit<OwnerSeries, 'seed' | 'steps'>,
  areAllReached = false,
) => {
  const faults: string[] = [];
  for (const [seed, waitMs] of named) {
    const series = { ...size, seed, steps: makeSteps(waitMs) };
    const { violations, repeats } = await runOwnerFaults(series);
    [...violations, ...(areAllReached ? repeats : [])].forEach((violation) =>
      faults.push(`${seed}, ${waitMs} ms: ${violation}`),
    );
  }
  assert.equal(faults, []);
};

const pickMs = (min: number, max: number) => fc.integer({ min, max });
const worker = fc.nat({ max: 2 });
const who = fc.constantFrom<Who>('owner', 'marked', 'claimant', 0, 1, 2, 3);
const makeRestarts = (workers: number) =>
  fc.record({
    kind: fc.constant('restart' as const),
    worker: fc.nat({ max: workers - 1 }),
    afterMs: pickMs(1, 600),
    entryMs: pickMs(1, 900),
  });
const cuts = fc.record({
  kind: fc.constant('cut' as const),
  who,
  store: fc.constantFrom('open' as const, 'lost' as const, 'unanswered' as const, 'late' as const),
  peers: fc.constantFrom(
    'open' as const,
    'none' as const,
    'outgoing-lost' as const,
    'incoming-lost' as const,
  ),
  afterMs: pickMs(300, 6_000),
});
const freezes = fc.record({
  kind: fc.constant('freeze' as const),
  who,
  afterMs: pickMs(500, 5_000),
  isClockStanding: fc.boolean(),
});
const islands = fc.record({
  kind: fc.constant('island' as const),
  who,
  worker,
  isShared: fc.boolean(),
  afterMs: pickMs(500, 6_000),
});
const workerCuts = fc.record({
  kind: fc.constant('worker-cut' as const),
  worker,
  lost: fc.constantFrom('orders' as const, 'answers' as const),
  afterMs: pickMs(300, 7_000),
});
const lostClaims = fc.record({
  kind: fc.constant('lose-claim' as const),
  afterMs: pickMs(300, 4_000),
});
const stops = fc.record({ kind: fc.constant('stop' as const), who });
const kills = fc.record({ kind: fc.constant('kill' as const), who });

const addWait = (fault: fc.Arbitrary<OwnerFault>, min: number, max: number) =>
  fc.record({ fault, waitMs: pickMs(min, max) });

const mixedSteps = fc.array(
  addWait(
    fc.oneof(
      { arbitrary: stops, weight: 4 },
      { arbitrary: kills, weight: 1 },
      { arbitrary: cuts, weight: 3 },
      { arbitrary: islands, weight: 2 },
      { arbitrary: freezes, weight: 2 },
      { arbitrary: workerCuts, weight: 1 },
      { arbitrary: makeRestarts(3), weight: 3 },
      { arbitrary: lostClaims, weight: 1 },
    ),
    1,
    900,
  ),
  { minLength: 4, maxLength: 14 },
);

/** What happens to the owners that follow the one that is cut off. */
const takeOvers = fc.oneof(
  { arbitrary: fc.constant<OwnerFault>(STOP_OWNER), weight: 6 },
  { arbitrary: fc.constant<OwnerFault>({ kind: 'stop', who: 'claimant' }), weight: 2 },
  { arbitrary: fc.constant<OwnerFault>({ kind: 'kill', who: 'owner' }), weight: 1 },
  { arbitrary: lostClaims, weight: 2 },
  { arbitrary: fc.constant<OwnerFault>({ ...CUT_SECOND, afterMs: 1_500 }), weight: 1 },
);

/**
 * An owner leaves and is cut off but for a worker; others take over in turn, and the worker starts
 * again once they do not reach it any more.
 */
const chains = fc
  .record({
    before: fc.array(addWait(fc.constantFrom<OwnerFault>(CUT_SECOND), 900, 1_300), {
      maxLength: 1,
    }),
    stopMs: pickMs(1, 40),
    isShared: fc.boolean(),
    islandMs: pickMs(80, 320),
    others: fc.array(addWait(takeOvers, 100, 400), { maxLength: 3 }),
    restartMs: pickMs(1, 100),
    entryMs: pickMs(1, 300),
    after: fc.array(addWait(fc.oneof(takeOvers, makeRestarts(2)), 50, 600), { maxLength: 3 }),
  })
  .map(({ before, stopMs, isShared, islandMs, others, restartMs, entryMs, after }) => [
    ...before,
    makeStep(STOP_OWNER, stopMs),
    makeStep(makeIsland('owner', isShared), islandMs),
    ...others,
    makeStep(makeIsland('marked', false), 5),
    makeStep({ kind: 'restart', worker: 0, afterMs: restartMs, entryMs }, restartMs),
    ...after,
  ]);

const checkRandom = async (
  steps: fc.Arbitrary<readonly OwnerStep[]>,
  numRuns: number,
  workers: number,
) => {
  const property = fc.asyncProperty(
    pickMs(1, 1e6),
    fc.boolean(),
    steps,
    async (seed, hasBatches, listed) => {
      const series = { seed, workers, hasBatches, jobs: workers, steps: listed };
      const { violations } = await runOwnerFaults(series);
      assert.equal(violations, []);
    },
  );
  await fc.assert(property, { numRuns, seed: SEED, endOnFailure: true });
};

const test = suite('owners');

// Guards against a report that counts although an earlier owner may still order there.
test('a report while an earlier owner may order settles no worker', async () => {
  const makeSteps = (waitMs: number) => [
    makeStep(CUT_SECOND, 1_200),
    makeStep(STOP_OWNER, 15),
    makeStep(makeIsland('owner', true), waitMs),
    makeStep(makeIsland('marked', false), 20),
    makeStep(QUICK_RESTART, 3_000),
  ];
  await checkSeries(listCases([1, 2, 3, 4, 6], [200, 300]), makeSteps, SMALL_POOL);
});

// Guards against a hand-over without the time for which the owner before the teller may order.
test('an owner that follows a short one waits for the one before both', async () => {
  const makeSteps = (waitMs: number) => [
    makeStep(CUT_SECOND, 1_200),
    makeStep(STOP_OWNER, 15),
    makeStep(makeIsland('owner', true), 200),
    makeStep(STOP_OWNER, waitMs),
    makeStep(makeIsland('marked', false), 5),
    makeStep(QUICK_RESTART, 3_000),
  ];
  await checkSeries(listCases([6, 8, 12, 13], [220, 300]), makeSteps, SMALL_POOL);
});

// Guards against an owner that has not written the metadata as the proof for the one that has.
test('an instance that knows nothing of its claim does not answer for the owner before it', async () => {
  const makeSteps = (waitMs: number) => [
    makeStep({ kind: 'lose-claim', afterMs: 4_000 }, 1),
    makeStep(STOP_OWNER, 6),
    makeStep(makeIsland('owner', false), waitMs),
    makeStep({ kind: 'stop', who: 'claimant' }, 4_000),
  ];
  await checkSeries(listCases([1, 4, 6, 9], [280, 400]), makeSteps, { instances: 3 });
});

// Guards against a hand-over of an instance that had the pool before the owner that may still order.
test('the hand-over of an earlier time of an instance does not count for the owner since', async () => {
  const makeSteps = (waitMs: number) => [
    makeStep({ kind: 'cut', who: 'owner', store: 'lost', peers: 'none', afterMs: 3_000 }, 5_000),
    makeStep({ kind: 'lose-claim', afterMs: 4_000 }, 1),
    makeStep(STOP_OWNER, 6),
    makeStep(makeIsland('owner', false), waitMs),
    makeStep({ kind: 'stop', who: 'claimant' }, 4_000),
  ];
  await checkSeries(listCases([5, 7, 15], [700]), makeSteps, { instances: 3 });
});

// Guards against waits for the lease of a worker without calls that are too short over two owners.
test('the lease of a worker without calls is waited for over two owners', async () => {
  const makeSteps = (waitMs: number) => [
    makeStep({ kind: 'worker-cut', worker: 0, lost: 'orders', afterMs: 12_000 }, waitMs),
    makeStep(STOP_OWNER, 600),
    makeStep(STOP_OWNER, 5_000),
  ];
  await checkSeries(listCases([1, 2, 3], [100, 900]), makeSteps, SMALL_POOL);
});

// Guards against an owner that loads for longer than leases last, and starts again what is done.
test('an owner that has loaded late calls the workers before it starts anything there', async () => {
  const makeSteps = (loadMs: number) => [
    makeStep({ kind: 'slow-loads', loadMs }, 300),
    makeStep({ kind: 'none' }, 200),
    makeStep(STOP_OWNER, loadMs + 3_000),
  ];
  const cases = [...listCases([2, 4, 8, 11], [8_000]), ...listCases([1, 9], [7_500])];
  await checkSeries(cases, makeSteps, { instances: 3, jobs: 1 }, true);
});

// Guards against a renewal whose ends are those of a worker's earlier incarnation, which number anew.
test('a worker that has started again keeps the ends that its earlier incarnation numbered', async () => {
  const makeSteps = (waitMs: number) => [
    makeStep({ kind: 'none' }, 885),
    makeStep({ kind: 'restart', worker: 0, afterMs: 107, entryMs: 737 }, waitMs),
    makeStep({ kind: 'none' }, 641),
  ];
  await checkSeries(listCases([1, 2, 3], [379]), makeSteps, { jobs: 3 });
});

test('no task runs twice over a chain of owners of which one still reaches a worker', async () => {
  await checkRandom(chains, CHAIN_CASES, 2);
});

test('no task runs twice, whatever instances stop, die, freeze or are cut off', async () => {
  await checkRandom(mixedSteps, MIXED_CASES, 3);
});

test.run();
