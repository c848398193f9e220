/** Replays of lasting tasks that wait for a worker, beside batch jobs that must not wait. */
import * as assert from 'uvu/assert';
import { suite } from 'uvu';
import type { StepSpec } from '../../lib/jobs/spec.js';
import { makeEntry, makeJob, makeStep } from './planner-harness.js';
import { createPoolSimulation } from './pool-simulation.js';
import {
  decideEnd,
  GOOD_POLICY,
  makeWorkers,
  MAX_WAIT_MS,
  measureLongestWait,
  SECOND_MS,
  type Simulation,
} from './queue-load.js';

const test = suite('reservations');

const runBesideLastingSteps = (
  steps: readonly StepSpec[],
  prepare: (simulation: Simulation) => void = () => {},
) => {
  const simulation = createPoolSimulation({ workers: makeWorkers(3), decideEnd });
  prepare(simulation);
  simulation.runUntil(SECOND_MS);
  steps.forEach((step, index) => {
    simulation.submit(makeJob(`lasting${index}`, [step], { route: 'r-lasting' }));
  });
  return measureLongestWait(simulation, 2 * SECOND_MS, 60 * SECOND_MS);
};

test('lasting steps whose label no worker has leave no queue standing', () => {
  const step = makeStep({ isLasting: true, requiredLabel: 'z' });
  const waitMs = runBesideLastingSteps([step, step, step]);
  assert.ok(waitMs < MAX_WAIT_MS, `a job waited ${waitMs} ms`);
});

test('lasting steps that need more workers than there are leave no queue standing', () => {
  const size = { cores: 0.2, memoryMb: 10, accelerators: 0 };
  const step = makeStep({ isLasting: true, count: 4, maxPerWorker: 1, size });
  const waitMs = runBesideLastingSteps([step, step, step]);
  assert.ok(waitMs < MAX_WAIT_MS, `a job waited ${waitMs} ms`);
});

/** Measures the wait of good jobs beside long batch tasks and a lasting task that waits for them. */
const measureBesideLongTasks = (
  workerCount: number,
  handleRound: (simulation: Simulation, atMs: number) => void = () => {},
) => {
  const simulation = createPoolSimulation({ workers: makeWorkers(workerCount), decideEnd });
  const longSize = { cores: 1.5, memoryMb: 100, accelerators: 0 };
  const long = makeStep({ count: workerCount, maxPerWorker: 1, size: longSize });
  simulation.submit(makeJob('long', [long]));
  simulation.runUntil(SECOND_MS);
  const size = { cores: 3, memoryMb: 100, accelerators: 0 };
  simulation.submit(makeJob('lasting', [makeStep({ isLasting: true, size })]));
  return measureLongestWait(simulation, 2 * SECOND_MS, 40 * SECOND_MS, {
    handleRound: (atMs) => handleRound(simulation, atMs),
  });
};

test('a lasting task that waits for the only worker leaves no queue standing', () => {
  const waitMs = measureBesideLongTasks(1);
  assert.ok(waitMs < MAX_WAIT_MS, `a job waited ${waitMs} ms`);
});

test('a lasting task leaves no queue standing while all workers but one are evacuated', () => {
  const waitMs = measureBesideLongTasks(4, ({ harness: { planner, at } }, atMs) =>
    ['w', 'w-', 'w--'].forEach((id) => void planner.evacuate(id, at(atMs))),
  );
  assert.ok(waitMs < MAX_WAIT_MS, `a job waited ${waitMs} ms`);
});

test('lasting steps larger than any worker leave no queue standing', () => {
  const step = makeStep({ isLasting: true, size: { cores: 6, memoryMb: 100, accelerators: 0 } });
  const large = makeEntry('large', {
    capacity: { cores: 8, memoryMb: 1000, accelerators: 0 },
    phase: 'draining',
  });
  const simulation = createPoolSimulation({ workers: [...makeWorkers(3), large], decideEnd });
  simulation.runUntil(SECOND_MS);
  [0, 1, 2].forEach((index) => simulation.submit(makeJob(`lasting${index}`, [step])));
  simulation.setWorkers(makeWorkers(3));
  const waitMs = measureLongestWait(simulation, 2 * SECOND_MS, 60 * SECOND_MS);
  assert.ok(waitMs < MAX_WAIT_MS, `a job waited ${waitMs} ms`);
});

test('lasting steps without memory beside other lasting tasks leave no queue standing', () => {
  const resident = makeStep({
    isLasting: true,
    count: 3,
    maxPerWorker: 1,
    size: { cores: 1, memoryMb: 600, accelerators: 0 },
  });
  const step = makeStep({ isLasting: true, size: { cores: 1, memoryMb: 600, accelerators: 0 } });
  const waitMs = runBesideLastingSteps([step, step, step], (simulation) =>
    simulation.submit(makeJob('lasting-resident', [resident])),
  );
  assert.ok(waitMs < MAX_WAIT_MS, `a job waited ${waitMs} ms`);
});

test('lasting steps that wait for long batch tasks leave no queue standing', () => {
  const simulation = createPoolSimulation({
    workers: makeWorkers(4),
    decideEnd: (start) =>
      start.jobId.startsWith('long') ? { how: 'done', afterMs: 60 * SECOND_MS } : decideEnd(start),
  });
  const long = makeStep({ count: 4, size: { cores: 3, memoryMb: 100, accelerators: 0 } });
  simulation.submit(makeJob('long', [long]));
  simulation.runUntil(SECOND_MS);
  const step = makeStep({ isLasting: true, size: { cores: 4, memoryMb: 100, accelerators: 0 } });
  [0, 1, 2, 3].forEach((index) => simulation.submit(makeJob(`lasting${index}`, [step])));
  const waitMs = measureLongestWait(simulation, 2 * SECOND_MS, 50 * SECOND_MS);
  assert.ok(waitMs < MAX_WAIT_MS, `a job waited ${waitMs} ms`);
});

test('a large lasting task does not starve behind small batch tasks', () => {
  let batchStarts = 0;
  const simulation = createPoolSimulation({
    workers: makeWorkers(3),
    decideEnd: (start) => {
      batchStarts += 1;
      const end = decideEnd(start);
      return end === undefined ? undefined : { ...end, afterMs: 200 + ((batchStarts * 37) % 300) };
    },
  });
  const submitBatch = (index: number) =>
    simulation.submit(makeJob(`good${index}`, [makeStep({ count: 8 })]), GOOD_POLICY);
  for (let index = 0; index < 10; index += 1) submitBatch(index);
  simulation.runUntil(SECOND_MS);
  const steps = [makeStep({ isLasting: true, size: { cores: 4, memoryMb: 100, accelerators: 0 } })];
  [0, 1].forEach((index) => simulation.submit(makeJob(`lasting${index}`, steps)));
  for (let index = 10; index < 40; index += 1) {
    submitBatch(index);
    simulation.runUntil(index * 100);
  }
  const startsMs = [0, 1].map((index) => simulation.getFirstStartMs(`lasting${index}`) ?? Infinity);
  assert.ok(Math.max(...startsMs) < 3 * SECOND_MS, `started at ${startsMs.join(' and ')} ms`);
});

test.run();
