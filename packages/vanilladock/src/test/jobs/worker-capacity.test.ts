/** Tests that nothing is started beyond the newest capacity that a worker has stated. */
import * as assert from 'uvu/assert';
import { suite } from 'uvu';
import type { DecisionEvent } from '../../lib/jobs/pool-context.js';
import type { WorkerEntry } from '../../lib/ports/task-workers.js';
import { createHarness, makeEntry, makeJob, makeRow, makeStep } from './planner-harness.js';

const makeCores = (cores: number): Pick<WorkerEntry, 'capacity'> => ({
  capacity: { cores, memoryMb: 1_000, accelerators: 0 },
});

const FOUR_TASKS = makeStep({ count: 4 });

/** Opens a planner with a worker of four cores on which the four tasks of job `a` run. */
const openFull = () => {
  const events: DecisionEvent[] = [];
  const harness = createHarness({ report: (event) => events.push(event) });
  harness.addWorkers(0, makeEntry('w1'));
  harness.submit(makeJob('a', [FOUR_TASKS]), 1);
  const starts = harness.planStarts(2);
  harness.accept(starts, 3);
  const rows = starts.map(({ taskKey, run }) => makeRow(taskKey, run));
  harness.report('w1', 10, rows);
  harness.submit(makeJob('b', [FOUR_TASKS]), 11);
  return { ...harness, rows, starts, events };
};

const test = suite('worker capacity');

test('nothing starts on a worker that has shrunk until what runs there fits again', () => {
  const { planner, at, report, planStarts, rows } = openFull();
  planner.observeWorkers([makeEntry('w1', makeCores(2))], at(20));
  report('w1', 30, rows.slice(1));
  report('w1', 40, rows.slice(2));
  assert.equal(planStarts(50), [], 'two run, two fit');
  assert.is(planner.table.workers.get('w1')!.tasks.size, 2);
  report('w1', 60, rows.slice(3));
  assert.is(planStarts(70).length, 1);
});

test('the runs of a worker that has shrunk go on', () => {
  const { planner, at } = openFull();
  planner.observeWorkers([makeEntry('w1', makeCores(1))], at(20));
  assert.equal(planner.plan(at(300)), []);
});

test('a worker that grows takes more at once', () => {
  const { planner, at, planStarts } = openFull();
  assert.equal(planStarts(15), []);
  planner.observeWorkers([makeEntry('w1', makeCores(7))], at(20));
  assert.is(planStarts(30).length, 3);
});

test('a capacity in a report counts at once, and an older entry does not undo it', () => {
  const { planner, at, planStarts, rows } = openFull();
  const makeTimed = (nowMs: number, cores: number) => ({
    report: { bornMs: 1, clockMs: nowMs, running: rows, ended: [], ...makeCores(cores) },
    sentMs: nowMs,
    receivedMs: nowMs,
  });
  planner.observeReport('w1', makeTimed(20, 6), at(20));
  assert.is(planStarts(30).length, 2);
  planner.observeReport('w1', makeTimed(40, 3), at(40));
  planner.observeWorkers([makeEntry('w1', makeCores(8))], at(50));
  assert.equal(planStarts(60), []);
});

test('a run that is being stopped counts until its end is listed', () => {
  const { planner, at, report, planStarts, rows } = openFull();
  planner.cancel('a', at(20));
  const stops = planner.plan(at(30)).filter(({ kind }) => kind === 'stop');
  assert.is(stops.length, 4);
  stops.forEach((stop) => {
    if (stop.kind === 'stop') planner.observeStop(stop, { kind: 'accepted', clockMs: 31 }, at(31));
  });
  report('w1', 40, rows.slice(1));
  assert.is(planStarts(50).length, 1);
});

test('a run of a job that ended under an earlier planner counts with its size', () => {
  const { planner, at, report, addWorkers, submit, planStarts } = createHarness({ runBase: 100 });
  addWorkers(0, makeEntry('w1'));
  submit(makeJob('a', [makeStep({ size: { cores: 3, memoryMb: 1, accelerators: 0 } })]), 1);
  planner.cancel('a', at(2));
  report('w1', 10, [makeRow('a.0.0.0', 7)]);
  submit(makeJob('b', [FOUR_TASKS]), 11);
  assert.is(planStarts(20).length, 1);
});

test('a worker with a run of an unknown job gets nothing until that has ended', () => {
  const { report, addWorkers, submit, planStarts } = createHarness({ runBase: 100 });
  addWorkers(0, makeEntry('w1'));
  report('w1', 10, [makeRow('unknown.0.0.0', 7)]);
  submit(makeJob('b', [FOUR_TASKS]), 11);
  assert.equal(planStarts(20), []);
  report('w1', 30);
  assert.is(planStarts(40).length, 4);
});

test('a job that fits the capacity before a worker has shrunk is not refused for good', () => {
  const { planner, at, events } = openFull();
  planner.observeWorkers([makeEntry('w1', makeCores(1))], at(20));
  const large = makeStep({ size: { cores: 3, memoryMb: 1, accelerators: 0 }, isLasting: true });
  const policy = { priority: 0, maxAttempts: 1, stretch: 1, targetLatencyMs: 1, advice: undefined };
  const admission = planner.submit(makeJob('c', [large]), policy, at(30));
  assert.equal(admission, { kind: 'admitted' });
  const [change] = events.filter(({ event }) => event === 'worker-capacity');
  assert.is(change!.source, 'entry');
  assert.is(change!.beforeAgeMs, 20);
  assert.equal(change!.after, makeCores(1).capacity);
});

test.run();
