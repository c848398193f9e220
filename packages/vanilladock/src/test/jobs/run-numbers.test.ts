/** Tests that runs of a task are numbered above those that earlier planners have started. */
import * as assert from 'uvu/assert';
import { suite } from 'uvu';
import { decodeProgress } from '../../lib/jobs/progress.js';
import { createHarness, makeEntry, makeJob, makeStep, POLICY, WALL_MS } from './planner-harness.js';

const SPEC = makeJob('a', [makeStep({ isLasting: true })]);

const test = suite('run numbers');

// Guards against a lasting task that stands after a take-over: a worker rejects numbers it has seen.
test('a planner goes on above the last failed run, also beyond the numbers of a generation', () => {
  const { planner, at, addWorkers, planStarts } = createHarness({ runBase: 200 });
  const failedRuns = { '0.0.0': [533] };
  const stored = { phase: 'active', done: [], failedRuns, occurrencesDone: [] };
  const record = { spec: SPEC, policy: POLICY, acceptedAtMs: WALL_MS };
  planner.loadJob(record, decodeProgress(JSON.stringify(stored)), at(0));
  addWorkers(0, makeEntry('w1'));
  const [start] = planStarts(1);
  assert.ok(start!.run > 533 + 100, `run ${start!.run}`);
});

// Guards against the same for runs that did not fail, which nothing is stored of.
test('a worker that has seen higher numbers rejects only some starts', () => {
  const { planner, at, addWorkers, submit, planStarts } = createHarness();
  addWorkers(0, makeEntry('w1'));
  submit(SPEC, 1);
  let starts = 0;
  for (let atMs = 10; atMs < 60_000 && starts < 10; atMs += 250) {
    const [start] = planStarts(atMs);
    if (start !== undefined) {
      starts += 1;
      if (start.run > 533) return;
      planner.observeStart(start, { kind: 'rejected', why: 'old-run' }, at(atMs + 1));
    }
  }
  assert.unreachable(`rejected ${starts} times`);
});

test.run();
