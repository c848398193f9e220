/**
 * State-machine test of queues that configurations send from pool to pool: instances learn of each
 * version at different times, callers repeat their submissions at any of them, and planners take over
 * from each other. A job lives in one pool, and no instance that knows the newest version says that
 * it does not exist.
 */
import fc from 'fast-check';
import * as assert from 'uvu/assert';
import { suite } from 'uvu';
import { runCase } from './queue-simulation.js';
import {
  checkCases,
  cleans,
  drawnId,
  drawnInstance,
  drawnPool,
  makePublishes,
  makeTimedSteps,
  restarts,
  takeOvers,
} from './queue-steps.js';

const SEED = 20_261_205;
const CASES = 150;
const MAX_DELAY_MS = 900;
const poolOrNone = fc.oneof(
  { weight: 4, arbitrary: drawnPool },
  { weight: 1, arbitrary: fc.constant(undefined) },
);
const submits = fc.record({
  kind: fc.constant('submit' as const),
  id: drawnId,
  instance: drawnInstance,
});
const asks = fc.record({ kind: fc.constant('ask' as const), id: drawnId, instance: drawnInstance });
const steps = makeTimedSteps(
  [
    { weight: 6, arbitrary: submits },
    { weight: 4, arbitrary: makePublishes(poolOrNone, MAX_DELAY_MS) },
    { weight: 3, arbitrary: asks },
  ],
  [takeOvers, restarts, cleans],
);

const test = suite('queue moves machine');

// Guards against a job that is accepted in two pools, and one that is lost as its queue has moved.
test('a job lives in one pool, and is found there wherever its queue is sent', async () => {
  await checkCases(steps, { numRuns: CASES, seed: SEED });
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
