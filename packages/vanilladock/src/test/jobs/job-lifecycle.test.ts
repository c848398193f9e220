/** Tests of the way of a job from its submission to its end: storing, steps, attempts, occurrences. */
import * as assert from 'uvu/assert';
import { suite } from 'uvu';
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

const test = suite('job lifecycle');

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

test('applies every end in a report regardless of their order', () => {
  const { addWorkers, submit, planStarts, accept, report, store, readProgress } = createHarness();
  addWorkers(0, makeEntry('w1'));
  submit(makeJob('a', [makeStep({ count: 3 })]), 1);
  accept(planStarts(2), 3);
  report('w1', 10, [makeRow('a.0.0.2', 1)], [makeEnd(2, 'a.0.0.1', 1), makeEnd(1, 'a.0.0.0', 1)]);
  store();
  assert.is(readProgress('a')?.done.size, 2);
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

test('the end of one task of a gang completes the whole gang', () => {
  const { planner, addWorkers, submit, planStarts, accept, report, store } = createHarness();
  addWorkers(0, makeEntry('w1'));
  submit(makeJob('a', [makeStep({ count: 2, isGang: true })]), 1);
  accept(planStarts(2), 3);
  report('w1', 10, [makeRow('a.0.0.1', 1)], [makeEnd(1, 'a.0.0.0', 1)]);
  store();
  assert.is(planner.getJobStatus('a'), 'completed');
});

test('drops a submission that the store refused', () => {
  const { planner, at } = createHarness();
  planner.submit(makeJob('a'), POLICY, at(0));
  const batch = planner.takeStoreBatch();
  planner.dropUnstored(batch!);
  assert.is(planner.getJobStatus('a'), 'unknown');
  assert.is(planner.takeStoreBatch(), undefined);
});

test.run();
