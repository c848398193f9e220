/** Replays of a full pool, in which a plan must look only at what has changed. */
import fc from 'fast-check';
import * as assert from 'uvu/assert';
import { suite } from 'uvu';
import type { WorkerEntry } from '../../lib/ports/task-workers.js';
import {
  createHarness,
  makeEnd,
  makeEntry,
  makeJob,
  makeRow,
  makeStep,
} from './planner-harness.js';
import { createPoolSimulation } from './pool-simulation.js';

const test = suite('plans over changes');

const WORKERS = 200;
const WAITING_JOBS = 80;
const TASKS_PER_JOB = 16;

/** Makes workers that count how often their capacity is read. */
const makeCountingEntries = (count: number) => {
  let reads = 0;
  const entries = Array.from({ length: count }, (_, index): WorkerEntry => {
    const entry = makeEntry(`w${index}`);
    const { capacity } = entry;
    return Object.defineProperty({ ...entry }, 'capacity', {
      enumerable: true,
      get: () => {
        reads += 1;
        return capacity;
      },
    });
  });
  return {
    entries,
    takeReads: () => {
      const taken = reads;
      reads = 0;
      return taken;
    },
  };
};

/** Fills a pool with long tasks and queues jobs that fit nowhere. */
const createFullPool = () => {
  const harness = createHarness();
  const counting = makeCountingEntries(WORKERS);
  harness.addWorkers(0, ...counting.entries);
  harness.submit(makeJob('long', [makeStep({ count: 4 * WORKERS })]), 1);
  const starts = harness.planStarts(2);
  harness.accept(starts, 3);
  for (let index = 0; index < WAITING_JOBS; index += 1) {
    harness.submit(makeJob(`waiting${index}`, [makeStep({ count: TASKS_PER_JOB })]), 4);
  }
  harness.planStarts(5);
  counting.takeReads();
  return { ...harness, ...counting, starts };
};

test('a plan in a full pool with an unchanged queue looks at no worker that has not changed', () => {
  const { starts, report, planStarts, takeReads } = createFullPool();
  assert.is(starts.length, 4 * WORKERS);
  const [first] = starts;
  const running = starts
    .filter(({ worker }) => worker.id === first!.worker.id)
    .map(({ taskKey }) => makeRow(taskKey, 1));
  report(first!.worker.id, 20, running);
  takeReads();
  assert.equal(planStarts(21), []);
  assert.ok(takeReads() < 10, 'only the worker that reported was looked at');
});

test('a plan looks at no worker after all were marked as recorded again', () => {
  const { entries, planner, planStarts, takeReads } = createFullPool();
  planner.markWorkersRecorded(entries.map(({ id }) => id));
  takeReads();
  assert.equal(planStarts(21), []);
  assert.ok(takeReads() < 10);
});

test('the first waiting job gets the capacity of a task that ended', () => {
  const { starts, report, planStarts } = createFullPool();
  const [ended] = starts;
  const running = starts
    .filter(({ worker }) => worker.id === ended!.worker.id)
    .filter(({ taskKey }) => taskKey !== ended!.taskKey)
    .map(({ taskKey }) => makeRow(taskKey, 1));
  report(ended!.worker.id, 20, running, [makeEnd(1, ended!.taskKey, 1)]);
  const [next, ...others] = planStarts(21);
  assert.equal(others, []);
  assert.is(next?.taskKey, 'waiting0.0.0.0');
  assert.is(next?.worker.id, ended!.worker.id);
});

test('a job that arrives at a full pool starts on a worker that is added later', () => {
  const { entries, addWorkers, submit, planStarts } = createFullPool();
  submit(makeJob('urgent', [makeStep({ requiredLabel: 'new' })]), 20);
  assert.equal(planStarts(21), []);
  const added = makeEntry('added', { labels: ['new'], capacity: { ...makeEntry('a').capacity } });
  addWorkers(30, ...entries, added);
  assert.ok(planStarts(31).some(({ taskKey }) => taskKey === 'urgent.0.0.0'));
});

test('after a plan over changes, a plan over everything finds nothing more to start', () => {
  const jobArbitrary = fc.record({
    atMs: fc.integer({ min: 0, max: 3_000 }),
    cores: fc.integer({ min: 1, max: 4 }),
    count: fc.integer({ min: 1, max: 6 }),
    steps: fc.integer({ min: 1, max: 3 }),
    maxPerWorker: fc.option(fc.integer({ min: 1, max: 2 }), { nil: undefined }),
    durationMs: fc.integer({ min: 30, max: 900 }),
  });
  fc.assert(
    fc.property(fc.array(jobArbitrary, { minLength: 4, maxLength: 24 }), (jobs) => {
      const simulation = createPoolSimulation({
        workers: Array.from({ length: 4 }, (_, index) => makeEntry(`w${index}`)),
        decideEnd: ({ jobId }) => ({
          how: 'done',
          afterMs: jobs[Number(jobId.slice('job'.length))]?.durationMs ?? 1,
        }),
      });
      const { planner, at } = simulation.harness;
      [...jobs.entries()]
        .sort(([, a], [, b]) => a.atMs - b.atMs)
        .forEach(([index, { atMs, cores, count, steps, maxPerWorker }]) => {
          simulation.runUntil(atMs);
          const specs = Array.from({ length: steps }, (_, step) =>
            makeStep({
              count,
              maxPerWorker,
              size: { cores, memoryMb: 100, accelerators: 0 },
              dependsOn: step === 0 ? [] : [step - 1],
            }),
          );
          simulation.submit(makeJob(`job${index}`, specs));
          simulation.runUntil(simulation.getNowMs() + 20);
        });
      // The last plan of the replay was over changes unless none came for the whole interval.
      const left = planner
        .plan(at(simulation.getNowMs() + 200))
        .filter(({ kind }) => kind === 'start');
      assert.equal(left, []);
    }),
    { seed: 7, numRuns: 150 },
  );
});

test.run();
