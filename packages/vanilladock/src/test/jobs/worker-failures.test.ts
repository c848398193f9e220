/** Tests of new tasks for workers on which tasks have failed. */
import * as assert from 'uvu/assert';
import { suite } from 'uvu';
import { createHarness, makeEnd, makeEntry, makeJob } from './planner-harness.js';

const test = suite('worker failures');

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
