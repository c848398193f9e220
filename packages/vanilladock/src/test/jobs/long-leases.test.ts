/**
 * Leases that are longer than orders name: a worker that has started again under its id takes orders
 * that were meant for its earlier incarnation, whose clock was ahead, and holds them for 10 s.
 */
import * as assert from 'uvu/assert';
import { suite } from 'uvu';
import type { HandOver } from '../../lib/jobs/hand-over.js';
import { LEASE_MS, MAX_LEASE_MS } from '../../lib/jobs/lease-clock.js';
import { isCovered, type LeaseHolder } from '../../lib/jobs/lease-holder.js';
import type { RunningTask } from '../../lib/ports/task-workers.js';
import {
  createHarness,
  makeEntry,
  makeJob,
  makeRow,
  POLICY,
  WALL_MS,
  type Harness,
} from './planner-harness.js';

const test = suite('long leases');

const TASK = 'a.0.0.0';

/** Uptime after which an order by the clock of an incarnation names more than the next one grants. */
const UPTIME_MS = 20_000;

/** Times after a predecessor's stop by which its leases of each length have ended. */
const SHORT_MS = LEASE_MS + 400;
const LONG_MS = MAX_LEASE_MS + 600;

/** A report of `w1`'s second incarnation, which started at `UPTIME_MS`. */
const reportSecond = (
  { planner, at }: Harness,
  nowMs: number,
  running: readonly RunningTask[] = [],
) =>
  planner.observeReport(
    'w1',
    {
      report: { bornMs: 2, clockMs: nowMs - UPTIME_MS, running, ended: [] },
      sentMs: nowMs,
      receivedMs: nowMs,
    },
    at(nowMs),
  );

/** Takes over jobs `a` and `b` at 0 from a planner that has stopped; `w22` reports all along. */
const takeOver = (holder: LeaseHolder, firstBornMs = holder.bornMs) => {
  const harness = createHarness({ runBase: 100, inheritedWorkers: [holder, 'w22'] });
  ['a', 'b'].forEach((id) => {
    const record = { spec: makeJob(id), policy: POLICY, acceptedAtMs: WALL_MS };
    harness.planner.loadJob(record, undefined, harness.at(0));
  });
  const entries = [makeEntry('w1', { bornMs: firstBornMs }), makeEntry('w22')];
  harness.planner.observeWorkers(entries, harness.at(0));
  harness.planner.markWorkersRecorded(['w1', 'w22']);
  harness.report('w22', 1);
  harness.planner.observeMissedReport('w1', harness.at(600));
  const rows = new Map<string, RunningTask>();
  /** Lists the tasks that are started by then, all on `w22`, which runs and reports them. */
  const listStarts = (nowMs: number) => {
    harness.report('w22', nowMs, [...rows.values()]);
    const starts = harness.planStarts(nowMs);
    harness.accept(starts, nowMs);
    starts.forEach(({ taskKey, run }) => rows.set(taskKey, makeRow(taskKey, run)));
    return starts.map(({ taskKey }) => taskKey);
  };
  return { ...harness, harness, listStarts };
};

const RESTARTED: LeaseHolder = { id: 'w1', bornMs: 2, longLeaseTasks: [TASK] };

// Guards against a task that runs twice: its worker, restarted and unresponsive, holds it for 10 s.
test('a successor waits for a long lease with the tasks of its worker, and with no others', () => {
  const { listStarts } = takeOver(RESTARTED);
  assert.equal(listStarts(SHORT_MS), ['b.0.0.0']);
  assert.equal(listStarts(MAX_LEASE_MS), []);
  assert.equal(listStarts(LONG_MS), [TASK]);
});

test('a successor waits for a long lease only until its worker reports', () => {
  const { harness, listStarts } = takeOver(RESTARTED);
  assert.equal(listStarts(SHORT_MS), ['b.0.0.0']);
  reportSecond(harness, SHORT_MS + 10);
  assert.equal(listStarts(SHORT_MS + 20), [TASK]);
});

test('the next successor is told of a long lease that this one could not ask about', () => {
  const { planner, listStarts } = takeOver(RESTARTED);
  listStarts(SHORT_MS);
  const [holder] = planner.listLeaseHolders(SHORT_MS).filter(({ id }) => id === 'w1');
  assert.equal(holder, RESTARTED);
  listStarts(LONG_MS);
  assert.ok(planner.listLeaseHolders(LONG_MS).every((other) => other.longLeaseTasks === undefined));
});

// Guards against a task that runs twice: the predecessor stopped before it knew of the restart.
test('a restart that the predecessor did not know of makes every inherited task wait', () => {
  const { planner, at, listStarts } = takeOver({ id: 'w1', bornMs: 1 });
  planner.observeWorkers([makeEntry('w1', { bornMs: 2 }), makeEntry('w22')], at(900));
  planner.observeMissedReport('w1', at(1_500));
  assert.equal(listStarts(SHORT_MS), []);
  assert.equal(listStarts(MAX_LEASE_MS), []);
  assert.equal(listStarts(LONG_MS), [TASK, 'b.0.0.0']);
});

test('a worker that has not restarted holds no lease longer than orders name', () => {
  const { listStarts } = takeOver({ id: 'w1', bornMs: 1 });
  assert.equal(listStarts(SHORT_MS), [TASK, 'b.0.0.0']);
  const old = takeOver({ id: 'w1', bornMs: 0 }, 2);
  assert.equal(old.listStarts(SHORT_MS), [TASK, 'b.0.0.0'], 'of a record without incarnations');
});

test('a run adopted on an incarnation that the predecessor did not know is kept for 10 s', () => {
  const { harness, planner, at, listStarts } = takeOver({ id: 'w1', bornMs: 1 });
  planner.observeWorkers([makeEntry('w1', { bornMs: 2 }), makeEntry('w22')], at(650));
  const row = makeRow(TASK, 1);
  const report = { bornMs: 2, clockMs: 500, running: [row], ended: [] };
  planner.observeReport('w1', { report, sentMs: 700, receivedMs: 700 }, at(700));
  planner.observeMissedReport('w1', at(1_300));
  assert.equal(listStarts(700 + SHORT_MS), ['b.0.0.0']);
  const [holder] = harness.planner.listLeaseHolders(SHORT_MS).filter(({ id }) => id === 'w1');
  assert.equal(holder, { id: 'w1', bornMs: 2, longLeaseTasks: [TASK] });
  assert.equal(listStarts(700 + LONG_MS), [TASK]);
});

/** Starts the task of job `a` on `w1`, the only worker by then, after a long uptime. */
const startOnFirst = () => {
  const harness = createHarness();
  harness.addWorkers(UPTIME_MS - 100, makeEntry('w1'));
  harness.submit(makeJob('a'), UPTIME_MS);
  const [start] = harness.planStarts(UPTIME_MS + 1);
  const addSecond = (nowMs: number, bornMs: number) => {
    const entries = [makeEntry('w1', { bornMs }), makeEntry('w22')];
    harness.planner.observeWorkers(entries, harness.at(nowMs));
    harness.planner.markWorkersRecorded(['w1', 'w22']);
    harness.report('w22', nowMs);
  };
  const answerStart = (clockMs: number) => {
    const outcome = { kind: 'accepted', clockMs } as const;
    harness.planner.observeStart(start!, outcome, harness.at(UPTIME_MS + 5));
  };
  return { ...harness, harness, start: start!, addSecond, answerStart };
};

test('tasks on a restarted worker are recorded while their lease is long, and it gets no others', () => {
  const { harness, planner, addSecond, answerStart, planStarts, submit } = startOnFirst();
  answerStart(UPTIME_MS);
  addSecond(UPTIME_MS + 10, 2);
  const findHolder = (nowMs: number) =>
    planner.listLeaseHolders(nowMs).find(({ id }) => id === 'w1');
  const long = { id: 'w1', bornMs: 2, longLeaseTasks: [TASK] };
  assert.equal(findHolder(UPTIME_MS + 11), long, 'before its first report');
  reportSecond(harness, UPTIME_MS + 20, [makeRow(TASK, 1)]);
  assert.equal(findHolder(UPTIME_MS + 30), long);
  submit(makeJob('c'), UPTIME_MS + 40);
  const [start] = planStarts(UPTIME_MS + 50);
  assert.is(start?.worker.id, 'w22');
  const shortMs = UPTIME_MS + 20 + MAX_LEASE_MS - LEASE_MS;
  reportSecond(harness, shortMs, [makeRow(TASK, 1)]);
  assert.equal(findHolder(shortMs), { id: 'w1', bornMs: 2 }, 'no longer than a successor waits');
});

// Guards against a task that runs twice: a worker restarts, takes a start and then answers nothing.
test('a start that is answered by a clock that went back is kept for the longest lease', () => {
  const { planner, at, addSecond, answerStart, report, planStarts } = startOnFirst();
  addSecond(UPTIME_MS + 2, 1);
  answerStart(40);
  planner.observeMissedReport('w1', at(UPTIME_MS + 600));
  report('w22', UPTIME_MS + SHORT_MS);
  assert.equal(planStarts(UPTIME_MS + SHORT_MS), []);
  report('w22', UPTIME_MS + MAX_LEASE_MS);
  assert.equal(planStarts(UPTIME_MS + MAX_LEASE_MS), []);
  report('w22', UPTIME_MS + LONG_MS);
  assert.is(planStarts(UPTIME_MS + LONG_MS).length, 1);
});

// Guards against a task that runs twice: a renewal for the earlier incarnation has reached the next.
test('a renewal that an incarnation took for its own counts in its first lease', () => {
  const { harness, planner, addSecond, answerStart, report, planStarts } = startOnFirst();
  answerStart(UPTIME_MS + 3);
  report('w1', UPTIME_MS + 10, [makeRow(TASK, 1)]);
  addSecond(UPTIME_MS + 12, 1);
  // The loop renews the lease by the clock of the first incarnation, and the second one reports.
  planner.table.updateWorker('w1', { lastLeaseCallMs: UPTIME_MS + 20 });
  reportSecond(harness, UPTIME_MS + 20);
  assert.is(planner.table.workers.get('w1')!.leaseUntilMs, 20 + MAX_LEASE_MS);
  assert.is(planStarts(UPTIME_MS + 30)[0]?.worker.id, 'w22', 'not on w1 while its lease is long');
  const before = createHarness();
  before.addWorkers(UPTIME_MS - 100, makeEntry('w1'));
  before.planner.table.updateWorker('w1', { lastLeaseCallMs: UPTIME_MS - 3_000 });
  reportSecond(before, UPTIME_MS + 20);
  assert.is(before.planner.table.workers.get('w1')!.leaseUntilMs, 20 + LEASE_MS);
  assert.is(before.planner.listLeaseHolders(UPTIME_MS + 30)[0]?.longLeaseTasks, undefined);
});

test('a stored record covers one with fewer tasks, and none of another incarnation or length', () => {
  const stored = { id: 'w1', bornMs: 2, longLeaseTasks: ['a', 'b'] };
  assert.ok(isCovered({ id: 'w1', bornMs: 2, longLeaseTasks: ['b'] }, stored));
  assert.not(isCovered({ id: 'w1', bornMs: 2, longLeaseTasks: ['c'] }, stored));
  assert.not(isCovered({ id: 'w1', bornMs: 3, longLeaseTasks: ['b'] }, stored));
  assert.not(isCovered({ id: 'w1', bornMs: 2 }, stored));
  assert.not(isCovered({ id: 'w1', bornMs: 2, longLeaseTasks: [] }, { id: 'w1', bornMs: 2 }));
  assert.not(isCovered({ id: 'w1', bornMs: 2 }, undefined));
});

/** Takes jobs over at 0 on `w1` alone, whose second incarnation answers, from a planner that tells. */
const takeOverFrom = (inheritedWorkers: readonly LeaseHolder[], handOver: HandOver) => {
  const harness = createHarness({ runBase: 100, inheritedWorkers, hasPredecessor: true });
  const record = { spec: makeJob('a'), policy: POLICY, acceptedAtMs: WALL_MS };
  harness.planner.loadJob(record, undefined, harness.at(0));
  harness.planner.observeHandOver({ handOver, atMs: 0 });
  harness.planner.observeWorkers([makeEntry('w1', { bornMs: 2 })], harness.at(0));
  harness.planner.markWorkersRecorded(['w1']);
  return harness;
};

/** Reports `w1`'s second incarnation with its clock. */
const reportAt = (
  { planner, at }: Harness,
  nowMs: number,
  clockMs: number,
  running: readonly RunningTask[] = [],
) => {
  const report = { bornMs: 2, clockMs, running, ended: [] };
  planner.observeReport('w1', { report, sentMs: nowMs, receivedMs: nowMs }, at(nowMs));
};

const NOTHING: HandOver = { token: 1, earlierOrdersMs: 0, leases: [] };

// Guards against a restarted worker that gets no tasks while planners follow each other.
test('the wait for the end of a long lease goes on over planners', () => {
  const isStarting = (harness: Harness, nowMs: number, clockMs: number) => {
    reportAt(harness, nowMs, clockMs);
    return harness.planStarts(nowMs).length > 0;
  };
  const first = takeOverFrom([{ id: 'w1', bornMs: 1 }], NOTHING);
  assert.is(isStarting(first, 10, 1_000), false);
  assert.is(isStarting(first, 3_000, 3_990), false);
  const told = first.planner.makeHandOver(2, 3_000);
  // The second one ends before any report.
  const second = takeOverFrom(first.planner.listLeaseHolders(3_000), told);
  const third = takeOverFrom(
    second.planner.listLeaseHolders(100),
    second.planner.makeHandOver(3, 100),
  );
  assert.is(isStarting(third, 10, 4_100), false);
  assert.is(isStarting(third, 2_700, 6_790), false, 'a successor would not wait for this lease');
  const last = takeOverFrom(
    third.planner.listLeaseHolders(2_700),
    third.planner.makeHandOver(4, 2_700),
  );
  assert.is(isStarting(last, 100, 6_950), true, 'first report at 1,000, lease until 11,000');
});

// Guards against a task that runs twice, as the rest of a lease is taken for a short one.
test('a run on a worker whose long lease was told is kept until that ends', () => {
  const first = takeOverFrom([{ id: 'w1', bornMs: 1 }], NOTHING);
  const row = makeRow(TASK, 1);
  reportAt(first, 10, 1_000, [row]);
  const told = first.planner.makeHandOver(2, 500);
  const second = takeOverFrom(first.planner.listLeaseHolders(500), told);
  reportAt(second, 10, 1_500, [row]);
  const listed = [makeEntry('w1', { bornMs: 2 }), makeEntry('w22')];
  second.planner.observeWorkers(listed, second.at(20));
  second.planner.markWorkersRecorded(['w22']);
  second.report('w22', 20);
  second.planner.observeMissedReport('w1', second.at(700));
  const isStarting = (nowMs: number) => {
    second.report('w22', nowMs);
    return second.planStarts(nowMs).length > 0;
  };
  assert.is(isStarting(9_510), false, 'the lease ends at 11,000 on a clock that was at 1,500');
  assert.is(isStarting(9_990), true);
});

test.run();
