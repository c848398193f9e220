/** Successive planners of one pool over a store and a worker in memory, with fake timers. */
import { install } from '@sinonjs/fake-timers';
import * as assert from 'uvu/assert';
import { suite } from 'uvu';
import { BehaviorSubject } from 'rxjs';
import type { WorkerEntry } from 'vanilladock/lib/ports/task-workers.js';
import { startPoolRunner } from '../lib/jobs/pool-runner.js';
import { ENTRY, makeStoppedQuery, POLICY, POOL, RUNNER_BASE, SPEC, STEP } from './job-fixtures.js';
import { CALL_MS, createMemoryStore } from './memory-store.js';
import { createMemoryWorker, TASK_MS } from './memory-worker.js';

const SECOND_MS = 1_000;

const TWO_TASKS = { ...STEP, count: 2, estimateMs: TASK_MS };
const TWO_STEP_JOB = { ...SPEC, steps: [TWO_TASKS, { ...TWO_TASKS, count: 1, dependsOn: [0] }] };
const LENIENT_POLICY = { ...POLICY, stretch: 10, targetLatencyMs: 9_000 };

const test = suite('pool runner');

// Guards against a task that runs twice, because only a planner that died had received its end.
test('a third planner restarts no task whose end the second got but did not store', async () => {
  const clock = install({ now: 0 });
  const { store, unansweredEpochs } = createMemoryStore();
  const { starts, workers } = createMemoryWorker();
  const startRunner = (token: number) =>
    startPoolRunner({
      ...RUNNER_BASE,
      store,
      workers,
      entries: new BehaviorSubject<ReadonlyMap<string, WorkerEntry>>(new Map([['w1', ENTRY]])),
      claim: { duty: `pool/${POOL}`, holder: `${token}`, token },
      queryPredecessor: makeStoppedQuery(token - 1),
    });
  const first = startRunner(1);
  await clock.tickAsync(SECOND_MS);
  const accepted = first.answer({
    kind: 'submit',
    pool: POOL,
    spec: TWO_STEP_JOB,
    policy: LENIENT_POLICY,
  });
  await clock.tickAsync(2 * CALL_MS);
  assert.equal(await accepted, { kind: 'accepted' });
  unansweredEpochs.add(1);
  await clock.tickAsync(4 * CALL_MS);
  first.stop();
  const second = startRunner(2);
  await clock.tickAsync(8 * CALL_MS);
  unansweredEpochs.add(2);
  await clock.tickAsync(SECOND_MS);
  second.stop();
  startRunner(3);
  await clock.tickAsync(3 * SECOND_MS);
  clock.uninstall();
  const firstStep = starts.filter((key) => key.startsWith('a.0.0.'));
  assert.equal([...firstStep].sort(), ['a.0.0.0', 'a.0.0.1']);
  assert.ok(starts.includes('a.0.1.0'), 'the second step was started');
});

test.run();
