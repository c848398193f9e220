/** A pool's planner whose store answers, but slowly, while many short tasks end; fake timers. */
import { install } from '@sinonjs/fake-timers';
import * as assert from 'uvu/assert';
import { suite } from 'uvu';
import { BehaviorSubject } from 'rxjs';
import type { WorkerEntry } from 'vanilladock/lib/ports/task-workers.js';
import { startPoolRunner } from '../lib/jobs/pool-runner.js';
import { ENTRY, POLICY, POOL, RUNNER_BASE, SPEC, STEP } from './job-fixtures.js';
import { createMemoryStore } from './memory-store.js';
import { createMemoryWorker, TASK_MS } from './memory-worker.js';

const SECOND_MS = 1_000;
const STORE_MS = 450;
const TASK_COUNT = 3_000;
const SUBMIT_INTERVAL_MS = 100;
const MAX_ENDS_PER_REPORT = 500;

const JOB = { ...SPEC, steps: [{ ...STEP, count: TASK_COUNT, estimateMs: TASK_MS }] };
const LENIENT_POLICY = { ...POLICY, stretch: 10_000, targetLatencyMs: 1_000_000 };

const test = suite('slow store');

// Guards against a standing queue: ends that are never stored in time fill the worker's reports.
test('ends are confirmed although each write takes longer than a renewal waits for it', async () => {
  const clock = install({ now: 0 });
  const { workers, countEnds, getLongestList } = createMemoryWorker(MAX_ENDS_PER_REPORT);
  const capacity = { cores: 16, memoryMb: 100, accelerators: 0 };
  const runner = startPoolRunner({
    ...RUNNER_BASE,
    store: createMemoryStore(STORE_MS).store,
    workers,
    entries: new BehaviorSubject<ReadonlyMap<string, WorkerEntry>>(
      new Map([['w1', { ...ENTRY, capacity }]]),
    ),
  });
  await clock.tickAsync(2 * SECOND_MS);
  void runner.answer({ kind: 'submit', pool: POOL, spec: JOB, policy: LENIENT_POLICY });
  const endCounts: number[] = [];
  for (let index = 0; index < 20 * (SECOND_MS / SUBMIT_INTERVAL_MS); index += 1) {
    const spec = { ...SPEC, id: `b${index}` };
    void runner.answer({ kind: 'submit', pool: POOL, spec, policy: LENIENT_POLICY });
    await clock.tickAsync(SUBMIT_INTERVAL_MS);
    endCounts.push(countEnds());
  }
  runner.stop();
  clock.uninstall();
  const standing = endCounts.map((count, index) => index - endCounts.indexOf(count));
  const standingMs = Math.max(...standing) * SUBMIT_INTERVAL_MS;
  assert.ok(standingMs < SECOND_MS, `no task ended for ${standingMs} ms`);
  assert.ok(getLongestList() < MAX_ENDS_PER_REPORT, `${getLongestList()} ends waited`);
});

test.run();
