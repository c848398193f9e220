/** Replays of load under which a whole queue could stand although its workers have capacity. */
import * as assert from 'uvu/assert';
import { suite } from 'uvu';
import type { JobPolicy } from '../../lib/jobs/spec.js';
import type { Rejection } from '../../lib/ports/task-workers.js';
import { createHarness, makeEntry, makeJob, makeStep, POLICY } from './planner-harness.js';
import { createPoolSimulation, type StartRecord } from './pool-simulation.js';
import {
  decideEnd,
  GOOD_POLICY,
  makeWorkers,
  MAX_WAIT_MS,
  measureLongestWait,
  SECOND_MS,
  type Simulation,
} from './queue-load.js';

const test = suite('standing queue');

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

test('a pool without such load starts every job at once', () => {
  const simulation = createPoolSimulation({ workers: makeWorkers(3), decideEnd });
  assert.is(measureLongestWait(simulation, SECOND_MS, 20 * SECOND_MS), 0);
});

test.run();
