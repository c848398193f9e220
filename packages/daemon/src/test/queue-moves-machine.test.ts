/**
 * State-machine test of queues that configurations send from pool to pool: instances learn of each
 * version at different times, callers repeat their submissions at any of them, and planners take over
 * from each other. A job lives in one pool, and no instance that knows the newest version says that
 * it does not exist.
 */
import fc from 'fast-check';
import * as assert from 'uvu/assert';
import { suite } from 'uvu';
import { INSTANCES, JOB_IDS, POOLS, runCase, type Step } from './queue-simulation.js';

const SEED = 20_261_205;
const CASES = 150;

const pool = fc.constantFrom(...POOLS);
const instance = fc.integer({ min: 0, max: INSTANCES - 1 });
const submits = fc.record({
  kind: fc.constant('submit' as const),
  id: fc.constantFrom(...JOB_IDS),
  instance,
});
const publishes = fc.record({
  kind: fc.constant('publish' as const),
  pool: fc.oneof({ weight: 4, arbitrary: pool }, { weight: 1, arbitrary: fc.constant(undefined) }),
  delaysMs: fc.array(fc.integer({ min: 1, max: 900 }), {
    minLength: INSTANCES,
    maxLength: INSTANCES,
  }),
});
const asks = fc.record({
  kind: fc.constant('ask' as const),
  id: fc.constantFrom(...JOB_IDS),
  instance,
});
const others: readonly fc.Arbitrary<Step>[] = [
  fc.record({
    kind: fc.constant('take-over' as const),
    pool,
    downMs: fc.integer({ min: 1, max: 400 }),
  }),
  fc.record({ kind: fc.constant('restart' as const), instance }),
  fc.constant({ kind: 'clean' } as const),
];
const steps = fc.array(
  fc.record({
    step: fc.oneof(
      { weight: 6, arbitrary: submits },
      { weight: 4, arbitrary: publishes },
      { weight: 3, arbitrary: asks },
      ...others.map((arbitrary) => ({ weight: 1, arbitrary })),
    ),
    waitMs: fc.oneof(fc.integer({ min: 1, max: 60 }), fc.integer({ min: 1, max: 900 })),
  }),
  { minLength: 4, maxLength: 16 },
);

const test = suite('queue moves machine');

// Guards against a job that is accepted in two pools, and one that is lost as its queue has moved.
test('a job lives in one pool, and is found there wherever its queue is sent', async () => {
  const property = fc.asyncProperty(fc.integer({ min: 1, max: 1e6 }), steps, async (seed, list) =>
    assert.equal(await runCase(seed, list), []),
  );
  await fc.assert(property, { numRuns: CASES, seed: SEED, endOnFailure: true });
});

// Guards against a 410 for an accepted job from an instance that does not have its version yet.
test('an instance behind does not say that a job does not exist that another pool accepted', async () => {
  const found = await runCase(1, [
    { step: { kind: 'publish', pool: 'kilns', delaysMs: [900, 5, 5] }, waitMs: 100 },
    { step: { kind: 'submit', id: 'a', instance: 1 }, waitMs: 400 },
    { step: { kind: 'ask', id: 'a', instance: 0 }, waitMs: 200 },
  ]);
  assert.equal(found, []);
});

test.run();
