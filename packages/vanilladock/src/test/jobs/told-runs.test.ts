/** What a planner tells its successor of the runs on its workers, and of crashes. */
import * as assert from 'uvu/assert';
import { suite } from 'uvu';
import { handOverSchema, refreshHandOver, type HandOver } from '../../lib/jobs/hand-over.js';
import { LEASE_MS } from '../../lib/jobs/lease-clock.js';
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
const ENTRIES = [makeEntry('w1'), makeEntry('w22')];

/** Opens a planner whose job `a` has a run on `w1`, which has answered last at 500. */
const openFirst = () => {
  const harness = createHarness();
  harness.addWorkers(0, makeEntry('w1'));
  harness.submit(makeJob('a'), 1);
  const [start] = harness.planStarts(2);
  harness.accept([start!], 3);
  harness.planner.observeWorkers(ENTRIES, harness.at(5));
  harness.planner.markWorkersRecorded(['w22']);
  ['w1', 'w22'].forEach((id) =>
    harness.report(id, 500, id === 'w1' ? [makeRow('a.0.0.0', start!.run)] : []),
  );
  return { ...harness, start: start! };
};

/** Takes over at 0 with jobs that the store has; as it was told this much, `w22` has reported. */
const takeOver = (handOver: HandOver, jobIds: readonly string[], first?: Harness) => {
  const harness = createHarness({
    runBase: 100,
    inheritedWorkers: ['w1', 'w22'],
    hasPredecessor: true,
  });
  const { planner, at } = harness;
  jobIds.forEach((id) => {
    const record = { spec: makeJob(id), policy: POLICY, acceptedAtMs: WALL_MS };
    planner.loadJob(record, first?.readProgress(id), at(0));
  });
  planner.observeWorkers(ENTRIES, at(0));
  planner.markWorkersRecorded(['w1', 'w22']);
  planner.observeHandOver({ handOver: handOverSchema.parse(handOver), atMs: 0 });
  harness.report('w22', 10);
  return harness;
};

const listStarts = ({ planStarts }: Harness, nowMs: number) =>
  planStarts(nowMs).map(({ taskKey }) => taskKey);

const test = suite('told runs');

// Guards against all inherited jobs that stand as one worker of the pool does not answer.
test('only the tasks that may run on a worker that does not answer wait for it', () => {
  const first = openFirst();
  first.planner.observeMissedReport('w1', first.at(600));
  const second = takeOver(first.planner.makeHandOver(TOKEN, 1_000), ['a', 'b']);
  second.planner.observeMissedReport('w1', second.at(20));
  assert.equal(listStarts(second, 21), ['b.0.0.0']);
  second.store();
  assert.equal(listStarts(second, LEASE_MS), []);
  assert.equal(listStarts(second, LEASE_MS + 1_000), ['a.0.0.0']);
});

test('a worker that is not called yet holds the tasks that were there', () => {
  const first = openFirst();
  const second = takeOver(first.planner.makeHandOver(TOKEN, 1_000), ['a', 'b']);
  assert.equal(listStarts(second, 30_000), ['b.0.0.0']);
  second.report('w1', 30_010, [makeRow('a.0.0.0', first.start.run)]);
  assert.equal(listStarts(second, 30_020), []);
  assert.is(second.planner.table.findTask('a.0.0.0')!.state.kind, 'assigned');
});

// Guards against a task that runs again after its end, which the planner before could not store.
test('all inherited tasks wait for a worker whose ends are not stored', () => {
  const first = openFirst();
  first.submit(makeJob('c'), 510);
  first.accept(first.planStarts(511), 512);
  first.report(
    first.start.worker.id,
    520,
    [makeRow('c.0.0.0', 1)],
    [makeEnd(1, 'a.0.0.0', first.start.run)],
  );
  const second = takeOver(first.planner.makeHandOver(TOKEN, 521), ['a', 'b', 'c']);
  second.planner.observeMissedReport('w1', second.at(20));
  assert.equal(listStarts(second, 21), []);
});

// Guards against a task that runs twice: an earlier planner orders after the report that is told.
test('all inherited tasks wait for a worker that has reported while earlier planners may order', () => {
  const first = openFirst();
  const second = takeOver(
    { token: TOKEN, earlierOrdersMs: 900, leases: [{ id: 'w1', bornMs: 1, orderedAgoMs: -900 }] },
    ['a', 'b'],
  );
  second.report('w1', 20, [makeRow('a.0.0.0', first.start.run)]);
  const handOver = second.planner.makeHandOver(TOKEN + 1, 500);
  assert.is(handOver.workers!.find(({ id }) => id === 'w1')!.isPartial, true);
  const third = takeOver(handOver, ['a', 'b']);
  third.planner.observeMissedReport('w1', third.at(20));
  third.report('w22', 401);
  assert.equal(listStarts(third, 500), []);
});

test('a planner that a worker has not answered passes on what it was told', () => {
  const first = openFirst();
  first.planner.observeMissedReport('w1', first.at(600));
  const told = first.planner.makeHandOver(TOKEN, 1_000);
  const second = takeOver(told, ['a', 'b']);
  second.planner.observeMissedReport('w1', second.at(20));
  const passedOn = second.planner.makeHandOver(TOKEN + 1, 2_000).workers;
  assert.equal(passedOn, refreshHandOver({ handOver: told, atMs: 0 }, 2_000).workers);
  const third = takeOver(second.planner.makeHandOver(TOKEN + 1, 2_000), ['a', 'b']);
  third.planner.observeMissedReport('w1', third.at(20));
  assert.equal(listStarts(third, 21), ['b.0.0.0']);
  third.store();
  assert.equal(listStarts(third, LEASE_MS - 1_000), ['a.0.0.0']);
});

// Guards against lasting suspects that are never proven as each planner counts their run anew.
test('an adopted run has gone on since its first planner saw it confirmed', () => {
  const first = openFirst();
  const handOver = first.planner.makeHandOver(TOKEN, 3_003);
  const second = takeOver(handOver, ['a']);
  second.report('w1', 20, [makeRow('a.0.0.0', first.start.run)]);
  const readConfirmedMs = ({ planner }: Harness) => {
    const { state } = planner.table.findTask('a.0.0.0')!;
    return state.kind === 'assigned' ? state.confirmedMs : undefined;
  };
  assert.is(readConfirmedMs(second), -3_000);
  const early = takeOver({ ...handOver, workers: undefined }, ['a']);
  early.report('w1', 20, [makeRow('a.0.0.0', first.start.run)]);
  assert.is(readConfirmedMs(early), 20);
  early.planner.observeHandOver({ handOver, atMs: 30 });
  assert.is(readConfirmedMs(early), -2_970);
});

// Guards against workers that crashed one after the other and count as lost in one moment.
test('a worker counts as silent since the planner before has found it so', () => {
  const first = openFirst();
  first.planner.observeMissedReport('w1', first.at(600));
  const [told] = first.planner.makeHandOver(TOKEN, 1_000).workers!;
  assert.is(told!.silentAgoMs, 400);
  assert.is(told!.lastSignAgoMs, 500);
  assert.equal(told!.runs, [
    { taskKey: 'a.0.0.0', run: first.start.run, confirmedAgoMs: 997, isReported: true },
  ]);
});

// Guards against a crash that is recorded at the first report that a worker misses.
test('a worker that has answered since counts as silent from its second missed report on', () => {
  const first = openFirst();
  first.planner.observeMissedReport('w1', first.at(600));
  const second = takeOver(first.planner.makeHandOver(TOKEN, 1_000), ['a']);
  const countCrashes = () => second.planner.table.findTask('a.0.0.0')!.crashes.length;
  second.report('w1', 20, [makeRow('a.0.0.0', first.start.run)]);
  second.planner.observeMissedReport('w1', second.at(300));
  assert.is(countCrashes(), 0);
  second.planner.observeMissedReport('w1', second.at(450));
  assert.is(countCrashes(), 1);
});

// Guards against suspects that begin to wait for a worker of their own anew with each planner.
test('a successor knows how long ago a crash was, and which machines have crashed', () => {
  const first = openFirst();
  first.planner.observeIncarnationEnd('w1', 1, first.at(600));
  first.store();
  const handOver = first.planner.makeHandOver(TOKEN, 2_000);
  assert.equal(handOver.crashes, {
    incarnations: [{ id: 'w1', bornMs: 1, agoMs: 1_400 }],
    machines: [{ machine: 'm-w1', incarnation: 'w1~1', jobIds: ['a'], agoMs: 1_400 }],
  });
  const second = takeOver(handOver, ['a'], first);
  assert.is(second.planner.table.findTask('a.0.0.0')!.crashes[0]!.atMs, -1_400);
  assert.equal(second.planner.makeHandOver(TOKEN + 1, 100).crashes, {
    incarnations: [{ id: 'w1', bornMs: 1, agoMs: 1_500 }],
    machines: [{ machine: 'm-w1', incarnation: 'w1~1', jobIds: ['a'], agoMs: 1_500 }],
  });
});

test('a hand-over tells no more runs than a record holds, those of silent workers first', () => {
  const harness = createHarness();
  const capacity = { cores: 2_000, memoryMb: 1e6, accelerators: 0 };
  harness.addWorkers(0, makeEntry('w1', { capacity }));
  const count = 1_000;
  harness.submit(
    makeJob('a', [makeStep({ count, size: { ...capacity, cores: 2, memoryMb: 1 } })]),
    1,
  );
  harness.accept(harness.planStarts(2), 3);
  harness.planner.observeWorkers(
    ['w1', 'w22'].map((id) => makeEntry(id, { capacity })),
    harness.at(4),
  );
  harness.planner.markWorkersRecorded(['w22']);
  harness.report('w22', 4);
  harness.submit(
    makeJob('b', [makeStep({ count, size: { ...capacity, cores: 2, memoryMb: 1 } })]),
    5,
  );
  harness.accept(harness.planStarts(6), 7);
  assert.equal(harness.planner.makeHandOver(TOKEN, 10).workers, []);
  harness.planner.observeMissedReport('w22', harness.at(20));
  const told = harness.planner.makeHandOver(TOKEN, 30);
  assert.equal(
    told.workers!.map(({ id, runs }) => [id, runs.length]),
    [['w22', count]],
  );
  assert.ok(JSON.stringify(told).length < 200_000);
});

test.run();
