/** Tests of workers that stop responding, end or are evacuated, and of their next incarnations. */
import * as assert from 'uvu/assert';
import { suite } from 'uvu';
import { LEASE_MS } from '../../lib/jobs/lease-clock.js';
import { createHarness, makeEntry, makeJob, makeRow } from './planner-harness.js';

const test = suite('worker incarnations');

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

test.run();
