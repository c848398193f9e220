/** Tests of the choice of workers for a task or a gang. */
import * as assert from 'uvu/assert';
import { suite } from 'uvu';
import { createHarness, makeEntry, makeJob, makeStep } from './planner-harness.js';

const test = suite('choose worker');

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

test.run();
