/** Tests that batch tasks of minutes go on: their progress, in whole percent, rises seldom. */
import * as assert from 'uvu/assert';
import { suite } from 'uvu';
import { makeWorkers } from './crashes/crash-scenes.js';
import { makeJob, makeStep } from './planner-harness.js';
import { createPoolSimulation } from './pool-simulation.js';

const MINUTE_MS = 60_000;

const test = suite('long tasks');

/** Runs a job of two tasks, and returns its state and the number of starts after some time. */
const runJob = (durationMs: number, estimateMs: number, untilMs: number) => {
  const simulation = createPoolSimulation({
    workers: makeWorkers(2),
    decideEnd: () => ({ how: 'done', afterMs: durationMs }),
  });
  simulation.submit(makeJob('a', [makeStep({ count: 2, estimateMs })]));
  simulation.runUntil(untilMs);
  return {
    status: simulation.harness.planner.getJobStatus('a'),
    starts: simulation.starts.length,
  };
};

// Guards against a job that never ends, as its tasks are stopped as stalled again and again.
test('a task of ten minutes that is estimated as such runs once', () => {
  const expected = { status: 'completed', starts: 2 };
  assert.equal(runJob(10 * MINUTE_MS, 10 * MINUTE_MS, 10.5 * MINUTE_MS), expected);
});

test('a task that takes many times its estimate is stopped a few times at most', () => {
  const { status, starts } = runJob(5 * MINUTE_MS, 1_000, 6 * MINUTE_MS);
  assert.is(status, 'completed');
  assert.ok(starts <= 8, `${starts} starts`);
});

test.run();
