/**
 * State-machine test of a pool's planner: draws crashes and restarts of workers, cuts, late notices of
 * ends and take-overs. No task may run twice at once, and a worker that responds must be used again.
 */
import fc from 'fast-check';
import * as assert from 'uvu/assert';
import { suite } from 'uvu';
import { runCase, SECOND_MS, WORKER_IDS, type Fault, type Step } from './double-run-simulation.js';

const SEED = 20_261_204;
const CASES = 120;

const worker = fc.constantFrom<0 | 1>(0, 1);
const briefMs = fc.integer({ min: 1, max: 2_500 });
const restarts = fc.record({ kind: fc.constant('restart' as const), worker, afterMs: briefMs });
const cuts = fc.record({
  kind: fc.constant('cut' as const),
  worker,
  lost: fc.constantFrom('orders' as const, 'answers' as const),
  afterMs: fc.integer({ min: 200, max: 6_000 }),
});
const takeOvers = fc.record({
  kind: fc.constant('take-over' as const),
  afterMs: fc.integer({ min: 1, max: 300 }),
  lapseMs: fc.integer({ min: 0, max: 1_500 }),
});
const otherFaults: readonly fc.Arbitrary<Fault>[] = [
  fc.record({ kind: fc.constant('notice' as const), worker, afterMs: briefMs }),
  fc.record({ kind: fc.constant('unlist' as const), worker, afterMs: briefMs }),
  fc.record({ kind: fc.constant('lapse' as const), afterMs: briefMs }),
  fc.constant({ kind: 'submit' } as const),
  fc.constant({ kind: 'none' } as const),
];
const makeSteps = (...faults: readonly fc.Arbitrary<Fault>[]): fc.Arbitrary<readonly Step[]> => {
  const fault = fc.oneof(...faults, ...otherFaults);
  const waitMs = fc.integer({ min: 1, max: 1_200 });
  return fc.array(fc.record({ fault, waitMs }), { minLength: 4, maxLength: 14 });
};
const steps = fc.oneof(
  makeSteps(restarts, cuts),
  makeSteps(restarts, takeOvers),
  makeSteps(cuts, takeOvers),
  makeSteps(restarts, cuts, takeOvers),
);

const test = suite('double run machine');

test('no task runs twice at once, and a worker that responds is used again', async () => {
  const property = fc.asyncProperty(fc.integer({ min: 1, max: 1e6 }), steps, async (seed, list) =>
    assert.equal(await runCase(seed, list), []),
  );
  await fc.assert(property, { numRuns: CASES, seed: SEED, endOnFailure: true });
});

// Guards against a task that runs twice: a worker that has started again takes a start for its own,
// holds it for 10 s by its old clock and answers nothing, while planners take over from each other.
test('a task of a worker that restarted and is cut off runs nowhere else after a take-over', async () => {
  const takeOver: Step = { fault: { kind: 'take-over', afterMs: 20, lapseMs: 0 }, waitMs: 6_000 };
  for (const number of [0, 1] as const) {
    for (const beforeCutMs of [60, 90, 200, 500]) {
      const list: readonly Step[] = [
        { fault: { kind: 'none' }, waitMs: 8 * SECOND_MS },
        { fault: { kind: 'restart', worker: number, afterMs: 5 }, waitMs: 10 },
        { fault: { kind: 'submit-long' }, waitMs: beforeCutMs },
        { fault: { kind: 'cut', worker: number, lost: 'orders', afterMs: 7_000 }, waitMs: 1 },
        takeOver,
      ];
      for (const seed of [1, 2, 3]) {
        const what = `${WORKER_IDS[number]}, seed ${seed}, cut after ${beforeCutMs} ms`;
        assert.equal(await runCase(seed, list), [], what);
      }
    }
  }
});

test.run();
