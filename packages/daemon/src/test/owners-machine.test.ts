/**
 * Random faults of the owners of a pool: instances are stopped, killed, cut off and frozen, and
 * workers are cut off and start again, mostly while several owners follow each other within seconds.
 */
import fc from 'fast-check';
import * as assert from 'uvu/assert';
import { suite } from 'uvu';
import { runOwnerFaults, type OwnerFault, type OwnerStep } from './owner-faults.js';

const SEED = 20_261_207;
const CHAIN_CASES = Number(process.env.CHAINS ?? 60);
const MIXED_CASES = Number(process.env.MIXED ?? 40);

const who = fc.constantFrom('owner' as const, 'marked' as const, 0, 1, 2, 3);
const worker = fc.nat({ max: 2 });
const stores = fc.constantFrom('open', 'lost', 'unanswered', 'late') as fc.Arbitrary<
  'open' | 'lost' | 'unanswered' | 'late'
>;
const peers = fc.constantFrom('open', 'none', 'outgoing-lost', 'incoming-lost') as fc.Arbitrary<
  'open' | 'none' | 'outgoing-lost' | 'incoming-lost'
>;
const pickMs = (min: number, max: number) => fc.integer({ min, max });
const restarts = fc.record({
  kind: fc.constant('restart' as const),
  worker,
  afterMs: pickMs(1, 600),
});
const cuts = fc.record({
  kind: fc.constant('cut' as const),
  who,
  store: stores,
  peers,
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
      { arbitrary: restarts, weight: 3 },
    ),
    1,
    900,
  ),
  { minLength: 4, maxLength: 14 },
);

/** An owner that leaves or freezes, and is cut off while it goes on. */
const chainStarts = fc.tuple(
  addWait(
    fc.oneof(
      { arbitrary: fc.constant({ kind: 'stop', who: 'owner' } as const), weight: 4 },
      { arbitrary: fc.constant({ kind: 'none' } as const), weight: 1 },
    ),
    1,
    60,
  ),
  worker,
  fc.boolean(),
  pickMs(1, 400),
);

/** One owner is cut off but for a worker, which starts again while others take over in turn. */
const chains = fc
  .tuple(
    chainStarts,
    fc.array(
      addWait(
        fc.oneof(
          { arbitrary: fc.constant({ kind: 'stop', who: 'owner' } as const), weight: 5 },
          { arbitrary: fc.constant({ kind: 'kill', who: 'owner' } as const), weight: 1 },
          {
            arbitrary: fc.constant({
              kind: 'freeze',
              who: 'owner',
              afterMs: 1_500,
              isClockStanding: false,
            } as const),
            weight: 1,
          },
          { arbitrary: restarts, weight: 3 },
        ),
        1,
        500,
      ),
      { minLength: 3, maxLength: 9 },
    ),
  )
  .map(([[start, only, isShared, waitMs], steps]): readonly OwnerStep[] => [
    start,
    { fault: { kind: 'island', who: 'owner', worker: only, isShared, afterMs: 4_000 }, waitMs },
    ...steps.map((step) =>
      step.fault.kind === 'restart' ? { ...step, fault: { ...step.fault, worker: only } } : step,
    ),
  ]);

const seeds = pickMs(1, 1e6);
const check = async (steps: fc.Arbitrary<readonly OwnerStep[]>, numRuns: number) => {
  const property = fc.asyncProperty(seeds, steps, async (seed, listed) => {
    const { violations } = await runOwnerFaults({ seed, steps: listed });
    assert.equal(violations, []);
  });
  await fc.assert(property, {
    numRuns,
    seed: Number(process.env.SEED ?? SEED),
    endOnFailure: true,
  });
};

const test = suite('owners');

test('no task runs twice over a chain of owners of which one still reaches a worker', async () => {
  await check(chains, CHAIN_CASES);
});

test('no task runs twice, whatever instances stop, die, freeze or are cut off', async () => {
  await check(mixedSteps, MIXED_CASES);
});

test.run();
