/** Tests of a planner that takes over a pool, and of what it may move as long as it lacks reports. */
import * as assert from 'uvu/assert';
import { suite } from 'uvu';
import { LEASE_MS } from '../../lib/jobs/lease-clock.js';
import {
  createHarness,
  listStops,
  makeEnd,
  makeEntry,
  makeJob,
  makeRow,
  makeStep,
  POLICY,
  WALL_MS,
} from './planner-harness.js';

const test = suite('pool planner');

/** Lists the ids of workers that may hold leases. */
const listHolderIds = (holders: readonly { readonly id: string }[]) => holders.map(({ id }) => id);

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

test('does not report a worker as empty before the worker reported to this planner', () => {
  const { planner, at } = createHarness({ inheritedWorkers: ['w1'] });
  assert.is(planner.evacuate('w1', at(10)), undefined);
  planner.observeWorkers([makeEntry('w1')], at(20));
  assert.is(planner.evacuate('w1', at(30)), undefined);
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

test.run();
