/**
 * Ways in which a task could run twice at once under one planner, or a worker that responds could
 * stay without tasks: the planner may take a run as ended only when that is certain.
 */
import * as assert from 'uvu/assert';
import { suite } from 'uvu';
import { LEASE_MS } from '../../lib/jobs/lease-clock.js';
import type { EndedTask, RunningTask } from '../../lib/ports/task-workers.js';
import {
  createHarness,
  makeEntry,
  makeJob,
  makeRow,
  makeStep,
  POLICY,
  WALL_MS,
  type Harness,
} from './planner-harness.js';

/** Lists the ids of workers that may hold leases. */
const listIds = (holders: readonly { readonly id: string }[]) => holders.map(({ id }) => id);

const test = suite('double run');

const RECORD = { spec: makeJob('a'), policy: POLICY, acceptedAtMs: WALL_MS };
const TASK = 'a.0.0.0';

/** A report of the worker's incarnation `bornMs`, whose clock started at `clockStartMs`. */
interface BornReport {
  readonly bornMs: number;
  readonly running?: readonly RunningTask[];
  readonly ended?: readonly EndedTask[];
  readonly sentMs?: number;
  readonly clockStartMs?: number;
}

const reportBorn = (harness: Harness, workerId: string, nowMs: number, source: BornReport) => {
  const { bornMs, running = [], ended = [], sentMs = nowMs, clockStartMs = 0 } = source;
  const report = { bornMs, clockMs: nowMs - clockStartMs, running, ended };
  harness.planner.observeReport(workerId, { report, sentMs, receivedMs: nowMs }, harness.at(nowMs));
};

/** Starts the task of job `a` on `w1`, the only worker by then; `w22` can take it afterwards. */
const startOnFirst = () => {
  const harness = createHarness();
  harness.addWorkers(0, makeEntry('w1'));
  harness.submit(RECORD.spec, 1);
  const [start] = harness.planStarts(2);
  const addSecond = (nowMs: number, firstBornMs = 1) => {
    const entries = [makeEntry('w1', { bornMs: firstBornMs }), makeEntry('w22')];
    harness.planner.observeWorkers(entries, harness.at(nowMs));
    harness.planner.markWorkersRecorded(['w22']);
    harness.report('w22', nowMs);
  };
  return { ...harness, harness, start: start!, addSecond };
};

/** Loads job `a` in a planner that took over from another one; `w22` has reported. */
const takeOver = () => {
  const harness = createHarness({ runBase: 100, inheritedWorkers: ['w1', 'w22'] });
  harness.planner.loadJob(RECORD, undefined, harness.at(0));
  harness.planner.observeWorkers([makeEntry('w1'), makeEntry('w22')], harness.at(0));
  harness.planner.markWorkersRecorded(['w1', 'w22']);
  harness.report('w22', 1);
  return harness;
};

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
