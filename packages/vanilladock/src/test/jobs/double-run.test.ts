/**
 * Ways in which a task could run twice at once under one planner, or a worker that responds could
 * stay without tasks: the planner may take a run as ended only when that is certain.
 */
import * as assert from 'uvu/assert';
import { suite } from 'uvu';
import { LEASE_MS } from '../../lib/jobs/lease-clock.js';
import { TASK, reportBorn, startOnFirst, takeOver, listIds } from './incarnation-scene.js';
import { createHarness, makeEntry, makeJob, makeRow } from './planner-harness.js';

const test = suite('double run');

test('a run adopted after a take-over is not requeued before the predecessor lease expires', () => {
  const { planner, at, report, planStarts } = takeOver();
  report('w1', 20, [makeRow(TASK, 1)]);
  planner.observeMissedReport('w1', at(600));
  assert.equal(planStarts(610), [], 'the predecessor may have extended the lease at 20 ms');
  assert.equal(planStarts(20 + LEASE_MS), []);
  assert.is(planStarts(20 + LEASE_MS + 400).length, 1);
});

test('a late notice of an end does not requeue the tasks of the next incarnation', () => {
  const { planner, at, harness, start, accept, addSecond, planStarts } = startOnFirst();
  accept([start], 3);
  reportBorn(harness, 'w1', 10, { bornMs: 1, running: [makeRow(TASK, 1)] });
  addSecond(20);
  planner.observeEndNotice('w1', at(30));
  assert.equal(planStarts(40), []);
  reportBorn(harness, 'w1', 50, { bornMs: 1, running: [makeRow(TASK, 1)] });
  assert.equal(planStarts(60), []);
});

test('a worker that responds after a notice of its end is used again', () => {
  const { planner, at, addWorkers, report, submit, planStarts } = createHarness();
  addWorkers(0, makeEntry('w1'));
  planner.observeEndNotice('w1', at(10));
  submit(makeJob('a'), 11);
  assert.equal(planStarts(12), [], 'not before the worker has responded');
  planner.observeWorkers([makeEntry('w1')], at(13));
  report('w1', 20);
  assert.is(planStarts(21).length, 1);
});

test('a worker that was given up after a notice and a missed report is called again', () => {
  const { planner, at, addWorkers } = createHarness();
  addWorkers(0, makeEntry('w1'));
  planner.observeEndNotice('w1', at(10));
  planner.observeMissedReport('w1', at(20));
  planner.plan(at(30));
  assert.is(planner.table.workers.size, 0);
  planner.plan(at(2_100));
  assert.is(planner.table.workers.size, 1);
});

test('a successor does not wait for a worker that was given up and only listed again', () => {
  const { planner, at, addWorkers, report } = createHarness();
  addWorkers(0, makeEntry('w1'), makeEntry('w2'));
  planner.observeEndNotice('w1', at(10));
  planner.observeMissedReport('w1', at(20));
  planner.plan(at(30));
  planner.plan(at(2_100));
  assert.is(planner.table.workers.size, 2, 'it is called again');
  assert.equal(listIds(planner.listLeaseHolders(2_100)), ['w2']);
  report('w1', 2_110);
  assert.equal(listIds(planner.listLeaseHolders(2_110)), ['w2', 'w1']);
  planner.observeMissedReport('w1', at(2_200));
  assert.equal(listIds(planner.listLeaseHolders(2_200)), ['w2', 'w1']);
});

test('tasks on a machine that has ended are requeued within the lease time', () => {
  const { planner, at, harness, start, accept, addSecond, planStarts } = startOnFirst();
  accept([start], 3);
  reportBorn(harness, 'w1', 10, { bornMs: 1, running: [makeRow(TASK, 1)] });
  addSecond(20);
  planner.observeEndNotice('w1', at(30));
  planner.observeMissedReport('w1', at(40));
  assert.is(planStarts(10 + LEASE_MS + 400).length, 1);
});

test('a run that the next incarnation accepted is requeued only after the longest lease', () => {
  const harness = createHarness();
  const { planner, at, planStarts } = harness;
  harness.addWorkers(20_000, makeEntry('w1'));
  harness.submit(makeJob('a'), 20_001);
  harness.accept(planStarts(20_002), 20_004);
  planner.observeWorkers([makeEntry('w1', { bornMs: 2 }), makeEntry('w22')], at(20_005));
  planner.markWorkersRecorded(['w22']);
  const row = makeRow(TASK, 1);
  reportBorn(harness, 'w1', 20_010, { bornMs: 2, running: [row], clockStartMs: 20_003 });
  planner.observeMissedReport('w1', at(20_700));
  harness.report('w22', 29_900);
  assert.equal(planStarts(29_900), []);
  harness.store();
  assert.is(planStarts(31_000).length, 1);
});

test('a worker whose entry has no start time is used', () => {
  const harness = createHarness();
  harness.planner.observeWorkers([makeEntry('w1', { bornMs: 0 })], harness.at(0));
  harness.planner.markWorkersRecorded(['w1']);
  reportBorn(harness, 'w1', 10, { bornMs: 5 });
  harness.submit(makeJob('a'), 11);
  assert.is(harness.planStarts(12).length, 1);
});

test('reports that overtake each other release no run', () => {
  const { harness, start, accept, addSecond, planStarts } = startOnFirst();
  addSecond(3);
  accept([start], 100);
  reportBorn(harness, 'w1', 120, { bornMs: 1, running: [makeRow(TASK, 1)], sentMs: 110 });
  reportBorn(harness, 'w1', 130, { bornMs: 1, sentMs: 90 });
  assert.equal(planStarts(131), []);
});

test('a lease counts as expired only after clock drift, rounding and a late timer', () => {
  const { planner, at, addWorkers, report, submit, accept, planStarts } = createHarness();
  addWorkers(0, makeEntry('w1'), makeEntry('w22'));
  report('w1', 1_000);
  submit(makeJob('a'), 1_001);
  const [start] = planStarts(1_002);
  accept([start!], 1_003);
  report(start!.worker.id, 1_010, [makeRow(TASK, 1)]);
  planner.observeMissedReport(start!.worker.id, at(1_600));
  const lapsesAtMs = 1_010 + (start!.leaseUntilMs - 1_010) / 0.98;
  assert.equal(planStarts(lapsesAtMs + 60), [], 'the worker may end its runs this late');
  assert.is(planStarts(lapsesAtMs + 200).length, 1);
});

test.run();
