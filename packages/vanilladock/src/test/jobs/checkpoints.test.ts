/** Which checkpoint a task that is started again, or a gang of them, continues from. */
import * as assert from 'uvu/assert';
import { suite } from 'uvu';
import {
  createHarness,
  makeEnd,
  makeEntry,
  makeJob,
  makeRow,
  makeStep,
} from './planner-harness.js';

const test = suite('checkpoints');

const CHECKPOINTING = { isCheckpointing: true, maxPerWorker: 1 };

/** Starts a gang of two, each on a worker of its own. */
const startGang = () => {
  const harness = createHarness();
  harness.addWorkers(0, makeEntry('w1'), makeEntry('w22'));
  harness.submit(makeJob('a', [makeStep({ ...CHECKPOINTING, count: 2, isGang: true })]), 1);
  const starts = harness.planStarts(2);
  harness.accept(starts, 3);
  const findWorker = (taskKey: string) =>
    starts.find((start) => start.taskKey === taskKey)!.worker.id;
  return { ...harness, first: findWorker('a.0.0.0'), second: findWorker('a.0.0.1') };
};

// Guards against members of a gang that are started with a checkpoint each, of which only one is the gang's.
test('all members of a gang that is started again get one checkpoint', () => {
  const { report, planStarts, first, second } = startGang();
  report(first, 10, [makeRow('a.0.0.0', 1, { checkpoint: 'c1' })]);
  report(second, 20, [], [{ ...makeEnd(1, 'a.0.0.1', 1, 'failed'), checkpoint: 'c2' }]);
  report(first, 30, [], [{ ...makeEnd(1, 'a.0.0.0', 1, 'broken'), checkpoint: 'c3' }]);
  const starts = planStarts(40);
  assert.equal(starts.map(({ taskKey, run, checkpoint }) => [taskKey, run, checkpoint]).sort(), [
    ['a.0.0.0', 2, 'c3'],
    ['a.0.0.1', 2, 'c3'],
  ]);
});

// Guards against a gang of which one member starts anew and the others go on from a checkpoint.
test('a member whose worker was lost before its first checkpoint gets that of the others', () => {
  const { planner, at, report, addWorkers, store, planStarts, first, second } = startGang();
  report(first, 10, [makeRow('a.0.0.0', 1, { checkpoint: 'c1' })]);
  planner.observeIncarnationEnd(second, 1, at(20));
  report(first, 30, [], [{ ...makeEnd(1, 'a.0.0.0', 1, 'broken'), checkpoint: 'c1' }]);
  addWorkers(40, makeEntry(first), makeEntry('w333'));
  store();
  assert.equal(
    planStarts(50).map(({ checkpoint }) => checkpoint),
    ['c1', 'c1'],
  );
});

// Guards against work that is done again, as the end of an earlier run is reported late.
test('the late end of an earlier run does not replace the checkpoint of a later one', () => {
  const { addWorkers, submit, planStarts, accept, report } = createHarness();
  addWorkers(0, makeEntry('w1'));
  submit(makeJob('a', [makeStep(CHECKPOINTING)]), 1);
  accept(planStarts(2), 3);
  report('w1', 10, [makeRow('a.0.0.0', 1, { checkpoint: 'c1' })]);
  // The run is missing without an end, and its end comes with a later report.
  addWorkers(20, makeEntry('w1', { phase: 'draining' }), makeEntry('w22'));
  const starts = planStarts(30);
  assert.equal(
    starts.map(({ worker, checkpoint }) => [worker.id, checkpoint]),
    [['w22', 'c1']],
  );
  accept(starts, 31);
  report('w22', 40, [makeRow('a.0.0.0', 2, { checkpoint: 'c2' })]);
  report('w1', 50, [], [{ ...makeEnd(1, 'a.0.0.0', 1, 'lapsed'), checkpoint: 'c1' }]);
  report('w22', 60, [], [makeEnd(1, 'a.0.0.0', 2, 'failed')]);
  assert.equal(
    planStarts(70).map(({ run, checkpoint }) => [run, checkpoint]),
    [[3, 'c2']],
  );
});

// Guards against work that is done again, as the worker of an inherited run is lost after one report.
test('the first report of an inherited run gives its checkpoint', () => {
  const before = createHarness();
  before.submit(makeJob('a', [makeStep(CHECKPOINTING)]), 1);
  const { planner, at, addWorkers, report, store, planStarts } = createHarness({
    runBase: 100,
    inheritedWorkers: ['w1'],
  });
  const { record } = before.planner.table.jobs.get('a')!;
  planner.loadJob(record, undefined, at(0));
  planner.observeWorkers([makeEntry('w1')], at(1));
  report('w1', 10, [makeRow('a.0.0.0', 1, { checkpoint: 'c1' })]);
  planner.observeIncarnationEnd('w1', 1, at(20));
  addWorkers(30, makeEntry('w22'));
  store();
  assert.equal(
    planStarts(40).map(({ run, checkpoint }) => [run, checkpoint]),
    [[101, 'c1']],
  );
});

test.run();
