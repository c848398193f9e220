/** What the log says of steps whose tasks are spread over workers. */
import * as assert from 'uvu/assert';
import { suite } from 'uvu';
import type { DecisionEvent } from '../../lib/jobs/pool-context.js';
import {
  createHarness,
  makeEnd,
  makeEntry,
  makeJob,
  makeRow,
  makeStep,
} from './planner-harness.js';

const test = suite('spread log');

const SPREAD = makeJob('a', [makeStep({ count: 2, maxPerWorker: 1 })]);
const FIRST = 'a.0.0.0';
const SECOND = 'a.0.0.1';

const openLogged = () => {
  const events: DecisionEvent[] = [];
  const harness = createHarness({ report: (event) => events.push(event) });
  const listEvents = (name: string) => events.filter(({ event }) => event === name);
  return { ...harness, listEvents };
};

test('says once that a worker runs more tasks of a step than the step allows', () => {
  const { addWorkers, submit, planStarts, report, listEvents } = openLogged();
  addWorkers(0, makeEntry('w1'));
  submit(SPREAD, 1);
  planStarts(2);
  const rows = [makeRow(FIRST, 1), makeRow(SECOND, 1)];
  report('w1', 10, rows);
  report('w1', 20, rows);
  const runs = rows.map(({ taskKey: task, run }) => ({ task, run }));
  const steps = [{ step: 'a.0.0', max: 1, runs }];
  assert.equal(listEvents('spread-exceeded'), [{ event: 'spread-exceeded', worker: 'w1', steps }]);
  report('w1', 30, [makeRow(FIRST, 1)]);
  report('w1', 40, rows);
  assert.is(listEvents('spread-exceeded').length, 2);
});

test('says of an end which other run its task has', () => {
  const harness = openLogged();
  const { planner, at, submit, planStarts, accept, report, store, listEvents } = harness;
  harness.addWorkers(0, makeEntry('w1'));
  submit(makeJob('a'), 1);
  accept(planStarts(2), 3);
  for (let nowMs = 500; nowMs <= 5_500; nowMs += 500) planner.observeMissedReport('w1', at(nowMs));
  planner.observeWorkers([makeEntry('w1'), makeEntry('w22')], at(5_600));
  planner.markWorkersRecorded(['w22']);
  report('w22', 5_610);
  planStarts(5_615);
  store();
  assert.is(planStarts(5_620)[0]?.worker.id, 'w22');
  report('w1', 5_700, [], [makeEnd(1, FIRST, 1)]);
  const [end] = listEvents('run-ended');
  assert.is(end?.otherRun, 2);
  assert.is(end?.otherWorker, 'w22');
});

test('says that a queue stands as its steps are spread as far as they may be', () => {
  const { planner, at, addWorkers, submit, planStarts, accept, report, listEvents } = openLogged();
  addWorkers(0, makeEntry('w1'));
  submit(SPREAD, 1);
  accept(planStarts(2), 3);
  for (let nowMs = 10; nowMs <= 3_000; nowMs += 200) {
    report('w1', nowMs, [makeRow(FIRST, 1, { percent: nowMs / 100 })]);
    planner.plan(at(nowMs + 1));
  }
  const [line] = listEvents('queue-stands');
  assert.is(line?.fittingSteps, 1);
  assert.is(line?.spreadSteps, 1);
});

test.run();
