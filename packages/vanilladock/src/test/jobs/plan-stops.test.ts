/** Tests of the stops that a planner orders: lost answers, cancels, moves and stalled tasks. */
import * as assert from 'uvu/assert';
import { suite } from 'uvu';
import type { PoolAction } from '../../lib/jobs/pool-planner.js';
import {
  createHarness,
  listStops,
  makeEnd,
  makeEntry,
  makeJob,
  makeRow,
  makeStep,
} from './planner-harness.js';

const test = suite('plan stops');

const listStopActions = (actions: readonly PoolAction[]) =>
  actions.flatMap((action) => (action.kind === 'stop' ? [action] : []));

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

test.run();
