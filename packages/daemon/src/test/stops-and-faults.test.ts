/** Drawn series of stops, kills and faults of workers, in a simulation of whole instances. */
import fc from 'fast-check';
import * as assert from 'uvu/assert';
import { suite } from 'uvu';
import { createInstanceSimulation } from './instance-simulation.js';
import { waitFor } from './memory-store.js';
import { createMovingClock } from './moving-clock.js';
import { CLAIM_MS, GAP_LIMIT_MS, INSTANCES } from './stop-series.js';

const SAFETY_SEED = 20_261_206;
const SAFETY_CASES = 30;
const SAFETY_JOBS = 12;

type Fault =
  | { readonly kind: 'stop' | 'kill'; readonly instance: number }
  | {
      readonly kind: 'cut';
      readonly worker: number;
      readonly lost: 'orders' | 'answers';
      readonly afterMs: number;
    }
  | { readonly kind: 'restart'; readonly worker: number; readonly afterMs: number };

interface Step {
  readonly fault: Fault;
  readonly waitMs: number;
}

const applyFault = async (
  simulation: ReturnType<typeof createInstanceSimulation>,
  fault: Fault,
): Promise<void> => {
  switch (fault.kind) {
    case 'stop':
      await simulation.stopInstance(fault.instance);
      return;
    case 'kill':
      await simulation.killInstance(fault.instance);
      return;
    case 'cut':
      simulation.places.setLost(fault.worker, fault.lost);
      await waitFor(fault.afterMs);
      simulation.places.setLost(fault.worker, 'none');
      return;
    case 'restart':
      await simulation.places.restart(fault.worker, fault.afterMs);
      return;
    default:
      fault satisfies never;
  }
};

/** Runs a series of faults and returns what was violated. */
const runFaults = async (seed: number, steps: readonly Step[]): Promise<readonly string[]> => {
  const clock = createMovingClock();
  try {
    const simulation = createInstanceSimulation({ seed });
    await clock.tickAsync(CLAIM_MS);
    void simulation.submitLasting(SAFETY_JOBS);
    await clock.tickAsync(CLAIM_MS);
    for (const { fault, waitMs } of steps) {
      void simulation.submitBatch();
      void applyFault(simulation, fault);
      await clock.tickAsync(waitMs);
    }
    await clock.tickAsync(GAP_LIMIT_MS);
    simulation.close();
    return simulation.violations;
  } finally {
    clock.uninstall();
  }
};

const instance = fc.constantFrom(...INSTANCES);
const worker = fc.nat({ max: 11 });
const stops = fc.record({ kind: fc.constant('stop' as const), instance });
const kills = fc.record({ kind: fc.constant('kill' as const), instance });
const cuts = fc.record({
  kind: fc.constant('cut' as const),
  worker,
  lost: fc.constantFrom('orders' as const, 'answers' as const),
  afterMs: fc.integer({ min: 200, max: 7_000 }),
});
const restarts = fc.record({
  kind: fc.constant('restart' as const),
  worker,
  afterMs: fc.integer({ min: 1, max: 2_500 }),
});
const listOfSteps = fc.array(
  fc.record({
    fault: fc.oneof(
      { arbitrary: stops, weight: 3 },
      { arbitrary: kills, weight: 1 },
      { arbitrary: cuts, weight: 1 },
      { arbitrary: restarts, weight: 1 },
    ),
    waitMs: fc.integer({ min: 1, max: 1_800 }),
  }),
  { minLength: 4, maxLength: 14 },
);
const test = suite('stops and faults');

// Guards against a task that runs twice because a planner took too little to wait for.
test('no task runs twice at once, whatever instances stop or die and workers miss', async () => {
  const property = fc.asyncProperty(
    fc.integer({ min: 1, max: 1e6 }),
    listOfSteps,
    async (seed, steps) => assert.equal(await runFaults(seed, steps), []),
  );
  await fc.assert(property, { numRuns: SAFETY_CASES, seed: SAFETY_SEED, endOnFailure: true });
});

test.run();
