/** Waits of successive planners of a pool, of which each tells the next one what is left of them. */
import * as assert from 'uvu/assert';
import { suite } from 'uvu';
import { SUCCESSION_MS } from '../../lib/duties/authority.js';
import { refreshHandOver, type HandOver } from '../../lib/jobs/hand-over.js';
import { LEASE_MS, MAX_LEASE_MS } from '../../lib/jobs/lease-clock.js';
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

const TOKEN = 7;

/** Time after the last order by which leases of each length have ended. */
const LEASE_END_MS = LEASE_MS + 400;
const LONG_LEASE_END_MS = MAX_LEASE_MS + 600;

const ENTRIES = [makeEntry('w1'), makeEntry('w22')];

/** Loads job `a` at 0 in a planner that inherits two workers, of which `w1` answers no calls. */
const takeOver = (hasPredecessor = false) => {
  const harness = createHarness({
    runBase: 100,
    inheritedWorkers: ['w1', 'w22'],
    hasPredecessor,
  });
  const record = { spec: makeJob('a'), policy: POLICY, acceptedAtMs: WALL_MS };
  harness.planner.loadJob(record, undefined, harness.at(0));
  harness.planner.observeWorkers(ENTRIES, harness.at(0));
  harness.planner.markWorkersRecorded(['w1', 'w22']);
  harness.planner.observeMissedReport('w1', harness.at(10));
  return harness;
};

/** Takes over from a planner that has told this much at 0. */
const takeOverFrom = (handOver: HandOver) => {
  const harness = takeOver(true);
  harness.planner.observeHandOver({ handOver, atMs: 0 });
  harness.report('w22', 10);
  return harness;
};

const isStarting = ({ planStarts }: Harness, nowMs: number) => planStarts(nowMs).length > 0;

const test = suite('hand-over');

// Guards against inherited tasks that never start while planners follow each other quickly.
test('the wait for a worker without answers goes on over planners', () => {
  const first = takeOver();
  first.report('w22', 10);
  assert.is(isStarting(first, 2_000), false);
  const second = takeOverFrom(first.planner.makeHandOver(TOKEN, 2_000));
  assert.is(isStarting(second, 1_500), false);
  const third = takeOverFrom(second.planner.makeHandOver(TOKEN + 1, 1_500));
  assert.is(isStarting(third, LEASE_END_MS - 3_700), false, 'the lease may last');
  assert.is(isStarting(third, LEASE_END_MS - 3_500), true, 'in all, the wait is one lease');
});

// Guards against a task that runs twice, as an older planner still orders when a second one is gone.
test('a planner that was not settled leaves the rest of its wait to the next one', () => {
  const first = takeOver(true);
  const handOver = first.planner.makeHandOver(TOKEN, 1_000);
  assert.is(handOver.earlierOrdersMs, SUCCESSION_MS - 1_000);
  const second = takeOverFrom(handOver);
  second.report('w1', 20);
  assert.is(isStarting(second, handOver.earlierOrdersMs - 1), false, 'reports may be too old');
  ['w1', 'w22'].forEach((id) => second.report(id, handOver.earlierOrdersMs));
  assert.is(isStarting(second, handOver.earlierOrdersMs + 1), true);
});

test('a worker that runs nothing keeps no inherited task waiting', () => {
  const first = createHarness();
  first.addWorkers(0, ...ENTRIES);
  assert.equal(first.planner.makeHandOver(TOKEN, 100).leases, []);
  const second = takeOverFrom(first.planner.makeHandOver(TOKEN, 100));
  assert.is(isStarting(second, 11), true);
});

test('a worker that runs something is waited for from its last order on', () => {
  const first = createHarness();
  first.addWorkers(0, makeEntry('w1'));
  first.submit(makeJob('b'), 1);
  first.accept(first.planStarts(2), 3);
  first.planner.observeMissedReport('w1', first.at(500));
  const { leases } = first.planner.makeHandOver(TOKEN, 3_003);
  assert.equal(leases, [{ id: 'w1', bornMs: 1, orderedAgoMs: 2_000 }]);
  const aged = refreshHandOver(
    { handOver: first.planner.makeHandOver(TOKEN, 3_003), atMs: 50 },
    550,
  );
  assert.is(aged.leases[0]?.orderedAgoMs, 2_500);
});

// Guards against a task that starts again after its end: the planner that knew of it could not store it.
test('a worker whose ends are not stored is asked before inherited tasks go on', () => {
  const first = createHarness();
  first.addWorkers(0, makeEntry('w1'));
  first.submit(makeJob('a'), 1);
  const [start] = first.planStarts(2);
  first.accept([start!], 3);
  first.report('w1', 500, [], [makeEnd(1, start!.taskKey, start!.run)]);
  const second = takeOverFrom(first.planner.makeHandOver(TOKEN, 501));
  assert.is(isStarting(second, 11), false);
  second.report('w1', 20, [], [makeEnd(1, start!.taskKey, start!.run)]);
  assert.is(isStarting(second, 21), false);
});

// Guards against a task that runs twice: an order is carried out late, by the next incarnation.
test('a restarted worker without a report is waited for from the stop of its planner on', () => {
  const first = createHarness();
  first.addWorkers(0, makeEntry('w1'));
  first.submit(makeJob('a'), 1);
  const [start] = first.planStarts(2);
  first.planner.observeStart(start!, { kind: 'unknown' }, first.at(900));
  first.planner.observeWorkers([makeEntry('w1', { bornMs: 2 })], first.at(3_000));
  first.planner.observeMissedReport('w1', first.at(3_500));
  const { leases } = first.planner.makeHandOver(TOKEN, 4_000);
  const lease = { id: 'w1', bornMs: 2, longLeaseTasks: [start!.taskKey], orderedAgoMs: 0 };
  assert.equal(leases, [lease]);
});

// Guards against a task that runs twice on a worker that restarted while planners took over.
test('a worker that has restarted since is waited for as long as the longest lease', () => {
  const leases = [{ id: 'w1', bornMs: 1, orderedAgoMs: 1_000 }];
  const harness = takeOverFrom({ token: TOKEN, earlierOrdersMs: 0, leases });
  const entries = [makeEntry('w1', { bornMs: 2 }), makeEntry('w22')];
  harness.planner.observeWorkers(entries, harness.at(100));
  harness.planner.observeMissedReport('w1', harness.at(600));
  assert.is(isStarting(harness, LEASE_END_MS), false);
  assert.is(isStarting(harness, LONG_LEASE_END_MS - 1_000), true);
});

// Guards against inherited jobs that wait on for a worker whose incarnation is known to have ended.
test('a worker in whose place another one answers keeps no inherited task waiting', () => {
  const leases = [{ id: 'w1', bornMs: 1, orderedAgoMs: 0 }];
  const harness = takeOverFrom({ token: TOKEN, earlierOrdersMs: 0, leases });
  assert.is(isStarting(harness, 99), false);
  harness.planner.observeIncarnationEnd('w1', 1, harness.at(100));
  assert.is(isStarting(harness, 101), true);
  assert.equal(harness.planner.makeHandOver(TOKEN + 1, 102).leases, [
    { id: 'w22', bornMs: 1, orderedAgoMs: 0 },
  ]);
});

// Guards against a task that runs twice: the place of a worker is taken while orders may still come.
test('the end of a worker counts only once earlier planners order no more', () => {
  const leases = [{ id: 'w1', bornMs: 1, orderedAgoMs: -500 }];
  const harness = takeOverFrom({ token: TOKEN, earlierOrdersMs: 500, leases });
  harness.planner.observeIncarnationEnd('w1', 1, harness.at(100));
  assert.is(isStarting(harness, 499), false);
  harness.report('w22', 500);
  assert.is(isStarting(harness, 501), true);
});

// Guards against a task that runs twice on a later incarnation, which an earlier planner knew of.
test('the end of an incarnation says nothing of a later one that is inherited', () => {
  const leases = [{ id: 'w1', bornMs: 2, orderedAgoMs: 0 }];
  const harness = takeOverFrom({ token: TOKEN, earlierOrdersMs: 0, leases });
  harness.planner.observeIncarnationEnd('w1', 1, harness.at(100));
  assert.is(isStarting(harness, 101), false);
});

/** Step of two lasting tasks of which one at a time may be away. */
const PAIR = makeStep({ count: 2, isLasting: true, maxUnavailable: 1, maxPerWorker: 1 });
const PAIR_WORKERS = [...ENTRIES, makeEntry('w333')];
const PAIR_WORKER_IDS = PAIR_WORKERS.map(({ id }) => id);

/** Opens a planner that has ordered the stop of one task of a pair, at 12, which goes on. */
const openStopping = () => {
  const harness = createHarness();
  harness.addWorkers(0, ...ENTRIES);
  harness.submit(makeJob('b', [PAIR]), 1);
  const starts = harness.planStarts(2);
  harness.accept(starts, 3);
  const rows = new Map(
    starts.map(({ worker, taskKey, run }) => [worker.id, makeRow(taskKey, run, { percent: 100 })]),
  );
  /** Lists all workers to a planner and has them report to it. */
  const reportAll = ({ planner, at, report }: Harness, nowMs: number) => {
    planner.observeWorkers(PAIR_WORKERS, at(nowMs));
    planner.markWorkersRecorded(PAIR_WORKER_IDS);
    ['w1', 'w22'].forEach((id) => report(id, nowMs, [rows.get(id)!]));
    report('w333', nowMs);
  };
  reportAll(harness, 10);
  harness.planner.evacuate('w1', harness.at(11));
  assert.equal(listStops(harness, 12), ['w1']);
  return { ...harness, reportAll };
};

/** Opens a planner that loads the pair at 0. */
const openNext = () => {
  const harness = createHarness({
    runBase: 100,
    inheritedWorkers: PAIR_WORKER_IDS,
    hasPredecessor: true,
  });
  const record = { spec: makeJob('b', [PAIR]), policy: POLICY, acceptedAtMs: WALL_MS };
  harness.planner.loadJob(record, undefined, harness.at(0));
  return harness;
};

/** Lists the workers on which a plan stops tasks. */
const listStops = ({ planner, at }: Harness, nowMs: number) =>
  planner.plan(at(nowMs)).flatMap((action) => (action.kind === 'stop' ? [action.worker.id] : []));

// Guards against a lasting task that is moved while another one of its step is being stopped.
test('a run that the planner before has ordered to stop does not count as at work', () => {
  const first = openStopping();
  const second = openNext();
  second.planner.observeHandOver({ handOver: first.planner.makeHandOver(TOKEN, 13), atMs: 1 });
  first.reportAll(second, 5);
  second.planner.evacuate('w22', second.at(6));
  assert.equal(listStops(second, 7), ['w1'], 'the stop of before alone, once more');
});

test('a planner that ends before any report tells of the stops that it was told of', () => {
  const first = openStopping();
  const second = openNext();
  second.planner.observeHandOver({ handOver: first.planner.makeHandOver(TOKEN, 13), atMs: 1 });
  const third = openNext();
  const told = second.planner.makeHandOver(TOKEN + 1, 100);
  third.planner.observeHandOver({ handOver: told, atMs: 1 });
  first.reportAll(third, 5);
  third.planner.evacuate('w22', third.at(6));
  assert.equal(listStops(third, 7), ['w1']);
  assert.is(third.planner.makeHandOver(TOKEN + 2, 8).stoppedRuns?.length, 1, 'told once');
});

test('a hand-over that comes after the first reports tells of the stops too', () => {
  const first = openStopping();
  const second = openNext();
  first.reportAll(second, 5);
  second.planner.observeHandOver({ handOver: first.planner.makeHandOver(TOKEN, 13), atMs: 20 });
  first.reportAll(second, 30);
  second.planner.evacuate('w22', second.at(31));
  assert.equal(listStops(second, 32), ['w1']);
});

test('a hand-over does not bring back a worker that has reported', () => {
  const harness = takeOver();
  ['w1', 'w22'].forEach((id) => harness.report(id, 20));
  const leases = [{ id: 'w1', bornMs: 1, orderedAgoMs: 0 }];
  const handOver = { token: TOKEN, earlierOrdersMs: 0, leases };
  harness.planner.observeHandOver({ handOver, atMs: 30 });
  assert.is(isStarting(harness, 31), true);
});

// Guards against a task that starts again although its worker lists that it is done.
test('a worker that has not been called yet is waited for after its lease too', () => {
  const harness = createHarness({ runBase: 100, inheritedWorkers: ['w1', 'w22'] });
  const record = { spec: makeJob('a'), policy: POLICY, acceptedAtMs: WALL_MS };
  harness.planner.loadJob(record, undefined, harness.at(0));
  harness.planner.plan(harness.at(LEASE_END_MS));
  harness.planner.observeWorkers(ENTRIES, harness.at(LEASE_END_MS));
  harness.planner.markWorkersRecorded(['w1', 'w22']);
  harness.report('w22', LEASE_END_MS + 10);
  assert.is(isStarting(harness, LEASE_END_MS + 11), false, 'the first call is under way');
  harness.planner.observeMissedReport('w1', harness.at(LEASE_END_MS + 400));
  assert.is(isStarting(harness, LEASE_END_MS + 401), true);
});

test.run();
