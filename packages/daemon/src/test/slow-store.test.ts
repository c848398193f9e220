/** A pool's planner whose store answers, but slowly, while many short tasks end; fake timers. */
import { install } from '@sinonjs/fake-timers';
import * as assert from 'uvu/assert';
import { suite } from 'uvu';
import { BehaviorSubject } from 'rxjs';
import type { KeyedStore, StoredKeyedRecord } from 'vanilladock/lib/ports/keyed-store.js';
import type { EndedTask, TaskWorkers, WorkerEntry } from 'vanilladock/lib/ports/task-workers.js';
import { startPoolRunner } from '../lib/jobs/pool-runner.js';
import { ENTRY, POLICY, POOL, SILENT_LOG, SPEC, STEP } from './job-fixtures.js';

const SECOND_MS = 1_000;
const CALL_MS = 5;
const TASK_MS = 50;
const STORE_MS = 450;
const TASK_COUNT = 3_000;
const SUBMIT_INTERVAL_MS = 100;
const MAX_ENDS_PER_REPORT = 500;

const JOB = { ...SPEC, steps: [{ ...STEP, count: TASK_COUNT, estimateMs: TASK_MS }] };
const LENIENT_POLICY = { ...POLICY, stretch: 10_000, targetLatencyMs: 1_000_000 };

const waitFor = (ms: number) =>
  new Promise<void>((resolve) => {
    setTimeout(resolve, ms);
  });

/** A store that takes `STORE_MS` for each append. */
const createStore = (): KeyedStore => {
  const records: StoredKeyedRecord[] = [];
  return {
    append: async (_, added) => {
      await waitFor(STORE_MS);
      const offset = records.length;
      added.forEach((record) => records.push({ ...record, offset: records.length }));
      return { kind: 'stored', offset, end: records.length };
    },
    read: () => new Promise<never>(() => {}),
    readNewest: async () => ({ kind: 'records', records: [], end: 0 }),
  };
};

/** A worker that reports at most `MAX_ENDS_PER_REPORT` ends, and drops those known as stored. */
const createWorker = () => {
  const running = new Map<string, number>();
  let ended: readonly EndedTask[] = [];
  let lastNumber = 0;
  let longestList = 0;
  const workers = {
    startTask: async (_: unknown, { taskKey, run }: { taskKey: string; run: number }) => {
      await waitFor(CALL_MS);
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
      longestList = Math.max(longestList, ended.length);
      const rows = [...running].map(([taskKey, run]) => ({
        taskKey,
        run,
        checkpoint: '',
        percent: 10,
        load: 0,
      }));
      const report = {
        bornMs: 1,
        clockMs: performance.now(),
        running: rows,
        ended: ended.slice(0, MAX_ENDS_PER_REPORT),
      };
      return { kind: 'report', report };
    },
  };
  return {
    workers: workers as unknown as TaskWorkers,
    countEnds: () => lastNumber,
    getLongestList: () => longestList,
  };
};

const test = suite('slow store');

// Guards against a standing queue: ends that are never stored in time fill the worker's reports.
test('ends are confirmed although each write takes longer than a renewal waits for it', async () => {
  const clock = install({ now: 0 });
  const { workers, countEnds, getLongestList } = createWorker();
  const runner = startPoolRunner({
    store: createStore(),
    storePartitions: 8,
    workers,
    advisor: { advise: () => new Promise<never>(() => {}) },
    entries: new BehaviorSubject<ReadonlyMap<string, WorkerEntry>>(
      new Map([['w1', { ...ENTRY, capacity: { cores: 16, memoryMb: 100, accelerators: 0 } }]]),
    ),
    statusMs: 60 * SECOND_MS,
    log: SILENT_LOG,
    pool: POOL,
    claim: { duty: `pool/${POOL}`, holder: 'a', token: 1 },
    isInForce: () => true,
    queryPredecessor: () => Promise.resolve(true),
    handleLost: () => {},
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
