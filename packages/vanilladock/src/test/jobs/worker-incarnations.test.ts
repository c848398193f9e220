/** Tests of workers that stop responding, end or are evacuated, and of their next incarnations. */
import * as assert from 'uvu/assert';
import { suite } from 'uvu';
import { LEASE_MS } from '../../lib/jobs/lease-clock.js';
import { RECORD, TASK, reportBorn, startOnFirst, takeOver, listIds } from './incarnation-scene.js';
import { createHarness, makeEntry, makeJob, makeRow, makeStep } from './planner-harness.js';

const test = suite('worker incarnations');

test('requeues the tasks of an unresponsive worker only after its lease has expired', () => {
  const { planner, addWorkers, submit, planStarts, accept, at, report } = createHarness();
  addWorkers(0, makeEntry('w1'));
  submit(makeJob('a'), 1);
  accept(planStarts(2), 3);
  report('w1', 10, [makeRow('a.0.0.0', 1)]);
  planner.observeWorkers([makeEntry('w1'), makeEntry('w22')], at(20));
  planner.markWorkersRecorded(['w22']);
  report('w22', 20);
  planner.observeMissedReport('w1', at(600));
  assert.is(planStarts(LEASE_MS).length, 0);
  assert.is(planStarts(LEASE_MS + 200).length, 1);
});

test('ignores the entry of an incarnation ended by an order, but not that of the next one', () => {
  const { planner, addWorkers, at } = createHarness();
  addWorkers(0, makeEntry('w1'));
  planner.observeEndNotice('w1', at(5));
  planner.observeMissedReport('w1', at(6));
  planner.plan(at(7));
  planner.observeWorkers([makeEntry('w1')], at(10));
  assert.is(planner.table.workers.size, 0);
  planner.observeWorkers([makeEntry('w1', { bornMs: 2 })], at(20));
  assert.is(planner.table.workers.size, 1);
});

test('a worker whose evacuation was ordered before its entry was read gets no task', () => {
  const { planner, addWorkers, submit, planStarts, at } = createHarness();
  assert.equal(planner.evacuate('w1', at(10_000)), { lastingTasks: 0, batchTasks: 0 });
  addWorkers(10_010, makeEntry('w1'));
  submit(makeJob('a'), 10_011);
  assert.is(planStarts(10_012).length, 0);
  assert.is(planStarts(14_000).length, 1);
});

/** Restarts `w1` and starts the task of job `a` on its second incarnation. */
const startOnSecondIncarnation = () => {
  const harness = createHarness();
  harness.addWorkers(0, makeEntry('w1'));
  harness.planner.observeWorkers([makeEntry('w1', { bornMs: 3 })], harness.at(20));
  harness.planner.markWorkersRecorded(['w1']);
  reportBorn(harness, 'w1', 30, { bornMs: 3, clockStartMs: 15 });
  harness.submit(RECORD.spec, 31);
  harness.accept(harness.planStarts(32), 33);
  harness.planner.observeWorkers(
    [makeEntry('w1', { bornMs: 3 }), makeEntry('w22')],
    harness.at(34),
  );
  harness.planner.markWorkersRecorded(['w22']);
  harness.report('w22', 35);
  const row = makeRow(TASK, 1);
  reportBorn(harness, 'w1', 40, { bornMs: 3, running: [row], clockStartMs: 15 });
  return harness;
};

test('a late report of an earlier incarnation does not replace the present one', () => {
  const harness = startOnSecondIncarnation();
  reportBorn(harness, 'w1', 50, { bornMs: 1, sentMs: 10 });
  assert.equal(harness.planStarts(60), []);
  assert.is(harness.planner.table.workers.get('w1')!.entry.bornMs, 3);
});

test('a late rejection for an earlier incarnation does not end the present one', () => {
  const harness = startOnSecondIncarnation();
  harness.planner.observeIncarnationEnd('w1', 1, harness.at(50));
  assert.equal(harness.planStarts(60), []);
});

test('a worker is followed into an incarnation whose wall clock was set back', () => {
  const harness = startOnSecondIncarnation();
  reportBorn(harness, 'w1', 50, { bornMs: 2, sentMs: 45, clockStartMs: 42 });
  assert.is(harness.planner.table.workers.get('w1')!.entry.bornMs, 2);
  assert.is(harness.planStarts(60).length, 1);
  const listBornMs = (nowMs: number, bornMs: number) => {
    const entries = [makeEntry('w1', { bornMs }), makeEntry('w22')];
    harness.planner.observeWorkers(entries, harness.at(nowMs));
    return harness.planner.table.workers.get('w1')?.entry.bornMs;
  };
  assert.is.not(listBornMs(70, 3), 3, 'the entry of the earlier incarnation');
  assert.is(listBornMs(80, 2), 2);
});

test('a start that the next incarnation accepted is not repeated when that is first seen', () => {
  const viaReport = startOnFirst();
  viaReport.addSecond(3);
  viaReport.accept([viaReport.start], 4);
  reportBorn(viaReport.harness, 'w1', 10, {
    bornMs: 2,
    running: [makeRow(TASK, 1)],
    sentMs: 5,
    clockStartMs: 3,
  });
  assert.equal(viaReport.planStarts(11), []);

  const viaEntry = startOnFirst();
  viaEntry.accept([viaEntry.start], 4);
  viaEntry.addSecond(5, 2);
  assert.equal(viaEntry.planStarts(6), []);
  const row = makeRow(TASK, 1);
  reportBorn(viaEntry.harness, 'w1', 10, { bornMs: 2, running: [row], clockStartMs: 3 });
  assert.equal(viaEntry.planStarts(11), []);
});

test('a start under way that reaches the next incarnation after its report is not repeated', () => {
  const { harness, start, accept, addSecond, planStarts } = startOnFirst();
  addSecond(3);
  reportBorn(harness, 'w1', 10, { bornMs: 2, sentMs: 5, clockStartMs: 4 });
  assert.equal(planStarts(11), []);
  accept([start], 12);
  const row = makeRow(TASK, 1);
  reportBorn(harness, 'w1', 20, { bornMs: 2, running: [row], sentMs: 13, clockStartMs: 4 });
  assert.equal(planStarts(21), []);
});

test('a start that neither incarnation has is repeated once the next one has reported', () => {
  const { harness, start, accept, addSecond, planStarts } = startOnFirst();
  accept([start], 4);
  addSecond(5, 2);
  reportBorn(harness, 'w1', 10, { bornMs: 2, sentMs: 6, clockStartMs: 3 });
  assert.is(planStarts(11).length, 1);
});

test('runs that the earlier incarnation had listed are requeued when the next one is seen', () => {
  const { harness, start, accept, addSecond, planStarts } = startOnFirst();
  accept([start], 4);
  reportBorn(harness, 'w1', 5, { bornMs: 1, running: [makeRow(TASK, 1)] });
  addSecond(10, 2);
  assert.is(planStarts(11).length, 1);
});

test('a start whose worker restarted and never reports again is repeated in bounded time', () => {
  const { planner, at, start, accept, addSecond, report, planStarts } = startOnFirst();
  accept([start], 4);
  addSecond(5, 2);
  planner.observeMissedReport('w1', at(600));
  report('w22', 15_000);
  assert.is(planStarts(15_001).length, 1);
});

test('an inherited worker that has restarted settles the inheritance only by a report', () => {
  const harness = takeOver();
  const entries = [makeEntry('w1', { bornMs: 2 }), makeEntry('w22')];
  harness.planner.observeWorkers(entries, harness.at(10));
  assert.equal(harness.planStarts(11), []);
  reportBorn(harness, 'w1', 20, { bornMs: 2, running: [makeRow(TASK, 1)] });
  assert.equal(harness.planStarts(21), []);
});

test('a restarted worker that may have a start stays a lease holder though it is unlisted', () => {
  const { planner, at, start, accept, addSecond } = startOnFirst();
  accept([start], 4);
  addSecond(5, 2);
  planner.observeWorkers([makeEntry('w22')], at(10));
  assert.ok(listIds(planner.listLeaseHolders(10)).includes('w1'));
});

test('a restarted worker gets tasks only once its own entry is listed', () => {
  const harness = createHarness();
  const { planner, at, planStarts } = harness;
  harness.addWorkers(0, makeEntry('w1'));
  reportBorn(harness, 'w1', 20, { bornMs: 2, clockStartMs: 10 });
  planner.markWorkersRecorded(['w1']);
  harness.submit(makeJob('a', [makeStep({ requiredLabel: 'a' })]), 21);
  assert.equal(planStarts(22), [], 'the entry is of the earlier incarnation');
  planner.observeWorkers([makeEntry('w1', { bornMs: 2, labels: ['b'] })], at(30));
  planner.markWorkersRecorded(['w1']);
  reportBorn(harness, 'w1', 40, { bornMs: 2, clockStartMs: 10 });
  assert.equal(planStarts(41), [], 'the next incarnation has another label');
  harness.submit(makeJob('b'), 50);
  assert.is(planStarts(51).length, 1);
});

test.run();
