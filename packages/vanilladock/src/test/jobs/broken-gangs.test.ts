/** Gangs of which a member cannot be started. */
import * as assert from 'uvu/assert';
import { suite } from 'uvu';
import type { OrderOutcome } from '../../lib/ports/task-workers.js';
import type { DecisionEvent } from '../../lib/jobs/pool-context.js';
import {
  createHarness,
  makeEnd,
  makeEntry,
  makeJob,
  makeRow,
  makeStep,
} from './planner-harness.js';

const test = suite('broken gangs');

/** Plans a gang of two, each on a worker of its own; `answer` gives the outcome of the second start. */
const openGang = () => {
  const events: DecisionEvent[] = [];
  const harness = createHarness({ report: (event) => events.push(event) });
  harness.addWorkers(0, makeEntry('w1'), makeEntry('w22'), makeEntry('w333'));
  harness.submit(makeJob('a', [makeStep({ count: 2, isGang: true, maxPerWorker: 1 })]), 1);
  const [first, second] = harness.planStarts(2);
  const answer = (outcome: OrderOutcome, nowMs: number) =>
    harness.planner.observeStart(second!, outcome, harness.at(nowMs));
  const listStops = (nowMs: number) =>
    harness.planner
      .plan(harness.at(nowMs))
      .flatMap((action) => (action.kind === 'stop' ? [action.taskKey] : []))
      .sort();
  return { ...harness, first: first!, second: second!, answer, listStops, events };
};

// Guards against members that wait for others that are not coming until they end `alone`.
test('the other members of a gang are stopped as soon as one start is rejected', () => {
  const { accept, first, report, answer, listStops, planStarts, events } = openGang();
  accept([first], 3);
  answer({ kind: 'rejected', why: 'no-room' }, 4);
  assert.equal(listStops(5), [first.taskKey]);
  assert.equal(
    events
      .filter(({ event }) => event === 'gang-broken-off')
      .map(({ run, stopped }) => [run, stopped]),
    [[1, 1]],
  );
  report(first.worker.id, 10, [], [makeEnd(1, first.taskKey, 1, 'stopped')]);
  const starts = planStarts(200);
  assert.equal(
    starts.map(({ run }) => run),
    [2, 2],
  );
});

// Guards against a start that is answered after the one that was rejected, and so goes on alone.
test('a member whose start is confirmed after the rejection of another is stopped', () => {
  const { accept, first, answer, listStops } = openGang();
  answer({ kind: 'rejected', why: 'unhealthy' }, 3);
  accept([first], 4);
  assert.equal(listStops(5), [first.taskKey]);
});

// Guards against a gang that is stopped member by member, each after its own time limit.
test('all members are stopped as soon as one start has no response', () => {
  const { accept, first, second, answer, listStops } = openGang();
  accept([first], 3);
  answer({ kind: 'unknown' }, 400);
  assert.equal(listStops(401), [first.taskKey, second.taskKey].sort());
});

// Guards against a sound worker that gets no tasks, as it rejects a start that was stopped before.
test('a start that is rejected because its stop arrived first does not pause the worker', () => {
  const { planner, at, first, answer, listStops } = openGang();
  answer({ kind: 'rejected', why: 'no-room' }, 3);
  assert.equal(listStops(4), [first.taskKey]);
  planner.observeStart(first, { kind: 'rejected', why: 'old-run' }, at(5));
  assert.is(planner.table.workers.get(first.worker.id)!.noStartBeforeMs, 0);
  assert.equal(planner.table.findTask(first.taskKey)!.avoidedWorkerIds, []);
});

// Guards against a gang at work that is stopped, as the response to one start is lost.
test('a gang whose members are all reported as running is not stopped', () => {
  const { accept, first, second, report, answer, listStops } = openGang();
  accept([first], 3);
  report(second.worker.id, 300, [makeRow(second.taskKey, 1)]);
  answer({ kind: 'unknown' }, 400);
  assert.equal(listStops(401), []);
});

test.run();
