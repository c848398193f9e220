/**
 * State-machine test of a pool's planners and cancelled jobs: two workers carry orders out late
 * without an answer, start again under their ids and are cut off, while planners take over from each
 * other. After a cancel was acknowledged no start of its job may be sent, what runs has to end, and
 * each start has its job's payload and a checkpoint of its own task or gang. No member of a gang may
 * wait in vain for one whose start was only refused.
 */
import { install } from '@sinonjs/fake-timers';
import fc from 'fast-check';
import * as assert from 'uvu/assert';
import { suite } from 'uvu';
import {
  createSimulation,
  JOB_KINDS,
  SECOND_MS,
  type Fault,
  type Harm,
  type Step,
} from './late-orders-simulation.js';

const SEED = 20_261_206;
const CASES = 120;

const worker = fc.constantFrom<0 | 1>(0, 1);
const fault: fc.Arbitrary<Fault> = fc.oneof(
  fc.record({
    kind: fc.constant('restart' as const),
    worker,
    afterMs: fc.integer({ min: 1, max: 1_500 }),
  }),
  fc.record({
    kind: fc.constant('harm' as const),
    worker,
    orders: fc.constantFrom<Harm>('lost', 'unanswered', 'late', 'refused', 'refused'),
    afterMs: fc.integer({ min: 100, max: 5_000 }),
  }),
  fc.constant({ kind: 'take-over' } as const),
  fc.record({
    kind: fc.constant('late-starts' as const),
    job: fc.constantFrom(...JOB_KINDS),
    cancelMs: fc.integer({ min: 20, max: 1_000 }),
  }),
  fc.record({ kind: fc.constant('submit' as const), job: fc.constantFrom(...JOB_KINDS) }),
  fc.record({ kind: fc.constant('cancel' as const), job: fc.nat({ max: 9 }) }),
  fc.record({ kind: fc.constant('cancel' as const), job: fc.nat({ max: 9 }) }),
);
const steps = fc.array(fc.record({ fault, waitMs: fc.integer({ min: 1, max: 1_200 }) }), {
  minLength: 4,
  maxLength: 14,
});

const total = { starts: 0, lateStarts: 0, resumed: 0 };

/** Runs a case and returns what was violated. */
const runCase = async (seed: number, list: readonly Step[]): Promise<readonly string[]> => {
  const clock = install({ now: 0 });
  try {
    const simulation = createSimulation(seed);
    await clock.tickAsync(2 * SECOND_MS);
    JOB_KINDS.forEach((kind) => void simulation.submit(kind));
    await clock.tickAsync(SECOND_MS);
    for (const { fault: next, waitMs } of list) {
      void simulation.applyFault(next);
      await clock.tickAsync(waitMs);
    }
    await clock.tickAsync(10 * SECOND_MS);
    void simulation.cancelAll();
    await clock.tickAsync(10 * SECOND_MS);
    simulation.stop();
    const { starts, lateStarts, resumed } = simulation.counts;
    total.starts += starts;
    total.lateStarts += lateStarts;
    total.resumed += resumed;
    const left = simulation.countRuns();
    return [...simulation.violations, ...(left === 0 ? [] : [`${left} runs are left`])];
  } finally {
    clock.uninstall();
  }
};

const test = suite('late orders machine');

// Guards against starts that nobody asked for, and against checkpoints of other tasks.
test('nothing of a cancelled job starts, and starts have their own payload and checkpoint', async () => {
  const property = fc.asyncProperty(fc.integer({ min: 1, max: 1e6 }), steps, async (seed, list) =>
    assert.equal(await runCase(seed, list), []),
  );
  await fc.assert(property, { numRuns: CASES, seed: SEED, endOnFailure: true });
  assert.ok(total.lateStarts > 0, 'some starts were carried out after the cancel');
  assert.ok(total.resumed > 0, 'some starts had a checkpoint');
});

test.run();
