/**
 * State-machine test of cancels beside submissions that are held up anywhere: in an instance that does
 * not read them yet, on the way to a planner, or at one that was superseded. A job whose cancel was
 * confirmed does not go on, whichever arrives first.
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
const MAX_HELD_MS = 4_000;

const heldMs = fc.oneof(fc.constant(0), fc.integer({ min: 1, max: MAX_HELD_MS }));
const submits = fc.record({
  kind: fc.constant('submit' as const),
  id: drawnId,
  instance: drawnInstance,
  heldMs,
});
const cancels = fc.record({
  kind: fc.constant('cancel' as const),
  id: drawnId,
  instance: drawnInstance,
});
const supersessions = fc.record({
  kind: fc.constant('supersede' as const),
  pool: drawnPool,
  knownAfterMs: fc.integer({ min: 1, max: 1_500 }),
});
const delays = fc.record({
  kind: fc.constant('delay' as const),
  pool: drawnPool,
  delayMs: fc.constantFrom(0, 300, 1_500),
});
const steps = makeTimedSteps(
  [
    { weight: 6, arbitrary: submits },
    { weight: 6, arbitrary: cancels },
    { weight: 4, arbitrary: makePublishes(drawnPool, MAX_HELD_MS) },
  ],
  [takeOvers, supersessions, delays, restarts, cleans],
);

const test = suite('cancelled jobs machine');

// Guards against a job that starts after its cancel was confirmed, as its submission arrives late.
test('a job whose cancel was confirmed does not go on, however late its submission arrives', async () => {
  await checkCases(steps, { numRuns: CASES, seed: SEED });
});

// Guards against a cancel that is confirmed by a pool that the job's queue is not sent to any more.
test('a cancel at an instance with an older configuration is not confirmed beside a job', async () => {
  const publish = { kind: 'publish', pool: 'kilns', delaysMs: [1, 1, 5_000] } as const;
  const violations = await runCase(5, [
    { step: publish, waitMs: 700 },
    { step: { kind: 'submit', id: 'a', instance: 0 }, waitMs: 400 },
    { step: { kind: 'cancel', id: 'a', instance: 2 }, waitMs: 300 },
  ]);
  assert.equal(violations, []);
});

// Guards against a cancel that is confirmed without a pool that the instance learns of meanwhile.
test('a cancel during the recording of a version is not confirmed beside a job', async () => {
  const toKilns = { kind: 'publish', pool: 'kilns', delaysMs: [1, 1, 5_000] } as const;
  const toStalls = { kind: 'publish', pool: 'stalls', delaysMs: [1, 1, 1] } as const;
  const violations: string[] = [];
  for (let waitMs = 20; waitMs < 180; waitMs += 10) {
    const found = await runCase(waitMs, [
      { step: toKilns, waitMs: 700 },
      { step: { kind: 'submit', id: 'a', instance: 0 }, waitMs: 400 },
      { step: toStalls, waitMs },
      { step: { kind: 'cancel', id: 'a', instance: 2 }, waitMs: 300 },
    ]);
    violations.push(...found);
  }
  assert.equal(violations, []);
});

test.run();
