/** Successive planners of one pool over a store and a worker in memory, with fake timers. */
import { install } from '@sinonjs/fake-timers';
import * as assert from 'uvu/assert';
import { suite } from 'uvu';
import { BehaviorSubject } from 'rxjs';
import type { EndedTask, TaskWorkers, WorkerEntry } from 'vanilladock/lib/ports/task-workers.js';
import { startPoolRunner } from '../lib/jobs/pool-runner.js';
import { ENTRY, POLICY, POOL, SILENT_LOG, SPEC, STEP } from './job-fixtures.js';
import { CALL_MS, createMemoryStore, NEVER, waitFor } from './memory-store.js';

const SECOND_MS = 1_000;
const TASK_MS = 50;

const TWO_TASKS = { ...STEP, count: 2, estimateMs: TASK_MS };
const TWO_STEP_JOB = { ...SPEC, steps: [TWO_TASKS, { ...TWO_TASKS, count: 1, dependsOn: [0] }] };
const LENIENT_POLICY = { ...POLICY, stretch: 10, targetLatencyMs: 9_000 };

/** A worker that drops the ends that a planner has confirmed as stored. */
const createWorker = () => {
  const starts: string[] = [];
  const running = new Map<string, number>();
  let ended: readonly EndedTask[] = [];
  let lastNumber = 0;
  const workers = {
    startTask: async (_: unknown, { taskKey, run }: { taskKey: string; run: number }) => {
      await waitFor(CALL_MS);
      starts.push(taskKey);
      running.set(taskKey, run);
      setTimeout(() => {
        running.delete(taskKey);
        lastNumber += 1;
        ended = [...ended, { number: lastNumber, taskKey, run, how: 'done', checkpoint: '' }];
      }, TASK_MS);
      return { kind: 'accepted', clockMs: performance.now() };
    },
    renew: async (_: unknown, { lastSeenEnd, waitMs }: { lastSeenEnd: number; waitMs: number }) => {
      await waitFor(Math.max(CALL_MS, Math.min(waitMs, TASK_MS)));
      ended = ended.filter(({ number }) => number > lastSeenEnd);
      const rows = [...running].map(([taskKey, run]) => ({
        taskKey,
        run,
        checkpoint: '',
        percent: 10,
        load: 0,
      }));
      const report = { bornMs: 1, clockMs: performance.now(), running: rows, ended };
      return { kind: 'report', report };
    },
  };
  return { starts, workers: workers as unknown as TaskWorkers };
};

const test = suite('pool runner');

// Guards against a task that runs twice, because only a planner that died had received its end.
test('a third planner restarts no task whose end the second got but did not store', async () => {
  const clock = install({ now: 0 });
  const { store, unansweredEpochs } = createMemoryStore();
  const { starts, workers } = createWorker();
  const startRunner = (token: number) =>
    startPoolRunner({
      store,
      storePartitions: 8,
      workers,
      advisor: { advise: () => NEVER },
      entries: new BehaviorSubject<ReadonlyMap<string, WorkerEntry>>(new Map([['w1', ENTRY]])),
      statusMs: 60 * SECOND_MS,
      log: SILENT_LOG,
      pool: POOL,
      claim: { duty: `pool/${POOL}`, holder: `${token}`, token },
      isInForce: () => true,
      queryPredecessor: () => Promise.resolve(true),
      handleLost: () => {},
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
