/** Replays of load under which a whole queue could stand although its workers have capacity. */
import * as assert from 'uvu/assert';
import { suite } from 'uvu';
import type { JobPolicy, StepSpec } from '../../lib/jobs/spec.js';
import type { Rejection, WorkerEntry } from '../../lib/ports/task-workers.js';
import { createHarness, makeEntry, makeJob, makeStep, POLICY } from './planner-harness.js';
import { createPoolSimulation, type PlannedEnd, type StartRecord } from './pool-simulation.js';

const test = suite('standing queue');

const SECOND_MS = 1_000;
const MAX_WAIT_MS = 3_000;
const GOOD_POLICY = { ...POLICY, stretch: 100, targetLatencyMs: 100_000 };

const makeWorkers = (count: number, change: Partial<WorkerEntry> = {}): readonly WorkerEntry[] =>
  Array.from({ length: count }, (_, index) => makeEntry(`w${'-'.repeat(index)}`, change));

/** Decides by the prefix of the job's id: `bad` fails at once, `flaky` after some seconds. */
const decideEnd = ({ jobId, atMs }: StartRecord): PlannedEnd | undefined => {
  if (jobId === 'long') return { how: 'done', afterMs: 60 * SECOND_MS };
  if (jobId.startsWith('bad')) return { how: 'failed', afterMs: 100 };
  if (jobId.startsWith('flaky')) return { how: 'failed', afterMs: 2_000 + (atMs % 3_000) };
  return jobId.startsWith('lasting') ? undefined : { how: 'done', afterMs: 300 };
};

type Simulation = ReturnType<typeof createPoolSimulation>;

/** Submits a good job every half second and returns the longest wait for the first start. */
const measureLongestWait = (
  simulation: Simulation,
  fromMs: number,
  untilMs: number,
  options: { readonly policy?: JobPolicy; readonly handleRound?: (atMs: number) => void } = {},
) => {
  let longestMs = 0;
  const submitted: { readonly id: string; readonly atMs: number }[] = [];
  for (let atMs = fromMs; atMs < untilMs; atMs += 500) {
    simulation.runUntil(atMs);
    options.handleRound?.(atMs);
    const id = `good${atMs}`;
    const spec = makeJob(id, [makeStep()], { route: 'r-good' });
    simulation.submit(spec, options.policy ?? GOOD_POLICY);
    submitted.push({ id, atMs });
  }
  simulation.runUntil(untilMs + MAX_WAIT_MS);
  submitted.forEach(({ id, atMs }) => {
    const startMs = simulation.getFirstStartMs(id) ?? untilMs + MAX_WAIT_MS;
    longestMs = Math.max(longestMs, startMs - atMs);
  });
  return longestMs;
};

test('jobs that fail on every worker leave no queue standing', () => {
  const simulation = createPoolSimulation({ workers: makeWorkers(4), decideEnd });
  const lasting = makeStep({
    isLasting: true,
    count: 3,
    size: { cores: 0.5, memoryMb: 50, accelerators: 0 },
  });
  simulation.submit(makeJob('lasting', [lasting], { route: 'r-lasting' }));
  simulation.runUntil(SECOND_MS);
  for (let index = 0; index < 24; index += 1) {
    simulation.submit(makeJob(`bad${index}`, [makeStep({ count: 2 })]));
    simulation.runUntil(SECOND_MS + 50 * (index + 1));
  }
  simulation.runUntil(5 * SECOND_MS);
  const waitMs = measureLongestWait(simulation, 5 * SECOND_MS, 60 * SECOND_MS);
  assert.ok(waitMs < MAX_WAIT_MS, `a job waited ${waitMs} ms`);
});

/** Measures the longest wait of good jobs of a policy while four jobs fail every half second. */
const measureBesideFailures = (
  simulation: Simulation,
  policy: JobPolicy,
  handleRound: (atMs: number) => void = () => {},
) => {
  simulation.runUntil(SECOND_MS);
  const options = {
    policy,
    handleRound: (atMs: number) => {
      handleRound(atMs);
      for (let index = 0; index < 4; index += 1) {
        simulation.submit(makeJob(`bad${atMs}-${index}`));
      }
    },
  };
  return measureLongestWait(simulation, SECOND_MS, 40 * SECOND_MS, options);
};

[POLICY, GOOD_POLICY].forEach((policy) =>
  test(`failing jobs leave no queue standing in a pool of one worker, stretch ${policy.stretch}`, () => {
    const simulation = createPoolSimulation({ workers: makeWorkers(1), decideEnd });
    const waitMs = measureBesideFailures(simulation, policy);
    assert.ok(waitMs < MAX_WAIT_MS, `a job waited ${waitMs} ms`);
  }),
);

test('failing jobs leave no queue standing while the other worker is evacuated', () => {
  const simulation = createPoolSimulation({ workers: makeWorkers(2), decideEnd });
  const { planner, at } = simulation.harness;
  const waitMs = measureBesideFailures(simulation, GOOD_POLICY, (atMs) => {
    planner.evacuate('w', at(atMs));
  });
  assert.ok(waitMs < MAX_WAIT_MS, `a job waited ${waitMs} ms`);
});

test('lasting tasks that fail now and then leave no queue standing', () => {
  const simulation = createPoolSimulation({ workers: makeWorkers(4), decideEnd });
  const lasting = makeStep({
    isLasting: true,
    count: 2,
    size: { cores: 0.5, memoryMb: 50, accelerators: 0 },
  });
  for (let index = 0; index < 6; index += 1) {
    simulation.submit(makeJob(`flaky${index}`, [lasting], { route: 'r-lasting' }));
  }
  simulation.runUntil(60 * SECOND_MS);
  const waitMs = measureLongestWait(simulation, 60 * SECOND_MS, 120 * SECOND_MS);
  assert.ok(waitMs < MAX_WAIT_MS, `a job waited ${waitMs} ms`);
});

/** Plays workers of which the first `greyCount` fail all that starts there from 2 s to 8 s. */
const runWithGreyWorkers = (workerCount: number, greyCount: number) => {
  const entries = makeWorkers(workerCount);
  const greyIds = new Set(entries.slice(0, greyCount).map(({ id }) => id));
  const isGrey = ({ workerId, atMs }: StartRecord) =>
    greyIds.has(workerId) && atMs >= 2 * SECOND_MS && atMs < 8 * SECOND_MS;
  const simulation = createPoolSimulation({
    workers: entries,
    decideEnd: (start) => (isGrey(start) ? { how: 'failed', afterMs: 50 } : decideEnd(start)),
  });
  for (let atMs = 0; atMs < 12 * SECOND_MS; atMs += 25) {
    simulation.runUntil(atMs);
    simulation.submit(makeJob(`good${atMs}`));
  }
  const lateStarts = simulation.starts.filter(
    ({ workerId, atMs }) => greyIds.has(workerId) && atMs >= 9 * SECOND_MS,
  );
  return {
    failedRuns: simulation.starts.filter(isGrey).length,
    idsWithLateStarts: new Set(lateStarts.map(({ workerId }) => workerId)),
  };
};

test('a worker that fails all that it starts gets few tasks, and work again afterwards', () => {
  const { failedRuns, idsWithLateStarts } = runWithGreyWorkers(4, 1);
  assert.ok(failedRuns <= 8, `${failedRuns} runs failed`);
  assert.is(idsWithLateStarts.size, 1);
});

test('two of three workers that fail all that they start get few tasks', () => {
  const { failedRuns, idsWithLateStarts } = runWithGreyWorkers(3, 2);
  assert.ok(failedRuns <= 30, `${failedRuns} runs failed`);
  assert.is(idsWithLateStarts.size, 2);
});

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

const REJECTIONS: readonly Rejection[] = ['no-room', 'late', 'malformed', 'old-run', 'unhealthy'];

REJECTIONS.forEach((why) =>
  test(`the fullest worker rejects every start as ${why} and leaves no queue standing`, () => {
    const capacity = { cores: 64, memoryMb: 64_000, accelerators: 0 };
    const simulation = createPoolSimulation({
      workers: makeWorkers(3, { capacity }),
      decideEnd,
      answerStart: ({ jobId, workerId, atMs }) =>
        workerId === 'w' && jobId !== 'long'
          ? { kind: 'rejected', why }
          : { kind: 'accepted', clockMs: atMs },
    });
    const size = { cores: 8, memoryMb: 100, accelerators: 0 };
    simulation.submit(makeJob('long', [makeStep({ size })]));
    simulation.runUntil(SECOND_MS);
    const countRejected = () =>
      simulation.starts.filter(({ workerId }) => workerId === 'w').length - 1;
    assert.is(countRejected(), 0);
    measureLongestWait(simulation, SECOND_MS, 60 * SECOND_MS);
    const accepted = new Set(
      simulation.starts.filter(({ workerId }) => workerId !== 'w').map(({ jobId }) => jobId),
    );
    assert.is(accepted.size, 118, 'every job has started on another worker');
    assert.ok(countRejected() < 60, `${countRejected()} starts were rejected`);
  }),
);

test('the next incarnation of a maintained worker gets tasks although the earlier one was evacuated', () => {
  const { planner, at, addWorkers, submit, planStarts } = createHarness();
  addWorkers(0, makeEntry('w1'));
  planner.evacuate('w1', at(100));
  const next = makeEntry('w1', { bornMs: 2 });
  planner.observeWorkers([next], at(1_000));
  planner.markWorkersRecorded(['w1']);
  const timed = { sentMs: 1_010, receivedMs: 1_010 };
  const taskReport = { bornMs: 2, clockMs: 10, running: [], ended: [] };
  planner.observeReport('w1', { ...timed, report: taskReport }, at(1_010));
  submit(makeJob('a'), 1_020);
  assert.is(planStarts(1_030).length, 1);
});

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

test('queries to the advisor that take longer than their timeouts leave no queue standing', () => {
  const advisor = { decideMs: 100, perWorkerMs: 10 };
  const simulation = createPoolSimulation({ workers: makeWorkers(10), decideEnd, advisor });
  const advice = { decideMs: advisor.decideMs, perWorkerMs: advisor.perWorkerMs, validMs: 30_000 };
  simulation.runUntil(SECOND_MS);
  for (let index = 0; index < 60; index += 1) {
    simulation.submit(makeJob(`good${index}`), { ...GOOD_POLICY, advice });
  }
  const submittedMs = SECOND_MS;
  const queryMs = advisor.decideMs + 10 * advisor.perWorkerMs;
  simulation.runUntil(60 * SECOND_MS);
  const ids = Array.from({ length: 60 }, (_, index) => `good${index}`);
  const startsMs = ids.map((id) => simulation.getFirstStartMs(id) ?? Infinity);
  const lastMs = Math.max(...startsMs) - submittedMs;
  const started = startsMs.filter((startMs) => startMs < Infinity).length;
  assert.ok(lastMs < 1.5 * 60 * queryMs, `${started} jobs started, the last after ${lastMs} ms`);
});

const ADVISOR = { decideMs: 20, perWorkerMs: 2 };
const ADVICE = { ...ADVISOR, validMs: 30_000 };

test('a step is started although none of the workers queried first may run it', () => {
  const workers = makeWorkers(40);
  const advisor = { ...ADVISOR, isAllowed: (id: string) => id === workers.at(-1)?.id };
  const simulation = createPoolSimulation({ workers, decideEnd, advisor });
  simulation.runUntil(SECOND_MS);
  simulation.submit(makeJob('good'), { ...GOOD_POLICY, advice: ADVICE });
  simulation.runUntil(20 * SECOND_MS);
  const startMs = simulation.getFirstStartMs('good') ?? Infinity;
  assert.ok(startMs - SECOND_MS < MAX_WAIT_MS, `started at ${startMs} ms`);
});

test('a step is started on a new worker although the worker with a ticket is full', () => {
  const workers = makeWorkers(2);
  const simulation = createPoolSimulation({
    workers: workers.slice(0, 1),
    decideEnd: (start) =>
      start.jobId === 'long' ? { how: 'done', afterMs: 30 * SECOND_MS } : decideEnd(start),
    advisor: ADVISOR,
  });
  const size = { cores: 4, memoryMb: 100, accelerators: 0 };
  simulation.submit(makeJob('long', [makeStep({ size, count: 2 })]), {
    ...GOOD_POLICY,
    advice: ADVICE,
  });
  simulation.runUntil(SECOND_MS);
  assert.is(simulation.starts.length, 1);
  simulation.setWorkers(workers);
  simulation.runUntil(20 * SECOND_MS);
  const startMs = simulation.starts[1]?.atMs ?? Infinity;
  assert.ok(startMs - SECOND_MS < MAX_WAIT_MS, `started at ${startMs} ms`);
});

test('a pool without such load starts every job at once', () => {
  const simulation = createPoolSimulation({ workers: makeWorkers(3), decideEnd });
  assert.is(measureLongestWait(simulation, SECOND_MS, 20 * SECOND_MS), 0);
});

test.run();
