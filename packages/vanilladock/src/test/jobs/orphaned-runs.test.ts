/** Runs that go on though they belong to no task: they count on their worker until they have ended. */
import * as assert from 'uvu/assert';
import { suite } from 'uvu';
import { LEASE_MS, MAX_LEASE_MS } from '../../lib/jobs/lease-clock.js';
import type { StartAction } from '../../lib/jobs/plan-starts.js';
import type { EndedTask } from '../../lib/ports/task-workers.js';
import type { StepSpec } from '../../lib/jobs/spec.js';
import {
  createHarness,
  makeEnd,
  makeEntry,
  makeJob,
  makeRow,
  makeStep,
  POLICY,
  WALL_MS,
  type Harness,
} from './planner-harness.js';

const test = suite('orphaned runs');

const FIRST = 'a.0.0.0';

/** Time after which the lease of a worker that does not answer is over. */
const SILENT_MS = 5_600;

/** Plans at a time and returns the stops. */
const planStops = ({ planner, at }: Harness, nowMs: number) =>
  planner.plan(at(nowMs)).flatMap((action) => (action.kind === 'stop' ? [action] : []));

const listKeys = (starts: readonly StartAction[]) => starts.map(({ taskKey }) => taskKey);

/**
 * Starts the first task of job `a` on `w1`, which then does not answer for longer than its lease, and
 * again on `w22`. The other tasks of the job wait after one failure there.
 */
const startTwice = (step: Partial<StepSpec> & Pick<StepSpec, 'count'>) => {
  const harness = createHarness();
  const { planner, at, report } = harness;
  harness.addWorkers(0, makeEntry('w1'));
  harness.submit(makeJob('a', [makeStep({ maxPerWorker: 1, ...step })]), 1);
  const [first] = harness.planStarts(2);
  harness.accept([first!], 3);
  report('w1', 10, [makeRow(FIRST, 1)]);
  for (let missedMs = 500; missedMs < SILENT_MS; missedMs += 500)
    planner.observeMissedReport('w1', at(missedMs));
  planner.observeWorkers([makeEntry('w1'), makeEntry('w22')], at(SILENT_MS));
  planner.markWorkersRecorded(['w22']);
  planner.plan(at(SILENT_MS));
  harness.store();
  let nowMs = SILENT_MS + 10;
  report('w22', nowMs);
  const ends: EndedTask[] = [];
  for (let index = 1; index < step.count; index += 1) {
    const [other] = harness.planStarts((nowMs += 1));
    harness.accept([other!], (nowMs += 1));
    ends.push(makeEnd(index, other!.taskKey, other!.run, 'failed'));
    report('w22', (nowMs += 1), [], ends);
  }
  const [second] = harness.planStarts((nowMs += 1));
  assert.equal([second?.taskKey, second?.worker.id], [FIRST, 'w22']);
  return { ...harness, harness, second: second!, ends, nowMs };
};

/** As `startTwice` with one task; the first run turns out to go on, as an orphaned run. */
const startBeside = (isLasting = false) => {
  const scene = startTwice({ count: 1, isLasting });
  const { harness, second, accept, report, planner } = scene;
  let { nowMs } = scene;
  accept([second], nowMs);
  nowMs += 10;
  report('w22', nowMs, [makeRow(FIRST, 2)]);
  nowMs += 10;
  report('w1', nowMs, [makeRow(FIRST, 1)]);
  assert.equal(
    planStops(harness, nowMs + 1).map(({ run, worker }) => [run, worker.id]),
    [[1, 'w1']],
  );
  planner.table.updateWorker('w1', { leaseUntilMs: nowMs + LEASE_MS });
  return { ...scene, nowMs: nowMs + 1 };
};

const WHOLE = { cores: 4, memoryMb: 100, accelerators: 0 };
const RESTARTED_CLOCK_MS = 5;

/** Sends a start whose job ends before it is answered, to a worker that then starts anew. */
const startAcrossRestart = (isStopAnswered: boolean) => {
  const harness = createHarness();
  const { planner, at } = harness;
  harness.addWorkers(0, makeEntry('w1'));
  harness.submit(makeJob('a', [makeStep({ size: WHOLE })]), 1);
  harness.planStarts(2);
  planner.cancel('a', at(3));
  const [stop] = planStops(harness, 4);
  if (isStopAnswered) planner.observeStop(stop!, { kind: 'accepted', clockMs: 5 }, at(5));
  planner.observeWorkers([makeEntry('w1', { bornMs: 5 })], at(10));
  planner.markWorkersRecorded(['w1']);
  const report = { bornMs: 5, clockMs: RESTARTED_CLOCK_MS, running: [], ended: [] };
  planner.observeReport('w1', { report, sentMs: 14, receivedMs: 15 }, at(15));
  return harness;
};

// Guards against more tasks of a step on a worker than its spread allows (issue 55).
test('a run counts in the spread of its worker while its task is done by a run elsewhere', () => {
  const scene = startTwice({ count: 3 });
  const { nowMs, second, ends, accept, report, planStarts } = scene;
  accept([second], nowMs);
  report('w22', nowMs + 10, [makeRow(FIRST, 2)]);
  report('w1', nowMs + 20, [], [makeEnd(1, FIRST, 1)]);
  const starts = planStarts(nowMs + 21);
  assert.equal(
    starts.map(({ taskKey, worker }) => [taskKey, worker.id]),
    [['a.0.0.1', 'w1']],
  );
  report('w22', nowMs + 700, [], [...ends, makeEnd(3, FIRST, 2, 'stopped')]);
  assert.equal(listKeys(planStarts(nowMs + 701)), ['a.0.0.2']);
});

test('a run whose start has no answer yet counts while its task is done by a run elsewhere', () => {
  const { nowMs, report, planStarts } = startTwice({ count: 3 });
  report('w1', nowMs + 20, [], [makeEnd(1, FIRST, 1)]);
  assert.equal(
    planStarts(nowMs + 21).map(({ worker }) => worker.id),
    ['w1'],
  );
  // The report does not list it, but the start may still arrive.
  report('w22', nowMs + 30);
  assert.equal(planStarts(nowMs + 31), []);
});

test('a run uses capacity while its task is done by a run elsewhere', () => {
  const { nowMs, second, accept, report, planStarts } = startTwice({
    count: 3,
    size: WHOLE,
    maxPerWorker: undefined,
  });
  accept([second], nowMs);
  report('w22', nowMs + 10, [makeRow(FIRST, 2)]);
  report('w1', nowMs + 20, [], [makeEnd(1, FIRST, 1)]);
  assert.equal(
    planStarts(nowMs + 21).map(({ worker }) => worker.id),
    ['w1'],
  );
});

test('a run is stopped as soon as its task is done by a run elsewhere', () => {
  const { harness, nowMs, second, accept, report } = startTwice({ count: 2 });
  accept([second], nowMs);
  report('w22', nowMs + 10, [makeRow(FIRST, 2)]);
  report('w1', nowMs + 20, [], [makeEnd(1, FIRST, 1)]);
  assert.equal(
    planStops(harness, nowMs + 21).map(({ taskKey, run, worker }) => [taskKey, run, worker.id]),
    [[FIRST, 2, 'w22']],
  );
});

test('a run of a job that has ended uses capacity until its start can no longer arrive', () => {
  const harness = createHarness();
  harness.addWorkers(0, makeEntry('w1'));
  harness.submit(makeJob('a', [makeStep({ size: WHOLE })]), 1);
  const [start] = harness.planStarts(2);
  harness.planner.cancel('a', harness.at(3));
  harness.submit(makeJob('b', [makeStep({ size: WHOLE })]), 4);
  harness.report('w1', 10);
  const [stop] = planStops(harness, 11);
  assert.is(stop?.taskKey, FIRST);
  assert.equal(harness.planStarts(12), [], 'the start may still arrive');
  harness.planner.observeStart(start!, { kind: 'unknown' }, harness.at(400));
  harness.planner.observeStop(stop!, { kind: 'accepted', clockMs: 410 }, harness.at(410));
  harness.report('w1', 420);
  assert.equal(listKeys(harness.planStarts(421)), ['b.0.0.0']);
});

test('a start that is rejected after its job has ended frees its capacity', () => {
  const harness = createHarness();
  harness.addWorkers(0, makeEntry('w1'));
  harness.submit(makeJob('a', [makeStep({ size: WHOLE })]), 1);
  const [start] = harness.planStarts(2);
  harness.planner.cancel('a', harness.at(3));
  harness.submit(makeJob('b', [makeStep({ size: WHOLE })]), 4);
  harness.planner.observeStart(start!, { kind: 'rejected', why: 'late' }, harness.at(5));
  assert.equal(listKeys(harness.planStarts(6)), ['b.0.0.0']);
});

// Guards against a task that runs twice as a run of it elsewhere was not looked at.
test('a task does not start again while an earlier run of it goes on elsewhere', () => {
  const { nowMs, second, accept, report, planStarts } = startTwice({ count: 1 });
  accept([second], nowMs);
  report('w22', nowMs + 10, [makeRow(FIRST, 2)]);
  report('w1', nowMs + 20, [makeRow(FIRST, 1)]);
  planStarts(nowMs + 21);
  report('w22', nowMs + 30, [], [makeEnd(1, FIRST, 2, 'failed')]);
  assert.equal(planStarts(nowMs + 31), []);
});

test('a start of an ended job may still arrive at the next incarnation of its worker', () => {
  const harness = startAcrossRestart(false);
  harness.submit(makeJob('b', [makeStep({ size: WHOLE })]), 16);
  assert.equal(harness.planStarts(17), []);
});

// Guards against a task that is started too often as a crash under a run of it was not counted.
test('a crash of a worker counts for the task of a run that no task waits for', () => {
  const { harness, nowMs, second, accept, report, planner, at } = startTwice({ count: 1 });
  accept([second], nowMs);
  report('w22', nowMs + 10, [makeRow(FIRST, 2)]);
  report('w1', nowMs + 20, [makeRow(FIRST, 1)]);
  planner.observeMissedReport('w1', at(nowMs + 400), 'refused');
  planner.observeMissedReport('w1', at(nowMs + 600), 'refused');
  harness.planner.observeWorkers(
    [makeEntry('w1', { bornMs: 5 }), makeEntry('w22')],
    at(nowMs + 700),
  );
  const crashes = planner.table.findTask(FIRST)?.crashes ?? [];
  assert.equal(
    crashes.map(({ workerId, isConfirmed }) => [workerId, isConfirmed]),
    [['w1', true]],
  );
});

test('a task waits for a run on a worker that does not answer and is not listed', () => {
  const { planner, at, report, planStarts, nowMs } = startBeside();
  planner.observeMissedReport('w1', at(nowMs + 500));
  planner.observeWorkers([makeEntry('w22')], at(nowMs + 501));
  planStarts(nowMs + 502);
  report('w22', nowMs + 510, [], [makeEnd(1, FIRST, 2, 'failed')]);
  assert.equal(planStarts(nowMs + 511), [], 'the lease of w1 is not over');
});

test('a start of an ended job may give the next incarnation of its worker the longest lease', () => {
  const { planner } = startAcrossRestart(false);
  assert.is(planner.table.workers.get('w1')?.leaseUntilMs, RESTARTED_CLOCK_MS + MAX_LEASE_MS);
});

test('a stop that an earlier incarnation has answered proves nothing of the next one', () => {
  const harness = startAcrossRestart(true);
  harness.submit(makeJob('b', [makeStep({ size: WHOLE })]), 16);
  assert.equal(harness.planStarts(17), []);
});

test('a run has ended once its worker lists its task with another run', () => {
  const { planner, addWorkers, submit, planStarts, accept, report } = createHarness();
  addWorkers(0, makeEntry('w1'));
  submit(makeJob('a'), 1);
  const [start] = planStarts(2);
  report('w1', 10, [makeRow(FIRST, 0)]);
  assert.is(planner.table.workers.get('w1')?.orphanedRuns.size, 1);
  accept([start!], 12);
  report('w1', 20, [makeRow(FIRST, 1)]);
  assert.is(planner.table.workers.get('w1')?.orphanedRuns.size, 0);
});

/** Opens a planner that takes over what the first run of job `a` is about, at 0. */
const openNext = () => {
  const inheritedWorkers = ['w1', 'w22'];
  const next = createHarness({ runBase: 100, inheritedWorkers, hasPredecessor: true });
  const record = { spec: makeJob('a'), policy: POLICY, acceptedAtMs: WALL_MS };
  next.planner.loadJob(record, undefined, next.at(0));
  next.planner.observeWorkers([makeEntry('w1'), makeEntry('w22')], next.at(0));
  next.planner.markWorkersRecorded(inheritedWorkers);
  return next;
};

test('the planner after the next one knows it too, if the worker has not reported meanwhile', () => {
  const first = startBeside();
  const second = openNext();
  const handOver = first.planner.makeHandOver(7, first.nowMs + 5);
  second.planner.observeHandOver({ handOver, atMs: 0 });
  second.report('w22', 11, [makeRow(FIRST, 2)]);
  const third = openNext();
  third.planner.observeHandOver({ handOver: second.planner.makeHandOver(8, 20), atMs: 0 });
  third.report('w1', 10, [makeRow(FIRST, 1)]);
  third.report('w22', 11, [makeRow(FIRST, 2)]);
  assert.equal(
    planStops(third, 12).map(({ worker, run }) => [worker.id, run]),
    [['w1', 1]],
  );
});

// Guards against a successor that keeps the run that is being stopped, and stops the other.
test('the next planner keeps the run of a task and stops the one that no task waits for', () => {
  const first = startBeside();
  const handOver = first.planner.makeHandOver(7, first.nowMs + 5);
  assert.equal(handOver.stoppedRuns, [{ taskKey: FIRST, run: 1, isOrphaned: true }]);
  [false, true].forEach((isToldLate) => {
    const next = openNext();
    const { planner, report } = next;
    if (!isToldLate) planner.observeHandOver({ handOver, atMs: 0 });
    report('w1', 10, [makeRow(FIRST, 1)]);
    if (isToldLate) planner.observeHandOver({ handOver, atMs: 0 });
    report('w22', 11, [makeRow(FIRST, 2)]);
    assert.equal(
      planStops(next, 12).map(({ worker, run }) => [worker.id, run]),
      [['w1', 1]],
    );
  });
});

test.run();
