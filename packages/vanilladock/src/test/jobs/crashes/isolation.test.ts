/** Tests of which workers are kept for the suspects of crashes. */
import * as assert from 'uvu/assert';
import { suite } from 'uvu';
import {
  createHarness,
  makeEnd,
  makeEntry,
  makeJob,
  makeRow,
  makeStep,
} from '../planner-harness.js';

const test = suite('isolation');

/** Opens a planner with a suspect job and others that fill two workers; lists their starts. */
const openFull = () => {
  const harness = createHarness();
  const { planner, at } = harness;
  harness.addWorkers(0, makeEntry('w1'), makeEntry('w22'));
  harness.submit(makeJob('others', [makeStep({ count: 8 })]), 1);
  const starts = harness.planStarts(2);
  harness.accept(starts, 3);
  planner.observeWorkers(
    ['w1', 'w22', 'w333'].map((id) => makeEntry(id)),
    at(4),
  );
  planner.markWorkersRecorded(['w333']);
  harness.report('w333', 4);
  harness.submit(makeJob('suspect'), 5);
  harness.accept(harness.planStarts(6), 7);
  const listStarts = (workerId: string) => starts.filter(({ worker }) => worker.id === workerId);
  const sendReport = (workerId: string, nowMs: number, areDone: boolean) => {
    const own = listStarts(workerId);
    const rows = areDone ? [] : own.map(({ taskKey, run }) => makeRow(taskKey, run));
    const ends = own.map(({ taskKey, run }, index) => makeEnd(index + 1, taskKey, run));
    harness.report(workerId, nowMs, rows, areDone ? ends : []);
  };
  const listIsolated = () =>
    [...planner.table.workers.values()]
      .filter(({ isolation }) => isolation !== undefined)
      .map(({ entry }) => entry.id);
  return { ...harness, sendReport, listIsolated };
};

// Guards against suspects that wait for a busy worker to drain while another one is empty.
test('a worker that is clear is kept for a suspect in place of one that has to drain', () => {
  const { planner, at, store, planStarts, sendReport, listIsolated } = openFull();
  ['w1', 'w22'].forEach((id) => sendReport(id, 10, false));
  planner.observeIncarnationEnd('w333', 1, at(50));
  store();
  planner.plan(at(60));
  const [draining] = listIsolated();
  assert.is(listIsolated().length, 1);
  const other = draining === 'w1' ? 'w22' : 'w1';
  sendReport(other, 70, true);
  assert.equal(
    planStarts(80).map(({ worker, taskKey }) => [worker.id, taskKey]),
    [[other, 'suspect.0.0.0']],
  );
  assert.equal(listIsolated(), [other]);
});

test('half of the accepting workers are kept for suspects, rounded up', () => {
  const harness = createHarness();
  const { planner, at } = harness;
  const ids = ['w1', 'w22', 'w333', 'w4444', 'w55555'];
  harness.addWorkers(0, ...ids.map((id) => makeEntry(id)));
  ids.forEach((_, index) => harness.submit(makeJob(`job-${index}`, [makeStep({ count: 1 })]), 1));
  const starts = harness.planStarts(2);
  harness.accept(starts, 3);
  const crashed = [...new Set(starts.map(({ worker }) => worker.id))];
  crashed.slice(0, 2).forEach((id) => planner.observeIncarnationEnd(id, 1, at(50)));
  harness.store();
  planner.plan(at(60));
  const isolated = [...planner.table.workers.values()].filter(({ isolation }) => isolation);
  assert.is(isolated.length, Math.ceil(planner.table.workers.size / 2));
});

test.run();
