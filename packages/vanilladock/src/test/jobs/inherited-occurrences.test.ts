/** Tests of jobs with occurrences over a take-over: what earlier planners began counts at once. */
import * as assert from 'uvu/assert';
import { suite } from 'uvu';
import { decodeProgress } from '../../lib/jobs/progress.js';
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

/** Occurrence 0 is due at the take-over, occurrence 1 in 2 s by the successor's clock. */
const SPEC = makeJob('a', [makeStep({ count: 2 })], {
  repeatCount: 2,
  startAtMs: WALL_MS,
  intervalMs: 2_000,
});

const test = suite('inherited occurrences');

/** Opens a successor of a planner that stored that the given tasks and occurrences are done. */
const openSuccessor = (done: readonly string[] = [], occurrencesDone: readonly number[] = []) => {
  const harness = createHarness({ runBase: 100 });
  const { planner, at } = harness;
  const stored = { phase: 'active', done, failedRuns: {}, occurrencesDone };
  const record = { spec: SPEC, policy: POLICY, acceptedAtMs: WALL_MS };
  planner.loadJob(record, decodeProgress(JSON.stringify(stored)), at(0));
  planner.observeWorkers([makeEntry('w1')], at(0));
  planner.markWorkersRecorded(['w1']);
  return harness;
};

// Guards against a task that runs again although its end was noted: the worker forgets it then.
test('an end in a report before the first plan of a successor counts', () => {
  const { report, planStarts, store, readProgress } = openSuccessor();
  report('w1', 1, [makeRow('a.0.0.1', 1)], [makeEnd(1, 'a.0.0.0', 1)]);
  assert.equal(planStarts(5), []);
  store();
  assert.equal([...readProgress('a')!.done], ['0.0.0']);
});

// Guards against runs that each take-over stops.
test('a run in a report before the first plan of a successor goes on', () => {
  const { planner, at, report } = openSuccessor();
  report('w1', 1, [makeRow('a.0.0.0', 1), makeRow('a.0.0.1', 1)]);
  assert.equal(planner.plan(at(5)), []);
  assert.is(planner.table.workers.get('w1')!.orphanedRuns.size, 0);
});

// Guards against the same where the clock of the successor is behind that of its predecessor.
test('an occurrence that an earlier planner has begun goes on before it is due', () => {
  const { report, planStarts, store, readProgress } = openSuccessor([], [0]);
  report('w1', 10, [], [makeEnd(1, 'a.1.0.0', 1)]);
  store();
  assert.equal([...readProgress('a')!.done], ['1.0.0']);
  assert.equal(planStarts(1_900), [], 'the other task is not due');
  const [start] = planStarts(2_100);
  assert.is(start!.taskKey, 'a.1.0.1');
});

// Guards against done tasks that the next planner but one does not know of.
test('a successor stores on what was stored of an occurrence that is not due for it yet', () => {
  const { report, store, readProgress } = openSuccessor(['1.0.0']);
  report('w1', 10, [], [makeEnd(1, 'a.0.0.0', 1)]);
  store();
  assert.equal([...readProgress('a')!.done].sort(), ['0.0.0', '1.0.0']);
});

// Guards against the occurrence of a cancelled or unknown number that a report brings back.
test('a report opens no occurrence that the job does not have or that has ended', () => {
  const { planner, report } = openSuccessor();
  report('w1', 10, [makeRow('a.2.0.0', 1), makeRow('b.0.0.0', 1)]);
  assert.equal([...planner.table.jobs.get('a')!.occurrences.keys()], [0]);
  assert.is(planner.table.workers.get('w1')!.orphanedRuns.size, 2);
});

// Guards against a running job that is shown as `queued`, and counted as pending, after a take-over.
test('a job of which an occurrence has ended has started', () => {
  const { planner } = openSuccessor([], [0]);
  assert.is(planner.getJobStatus('a'), 'running');
  assert.is(planner.countPending({ route: SPEC.route }), 0);
});

test.run();
