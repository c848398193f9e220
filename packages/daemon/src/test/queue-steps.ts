/** Draws of the steps of a queue simulation, which the state machines of queues weigh and play. */
import fc from 'fast-check';
import * as assert from 'uvu/assert';
import { INSTANCES, JOB_IDS, POOLS, runCase, type Step } from './queue-simulation.js';
import type { TimedStep } from './run-steps.js';

/** A pool, an instance and the id of a job, each drawn evenly. */
export const drawnPool = fc.constantFrom(...POOLS);
export const drawnInstance = fc.integer({ min: 0, max: INSTANCES - 1 });
export const drawnId = fc.constantFrom(...JOB_IDS);

/** Draws a publication that sends the queue to a pool and that each instance learns of in time. */
export const makePublishes = <Pool>(to: fc.Arbitrary<Pool>, maxDelayMs: number) =>
  fc.record({
    kind: fc.constant('publish' as const),
    pool: to,
    delaysMs: fc.array(fc.integer({ min: 1, max: maxDelayMs }), {
      minLength: INSTANCES,
      maxLength: INSTANCES,
    }),
  });

export const takeOvers = fc.record({
  kind: fc.constant('take-over' as const),
  pool: drawnPool,
  downMs: fc.integer({ min: 1, max: 400 }),
});
export const restarts = fc.record({
  kind: fc.constant('restart' as const),
  instance: drawnInstance,
});
export const cleans = fc.constant({ kind: 'clean' } as const);

/** Draws 4 to 16 steps, the weighted ones and others of weight 1, and the times after them. */
export const makeTimedSteps = (
  weighted: readonly fc.WeightedArbitrary<Step>[],
  others: readonly fc.Arbitrary<Step>[],
): fc.Arbitrary<TimedStep<Step>[]> =>
  fc.array(
    fc.record({
      step: fc.oneof(...weighted, ...others.map((arbitrary) => ({ weight: 1, arbitrary }))),
      waitMs: fc.oneof(fc.integer({ min: 1, max: 60 }), fc.integer({ min: 1, max: 900 })),
    }),
    { minLength: 4, maxLength: 16 },
  );

/** Checks that none of as many drawn cases, each with a drawn seed, violates a rule. */
export const checkCases = async (
  steps: fc.Arbitrary<TimedStep<Step>[]>,
  options: { readonly numRuns: number; readonly seed: number },
): Promise<void> => {
  const property = fc.asyncProperty(fc.integer({ min: 1, max: 1e6 }), steps, async (seed, list) =>
    assert.equal(await runCase(seed, list), []),
  );
  await fc.assert(property, { ...options, endOnFailure: true });
};
