/**
 * Ways in which a task could run twice at once under one planner, or a worker that responds could
 * stay without tasks: the planner may take a run as ended only when that is certain.
 */
import * as assert from 'uvu/assert';
import { suite } from 'uvu';
import { LEASE_MS } from '../../lib/jobs/lease-clock.js';
import { createHarness, makeEntry, makeJob, makeRow, POLICY, WALL_MS } from './planner-harness.js';

const test = suite('double run');

const RECORD = { spec: makeJob('a'), policy: POLICY, acceptedAtMs: WALL_MS };
const TASK = 'a.0.0.0';

/** Loads job `a` in a planner that took over from another one; `w22` has reported. */
const takeOver = () => {
  const harness = createHarness({ runBase: 100, inheritedWorkers: ['w1', 'w22'] });
  harness.planner.loadJob(RECORD, undefined, harness.at(0));
  harness.planner.observeWorkers([makeEntry('w1'), makeEntry('w22')], harness.at(0));
  harness.planner.markWorkersRecorded(['w1', 'w22']);
  harness.report('w22', 1);
  return harness;
};

test('a run adopted after a take-over is not requeued before the predecessor lease expires', () => {
  const { planner, at, report, planStarts } = takeOver();
  report('w1', 20, [makeRow(TASK, 1)]);
  planner.observeMissedReport('w1', at(600));
  assert.equal(planStarts(610), [], 'the predecessor may have extended the lease at 20 ms');
  assert.equal(planStarts(20 + LEASE_MS), []);
  assert.is(planStarts(20 + LEASE_MS + 400).length, 1);
});

test('a lease counts as expired only after clock drift, rounding and a late timer', () => {
  const { planner, at, addWorkers, report, submit, accept, planStarts } = createHarness();
  addWorkers(0, makeEntry('w1'), makeEntry('w22'));
  report('w1', 1_000);
  submit(makeJob('a'), 1_001);
  const [start] = planStarts(1_002);
  accept([start!], 1_003);
  report(start!.worker.id, 1_010, [makeRow(TASK, 1)]);
  planner.observeMissedReport(start!.worker.id, at(1_600));
  const lapsesAtMs = 1_010 + (start!.leaseUntilMs - 1_010) / 0.98;
  assert.equal(planStarts(lapsesAtMs + 60), [], 'the worker may end its runs this late');
  assert.is(planStarts(lapsesAtMs + 200).length, 1);
});

test.run();
