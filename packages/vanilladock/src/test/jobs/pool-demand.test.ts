/** Tests of a pool's demand, and of what a report leaves as it was. */
import * as assert from 'uvu/assert';
import { suite } from 'uvu';
import {
  createHarness,
  makeEntry,
  makeEnd,
  makeJob,
  makeRow,
  makeStep,
} from './planner-harness.js';

const test = suite('pool demand');

const LASTING = 'a.0.0.0';

test('demand for lasting tasks counts those that are assigned, beside batch tasks', () => {
  const { planner, addWorkers, submit, planStarts, accept, report, at } = createHarness();
  addWorkers(0, makeEntry('w1'), makeEntry('w22'));
  submit(makeJob('a', [makeStep({ isLasting: true })]), 1);
  submit(makeJob('b', [makeStep({ count: 5 })]), 1);
  assert.is(planner.getDemand(0, at(2)).lastingCores, 0);
  const starts = planStarts(2);
  accept(starts, 3);
  const lasting = starts.find(({ taskKey }) => taskKey === LASTING);
  assert.ok(lasting);
  assert.is(starts.length, 6);
  assert.is(planner.getDemand(0, at(4)).lastingCores, 1);
  report(lasting.worker.id, 10, [], [makeEnd(1, LASTING, lasting.run, 'stopped')]);
  assert.is(planner.getDemand(0, at(11)).lastingCores, 0);
});

test('a pool has had enough batch jobs with the eighth, whatever lasts beside them', () => {
  const { planner, submit, at } = createHarness();
  submit(makeJob('lasting', [makeStep({ isLasting: true })]), 0);
  Array.from({ length: 8 }, (_, index) => index).forEach((index) => {
    assert.not(planner.getDemand(0, at(index)).hasPeaked);
    submit(makeJob(`batch${index}`), index);
  });
  assert.ok(planner.getDemand(0, at(9)).hasPeaked);
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

test('demands one worker more than the spread of its lasting tasks needs', () => {
  const { planner, submit, at } = createHarness();
  submit(makeJob('a', [makeStep({ count: 5, maxPerWorker: 2, isLasting: true })]), 1);
  assert.is(planner.getDemand(0, at(2)).minWorkers, 4);
});

test('a report changes of a task and its run only what it states', () => {
  const { planner, addWorkers, submit, planStarts, accept, report } = createHarness();
  addWorkers(0, makeEntry('w1'));
  submit(makeJob('a', [makeStep({ isCheckpointing: true })]), 1);
  const [start] = planStarts(2);
  assert.ok(start);
  accept([start], 3);
  const before = planner.table.findTask(LASTING);
  assert.ok(before?.state.kind === 'assigned');
  report('w1', 10, [makeRow(LASTING, start.run, { percent: 40, load: 0.5, checkpoint: 'c' })]);
  const after = planner.table.findTask(LASTING);
  const state = { phase: 'running', isReported: true, percent: 40, lastProgressMs: 10, load: 0.5 };
  assert.equal(after, {
    ...before,
    checkpoint: { value: 'c', run: start.run, reportedMs: 10 },
    state: { ...before.state, ...state },
  });
});

test.run();
