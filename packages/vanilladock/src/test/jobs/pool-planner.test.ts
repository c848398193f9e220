/** Tests of the planner of a pool. */
import * as assert from 'uvu/assert';
import { suite } from 'uvu';
import { LEASE_MS } from '../../lib/jobs/lease-clock.js';
import type { PoolAction } from '../../lib/jobs/pool-planner.js';
import {
  createHarness,
  makeEnd,
  makeEntry,
  makeJob,
  makeRow,
  makeStep,
  POLICY,
  WALL_MS,
} from './planner-harness.js';

/** Lists the ids of workers that may hold leases. */
const listHolderIds = (holders: readonly { readonly id: string }[]) => holders.map(({ id }) => id);

const test = suite('pool planner');

const listStopActions = (actions: readonly PoolAction[]) =>
  actions.flatMap((action) => (action.kind === 'stop' ? [action] : []));

const listStops = (actions: readonly PoolAction[]) =>
  actions.flatMap((action) => (action.kind === 'stop' ? [action.taskKey] : []));

test('starts no task of a job before the job is stored', () => {
  const { planner, addWorkers, at, planStarts, store } = createHarness();
  addWorkers(0, makeEntry('w1'));
  planner.submit(makeJob('a'), POLICY, at(1));
  assert.is(planStarts(2).length, 0);
  store();
  assert.is(planStarts(3).length, 1);
});

test('recognises a repeated submission', () => {
  const { planner, submit, at } = createHarness();
  submit(makeJob('a'), 0);
  assert.is(planner.submit(makeJob('a'), POLICY, at(5)), 'known');
});

test('reports a job as completed only after the ends of its tasks are stored', () => {
  const { planner, addWorkers, submit, planStarts, accept, report, store } = createHarness();
  addWorkers(0, makeEntry('w1'));
  submit(makeJob('a'), 1);
  accept(planStarts(2), 3);
  report('w1', 10, [], [makeEnd(1, 'a.0.0.0', 1)]);
  assert.is(planner.getJobStatus('a'), 'running');
  store();
  assert.is(planner.getJobStatus('a'), 'completed');
});

test('starts a step only after all tasks of its dependencies are done', () => {
  const { addWorkers, submit, planStarts, accept, report } = createHarness();
  addWorkers(0, makeEntry('w1'));
  submit(makeJob('a', [makeStep({ count: 2 }), makeStep({ dependsOn: [0] })]), 1);
  const first = planStarts(2);
  accept(first, 3);
  assert.equal(
    first.map((start) => start.taskKey),
    ['a.0.0.0', 'a.0.0.1'],
  );
  report('w1', 10, [makeRow('a.0.0.1', 1)], [makeEnd(1, 'a.0.0.0', 1)]);
  assert.is(planStarts(11).length, 0);
  report('w1', 20, [], [makeEnd(2, 'a.0.0.1', 1)]);
  assert.equal(
    planStarts(21).map((start) => start.taskKey),
    ['a.0.1.0'],
  );
});

test('retries a failed task on another worker and fails the job after the last attempt', () => {
  const { planner, addWorkers, submit, planStarts, accept, report, store } = createHarness();
  addWorkers(0, makeEntry('w1'), makeEntry('w22'));
  submit(makeJob('a'), 1);
  const [first] = planStarts(2);
  accept([first!], 3);
  report(first!.worker.id, 10, [], [makeEnd(1, 'a.0.0.0', 1, 'failed')]);
  const [second] = planStarts(11);
  assert.is.not(second!.worker.id, first!.worker.id);
  assert.is(second!.run, 2);
  accept([second!], 12);
  report(second!.worker.id, 20, [], [makeEnd(1, 'a.0.0.0', 2, 'failed')]);
  store();
  assert.is(planner.getJobStatus('a'), 'failed');
});

test('restarts a lasting task however it ends', () => {
  const { planner, addWorkers, submit, planStarts, accept, report } = createHarness();
  addWorkers(0, makeEntry('w1'));
  submit(makeJob('a', [makeStep({ isLasting: true })]), 1);
  accept(planStarts(2), 3);
  report('w1', 10, [], [makeEnd(1, 'a.0.0.0', 1, 'done')]);
  const [again] = planStarts(11);
  assert.is(again!.run, 2);
  accept([again!], 12);
  report('w1', 20, [], [makeEnd(2, 'a.0.0.0', 2, 'failed')]);
  assert.is(planStarts(21)[0]!.run, 3);
  assert.is(planner.getJobStatus('a'), 'running');
});

test('stores the ends of an inherited job even if no task of it was reported as running', () => {
  const { planner, at, addWorkers, report, store, readProgress } = createHarness({ runBase: 100 });
  const spec = makeJob('a', [makeStep({ count: 2 })]);
  planner.loadJob({ spec, policy: POLICY, acceptedAtMs: WALL_MS }, undefined, at(0));
  addWorkers(0, makeEntry('w1'));
  report('w1', 5, [], [makeEnd(1, 'a.0.0.0', 1)]);
  store();
  assert.ok(readProgress('a')?.done.has('0.0.0'));
});

test('counts a failed run once even if it is reported again after a take-over', () => {
  const first = createHarness();
  first.addWorkers(0, makeEntry('w1'));
  first.submit(makeJob('a'), 1);
  first.accept(first.planStarts(2), 3);
  first.report('w1', 10, [], [makeEnd(1, 'a.0.0.0', 1, 'failed')]);
  first.store();
  const second = createHarness({ runBase: 100 });
  const record = { spec: makeJob('a'), policy: POLICY, acceptedAtMs: WALL_MS };
  second.planner.loadJob(record, first.readProgress('a'), second.at(0));
  second.addWorkers(0, makeEntry('w1'));
  second.report('w1', 5, [], [makeEnd(1, 'a.0.0.0', 1, 'failed')]);
  assert.is(second.planStarts(6)[0]!.run, 101);
});

test('adopts a run of an earlier planner regardless of its number', () => {
  const { planner, at, addWorkers, report, planStarts } = createHarness({ runBase: 200 });
  const spec = makeJob('a', [makeStep({ isLasting: true })]);
  planner.loadJob({ spec, policy: POLICY, acceptedAtMs: WALL_MS }, undefined, at(0));
  addWorkers(0, makeEntry('w1'));
  report('w1', 5, [makeRow('a.0.0.0', 101, { percent: 100 })]);
  const actions = planner.plan(at(6));
  assert.equal(listStops(actions), []);
  assert.is(planStarts(7).length, 0);
});

test('applies every end in a report regardless of their order', () => {
  const { addWorkers, submit, planStarts, accept, report, store, readProgress } = createHarness();
  addWorkers(0, makeEntry('w1'));
  submit(makeJob('a', [makeStep({ count: 3 })]), 1);
  accept(planStarts(2), 3);
  report('w1', 10, [makeRow('a.0.0.2', 1)], [makeEnd(2, 'a.0.0.1', 1), makeEnd(1, 'a.0.0.0', 1)]);
  store();
  assert.is(readProgress('a')?.done.size, 2);
});

test('waits for recorded workers of an earlier planner that have not reported yet', () => {
  const { planner, at, addWorkers, planStarts } = createHarness({
    runBase: 100,
    inheritedWorkers: ['w1', 'gone'],
  });
  const spec = makeJob('a');
  planner.loadJob({ spec, policy: POLICY, acceptedAtMs: WALL_MS }, undefined, at(0));
  addWorkers(0, makeEntry('w1'));
  assert.is(planStarts(10).length, 0);
  assert.equal(listHolderIds(planner.listLeaseHolders(10)).sort(), ['gone', 'w1']);
  const [start] = planStarts(2 * LEASE_MS);
  assert.is(start!.run, 101);
  assert.equal(listHolderIds(planner.listLeaseHolders(2 * LEASE_MS)), ['w1']);
});

// Guards against running a task twice: a predecessor that cannot reach the store may still start it
// on a restarted worker.
test('waits until its predecessor has stopped and all workers have reported since', () => {
  const { planner, at, addWorkers, report, planStarts } = createHarness({
    runBase: 100,
    inheritedWorkers: ['w1'],
    hasPredecessor: true,
  });
  const spec = makeJob('a');
  planner.loadJob({ spec, policy: POLICY, acceptedAtMs: WALL_MS }, undefined, at(0));
  addWorkers(10, makeEntry('w1'));
  assert.is(planStarts(20).length, 0, 'the predecessor may have started it');
  planner.observePredecessorStopped(30);
  assert.is(planStarts(40).length, 0, 'the worker reported before the predecessor had stopped');
  report('w1', 60, [], [], 50);
  assert.is(planStarts(70).length, 1);
});

// Guards against exceeding the limit on unavailable lasting tasks after planners were replaced in
// quick succession.
test('moves no inherited lasting task before all workers have reported', () => {
  const { planner, at, addWorkers, report } = createHarness({
    runBase: 100,
    inheritedWorkers: ['w1', 'w22', 'unreported'],
  });
  const steps = [makeStep({ count: 3, isLasting: true, maxUnavailable: 2 })];
  const record = { spec: makeJob('a', steps), policy: POLICY, acceptedAtMs: WALL_MS };
  planner.loadJob(record, undefined, at(0));
  addWorkers(1, makeEntry('w1'), makeEntry('w22'));
  const rows = [0, 1].map((index) => makeRow(`a.0.0.${index}`, 1, { percent: 100 }));
  report('w1', 5, rows);
  planner.evacuate('w1', at(6));
  assert.equal(listStops(planner.plan(at(7))), []);
  planner.observeEndNotice('unreported', at(7));
  assert.equal(listStops(planner.plan(at(8))), [], 'the notice may be of an earlier incarnation');
  const entries = ['w1', 'w22', 'unreported'].map((id) => makeEntry(id));
  planner.observeWorkers(entries, at(9));
  report('unreported', 10);
  assert.is(listStops(planner.plan(at(11))).length, 1);
});

// Guards against exceeding the limit on unavailable lasting tasks: a planner that was too slow to
// renew their leases must not assume that they are still running.
test('moves no lasting task while reports on its siblings are outdated', () => {
  const { planner, at, addWorkers, submit, planStarts, accept, report } = createHarness();
  addWorkers(0, makeEntry('w1'), makeEntry('w22'), makeEntry('w333'));
  submit(makeJob('a', [makeStep({ count: 3, isLasting: true, maxUnavailable: 1 })]), 1);
  const starts = planStarts(2);
  accept(starts, 3);
  const reportAll = (nowMs: number, ids: readonly string[]) =>
    ids.forEach((id) => {
      const rows = starts
        .filter(({ worker }) => worker.id === id)
        .map(({ taskKey, run }) => makeRow(taskKey, run, { percent: 100 }));
      report(id, nowMs, rows);
    });
  reportAll(10, ['w1', 'w22', 'w333']);
  reportAll(3_000, ['w1']);
  planner.evacuate('w1', at(3_001));
  assert.equal(listStops(planner.plan(at(3_002))), []);
  reportAll(3_010, ['w22', 'w333']);
  assert.is(listStops(planner.plan(at(3_020))).length, 1);
});

test('starts a task elsewhere after a missing response only once its worker cannot run it', () => {
  const { planner, addWorkers, submit, planStarts, at, report } = createHarness();
  addWorkers(0, makeEntry('w1'), makeEntry('w22'));
  submit(makeJob('a'), 1);
  const [start] = planStarts(2);
  planner.observeStart(start!, { kind: 'unknown' }, at(400));
  const [stop] = listStopActions(planner.plan(at(401)));
  assert.is(planStarts(402).length, 0);
  report(start!.worker.id, 410, [], [], 405);
  assert.is(planStarts(411).length, 0, 'the stop has not been confirmed yet');
  planner.observeStop(stop!, { kind: 'accepted', clockMs: 420 }, at(420));
  report(start!.worker.id, 431, [], [], 430);
  assert.is(planStarts(432).length, 1);
});

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

test('stops the runs of a cancelled job, including those reported later', () => {
  const { planner, addWorkers, submit, planStarts, accept, at, report } = createHarness();
  addWorkers(0, makeEntry('w1'));
  submit(makeJob('a'), 1);
  accept(planStarts(2), 3);
  planner.cancel('a', at(10));
  assert.equal(listStops(planner.plan(at(11))), ['a.0.0.0']);
  report('w1', 20, [], [makeEnd(1, 'a.0.0.0', 1, 'stopped')]);
  report('w1', 4000, [makeRow('a.0.0.0', 1)]);
  assert.equal(listStops(planner.plan(at(4001))), ['a.0.0.0']);
});

test('moves lasting tasks off a worker one at a time, within the limit of their step', () => {
  const { planner, addWorkers, submit, planStarts, accept, at, report } = createHarness();
  addWorkers(0, makeEntry('w1'), makeEntry('w22'));
  submit(makeJob('a', [makeStep({ count: 4, isLasting: true, maxUnavailable: 1 })]), 1);
  const starts = planStarts(2);
  accept(starts, 3);
  const listRows = (id: string) =>
    starts
      .filter((start) => start.worker.id === id)
      .map((start) => makeRow(start.taskKey, 1, { percent: 100 }));
  report('w1', 10, listRows('w1'));
  report('w22', 10, listRows('w22'));
  assert.equal(planner.evacuate('w1', at(11)), { lastingTasks: 2, batchTasks: 0 });
  assert.is(listStops(planner.plan(at(12))).length, 1);
  assert.is(listStops(planner.plan(at(13))).length, 0);
});

test('demand counts memory if it is scarcer than cores, and shows when a task fits nowhere', () => {
  const { planner, addWorkers, submit, planStarts, accept, at } = createHarness();
  addWorkers(0, makeEntry('w1'));
  const size = { cores: 1, memoryMb: 600, accelerators: 0 };
  submit(makeJob('a', [makeStep({ size })]), 1);
  accept(planStarts(2), 3);
  assert.is(planner.getDemand(0, at(4)).runnableCores, 2.4);
  assert.not(planner.getDemand(0, at(4)).hasUnplaced);
  submit(makeJob('b', [makeStep({ size })]), 5);
  assert.is(planStarts(6).length, 0);
  assert.ok(planner.getDemand(0, at(7)).hasUnplaced);
});

test('a task that no worker may run does not create demand for more workers', () => {
  const { planner, addWorkers, submit, planStarts, at } = createHarness();
  addWorkers(0, makeEntry('w1'));
  submit(makeJob('a', [makeStep({ requiredLabel: 'z' })]), 1);
  assert.is(planStarts(2).length, 0);
  assert.not(planner.getDemand(0, at(3)).hasUnplaced);
});

test('demand distinguishes work that can still meet its objective', () => {
  const { planner, addWorkers, submit, at } = createHarness();
  addWorkers(0, makeEntry('w1'));
  submit(makeJob('a', [makeStep({ count: 9 })]), 1);
  assert.is(planner.getDemand(0, at(2)).onTimeCores, 9);
  assert.is(planner.getDemand(0, at(60_000)).onTimeCores, 0);
  assert.is(planner.getDemand(0, at(60_000)).runnableCores, 9);
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

test('tasks that prefer one rack overflow to other racks when it is full', () => {
  const { addWorkers, submit, planStarts } = createHarness();
  addWorkers(
    0,
    makeEntry('w1', { rack: 'r1-1' }),
    makeEntry('w22', { rack: 'r1-2', labels: ['a', 'r1-2'] }),
  );
  submit(makeJob('a', [makeStep({ count: 7, dataRack: 'r1-2' })]), 1);
  const targets = planStarts(2).map(({ worker }) => worker.id);
  assert.equal(
    ['w1', 'w22'].map((id) => targets.filter((target) => target === id).length),
    [3, 4],
  );
});

test('demands one worker more than the spread of its lasting tasks needs', () => {
  const { planner, submit, at } = createHarness();
  submit(makeJob('a', [makeStep({ count: 5, maxPerWorker: 2, isLasting: true })]), 1);
  assert.is(planner.getDemand(0, at(2)).minWorkers, 4);
});

test('does not report a worker as empty before the worker reported to this planner', () => {
  const { planner, at } = createHarness({ inheritedWorkers: ['w1'] });
  assert.is(planner.evacuate('w1', at(10)), undefined);
  planner.observeWorkers([makeEntry('w1')], at(20));
  assert.is(planner.evacuate('w1', at(30)), undefined);
});

test('keeps new tasks off draining, unreported, evacuated and unrecorded workers', () => {
  const { planner, addWorkers, submit, planStarts, at } = createHarness();
  addWorkers(0, makeEntry('w1', { phase: 'draining' }), makeEntry('w22'));
  planner.observeWorkers(
    [makeEntry('w1', { phase: 'draining' }), makeEntry('w22'), makeEntry('w333')],
    at(1),
  );
  planner.evacuate('w22', at(2));
  submit(makeJob('a'), 3);
  assert.is(planStarts(4).length, 0);
});

test('starts a gang completely or not at all, with one run number', () => {
  const { addWorkers, submit, planStarts } = createHarness();
  addWorkers(0, makeEntry('w1'));
  submit(makeJob('a', [makeStep({ count: 5, isGang: true })]), 1);
  assert.is(planStarts(2).length, 0);
  const larger = createHarness();
  larger.addWorkers(0, makeEntry('w1'), makeEntry('w22'));
  larger.submit(makeJob('a', [makeStep({ count: 5, isGang: true })]), 1);
  const starts = larger.planStarts(2);
  assert.is(starts.length, 5);
  assert.equal([...new Set(starts.map((start) => start.run))], [1]);
});

test('the end of one task of a gang completes the whole gang', () => {
  const { planner, addWorkers, submit, planStarts, accept, report, store } = createHarness();
  addWorkers(0, makeEntry('w1'));
  submit(makeJob('a', [makeStep({ count: 2, isGang: true })]), 1);
  accept(planStarts(2), 3);
  report('w1', 10, [makeRow('a.0.0.1', 1)], [makeEnd(1, 'a.0.0.0', 1)]);
  store();
  assert.is(planner.getJobStatus('a'), 'completed');
});

test('respects the required label and the limit on tasks of a step per worker', () => {
  const { addWorkers, submit, planStarts } = createHarness();
  addWorkers(0, makeEntry('w1', { labels: ['b'] }), makeEntry('w22'));
  submit(makeJob('a', [makeStep({ count: 3, requiredLabel: 'a', maxPerWorker: 2 })]), 1);
  const starts = planStarts(2);
  assert.equal(
    starts.map((start) => start.worker.id),
    ['w22', 'w22'],
  );
});

test('starts tasks of a route with advice only with a ticket', () => {
  const { planner, addWorkers, submit, planStarts, at } = createHarness();
  const advice = { decideMs: 1, perWorkerMs: 1, validMs: 1000 };
  addWorkers(0, makeEntry('w1'), makeEntry('w22'));
  submit(makeJob('a'), 1, { ...POLICY, advice });
  const [query] = planner.plan(at(2));
  assert.is(query!.kind, 'advise');
  planner.tickets.addAnswer('a.0.0', new Map([['w22', 't']]), 1000, 3);
  const [start] = planStarts(4);
  assert.is(start!.worker.id, 'w22');
  assert.is(start!.ticket, 't');
});

test('starts each occurrence when it is due and completes after the last', () => {
  const { planner, addWorkers, submit, planStarts, accept, report, store } = createHarness();
  addWorkers(0, makeEntry('w1'));
  submit(makeJob('a', undefined, { repeatCount: 2, startAtMs: WALL_MS + 100, intervalMs: 50 }), 1);
  assert.is(planStarts(99).length, 0);
  const [first] = planStarts(101);
  assert.is(first!.taskKey, 'a.0.0.0');
  accept([first!], 102);
  const [second] = planStarts(151);
  assert.is(second!.taskKey, 'a.1.0.0');
  accept([second!], 152);
  report('w1', 160, [], [makeEnd(1, 'a.0.0.0', 1), makeEnd(2, 'a.1.0.0', 1)]);
  store();
  assert.is(planner.getJobStatus('a'), 'completed');
});

test('stops a task whose progress has stalled', () => {
  const { planner, addWorkers, submit, planStarts, accept, report, at } = createHarness();
  addWorkers(0, makeEntry('w1'));
  submit(makeJob('a'), 1);
  accept(planStarts(2), 3);
  report('w1', 10, [makeRow('a.0.0.0', 1, { percent: 20 })]);
  report('w1', 1000, [makeRow('a.0.0.0', 1, { percent: 20 })]);
  assert.equal(listStops(planner.plan(at(1001))), []);
  report('w1', 1700, [makeRow('a.0.0.0', 1, { percent: 20 })]);
  assert.equal(listStops(planner.plan(at(1701))), ['a.0.0.0']);
});

test('slows filling tasks when the tail latency of a lasting task approaches its target', () => {
  const { addWorkers, submit, planStarts, accept, report } = createHarness();
  addWorkers(0, makeEntry('w1'));
  submit(
    makeJob('a', [makeStep({ isLasting: true, tailTargetMs: 100 }), makeStep({ isFilling: true })]),
    1,
  );
  accept(planStarts(2), 3);
  const fill = makeRow('a.0.1.0', 1);
  const [slow] = report('w1', 10, [makeRow('a.0.0.0', 1, { load: 120 }), fill]);
  assert.is(slow!.kind === 'pace' && slow!.percent, 25);
  const [raised] = report('w1', 500, [makeRow('a.0.0.0', 1, { load: 40 }), fill]);
  assert.is(raised!.kind === 'pace' && raised!.percent, 45);
});

test('drops a submission that the store refused', () => {
  const { planner, at } = createHarness();
  planner.submit(makeJob('a'), POLICY, at(0));
  const batch = planner.takeStoreBatch();
  planner.dropUnstored(batch!);
  assert.is(planner.getJobStatus('a'), 'unknown');
  assert.is(planner.takeStoreBatch(), undefined);
});

test('a worker that failed tasks of several jobs gets no new tasks for a while', () => {
  const { addWorkers, submit, planStarts, accept, report } = createHarness();
  addWorkers(0, makeEntry('w1'));
  ['a', 'b', 'c', 'd'].forEach((id) => submit(makeJob(id), 1));
  const starts = planStarts(2);
  accept(starts, 3);
  const ends = starts.map((start, index) => makeEnd(index + 1, start.taskKey, 1, 'failed'));
  addWorkers(5, makeEntry('w1'), makeEntry('w2'));
  report('w1', 10, [], ends);
  const listIds = (nowMs: number) => planStarts(nowMs).map(({ worker }) => worker.id);
  assert.equal(listIds(200), ['w2', 'w2', 'w2', 'w2']);
  ['e', 'f'].forEach((id) => submit(makeJob(id), 201));
  assert.equal(listIds(300), []);
  assert.equal(listIds(1_900), []);
  assert.equal(listIds(2_100), ['w1'], 'one task on trial');
  assert.equal(listIds(2_900), []);
  assert.equal(listIds(4_200), ['w1']);
});

test('a worker does not count as empty while the planner before may still start tasks there', () => {
  const { planner, at, addWorkers, report } = createHarness({
    hasPredecessor: true,
    inheritedWorkers: ['w1'],
    runBase: 100,
  });
  addWorkers(10, makeEntry('w1'));
  assert.is(planner.evacuate('w1', at(200)), undefined);
  report('w1', 700, [makeRow('a.0.0.0', 1)]);
  assert.is(planner.evacuate('w1', at(710)), undefined);
  planner.observePredecessorStopped(800);
  report('w1', 900, [makeRow('a.0.0.0', 1)]);
  assert.equal(planner.evacuate('w1', at(910)), { lastingTasks: 1, batchTasks: 0 });
});

test('the only worker of a pool gets new tasks whatever failed there', () => {
  const { addWorkers, submit, planStarts, accept, report } = createHarness();
  addWorkers(0, makeEntry('w1'));
  ['a', 'b', 'c', 'd'].forEach((id) => submit(makeJob(id), 1));
  const starts = planStarts(2);
  accept(starts, 3);
  const ends = starts.map((start, index) => makeEnd(index + 1, start.taskKey, 1, 'failed'));
  report('w1', 10, [], ends);
  assert.is(planStarts(200).length, 4);
});

test.run();
