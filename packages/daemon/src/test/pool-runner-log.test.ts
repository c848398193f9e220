/** What the runner of a pool logs about its plans, its workers' loops and ended incarnations. */
import { install } from '@sinonjs/fake-timers';
import * as assert from 'uvu/assert';
import { suite } from 'uvu';
import { BehaviorSubject } from 'rxjs';
import type { KeyedStore } from 'vanilladock/lib/ports/keyed-store.js';
import type { TaskWorkers, WorkerEntry } from 'vanilladock/lib/ports/task-workers.js';
import type { LogFields } from '../lib/json-log.js';
import { startPoolRunner } from '../lib/jobs/pool-runner.js';
import { ENTRY, POLICY, POOL, RUNNER_BASE, SPEC } from './job-fixtures.js';

const SECOND_MS = 1_000;
const TOKEN = 7;
const NEVER = new Promise<never>(() => {});

const STORE: KeyedStore = {
  append: async () => ({ kind: 'stored', offset: 0, end: 1 }),
  read: () => NEVER,
  readNewest: async () => ({ kind: 'records', records: [], end: 0 }),
};

/** A worker that runs nothing and answers every renewal after some milliseconds. */
const WORKERS = {
  startTask: () => NEVER,
  renew: async () => {
    await new Promise((resolve) => {
      setTimeout(resolve, 5);
    });
    const clockMs = performance.now();
    return { kind: 'report', report: { bornMs: 1, clockMs, running: [], ended: [] } };
  },
} as unknown as TaskWorkers;

/** Starts a runner with one worker; `state` says whether its claim is in force. */
const openRunner = (store = STORE) => {
  const lines: LogFields[] = [];
  const logLine = (fields: LogFields) => lines.push(fields);
  const state = { isInForce: true };
  const entries = new BehaviorSubject<ReadonlyMap<string, WorkerEntry>>(new Map([['w1', ENTRY]]));
  const runner = startPoolRunner({
    ...RUNNER_BASE,
    store,
    workers: WORKERS,
    entries,
    log: { info: logLine, warn: logLine, error: logLine },
    claim: { duty: `pool/${POOL}`, holder: 'h', token: TOKEN },
    isInForce: () => state.isInForce,
  });
  const listLines = (name: string) => lines.filter(({ event }) => event === name);
  return { runner, state, entries, listLines };
};

const test = suite('log of a pool runner');

test('says that a queue stands because no plans are made without authority', async () => {
  const clock = install({ now: 0 });
  const { runner, state, listLines } = openRunner();
  await clock.tickAsync(SECOND_MS);
  state.isInForce = false;
  void runner.answer({ kind: 'submit', pool: POOL, spec: SPEC, policy: POLICY });
  await clock.tickAsync(5 * SECOND_MS);
  const paused = listLines('plans-paused');
  assert.equal(
    paused.map(({ pool, token, pausedMs }) => [pool, token, Math.floor(Number(pausedMs) / 1_000)]),
    [
      [POOL, TOKEN, 2],
      [POOL, TOKEN, 4],
    ],
  );
  assert.equal(listLines('queue-stands'), []);
  assert.equal(listLines('plans-resumed'), []);
  const figures = runner.getFigures()!;
  assert.is(figures.pool, POOL);
  assert.equal(figures.workers, { accepting: 1 });
  assert.is(figures.waitingTasks, 1);
  assert.ok(figures.pausedMs >= 4 * SECOND_MS);
  state.isInForce = true;
  await clock.tickAsync(SECOND_MS);
  const [resumed, ...others] = listLines('plans-resumed');
  assert.ok(Number(resumed!.pausedMs) >= 5 * SECOND_MS);
  assert.equal(others, []);
  assert.is(runner.getFigures()!.pausedMs, 0);
  assert.is(runner.getFigures()!.waitingTasks, 0);
  runner.stop();
  clock.uninstall();
});

test('says nothing about a pause shorter than two seconds', async () => {
  const clock = install({ now: 0 });
  const { runner, state, listLines } = openRunner();
  await clock.tickAsync(SECOND_MS);
  state.isInForce = false;
  await clock.tickAsync(1.5 * SECOND_MS);
  state.isInForce = true;
  await clock.tickAsync(SECOND_MS);
  assert.equal([...listLines('plans-paused'), ...listLines('plans-resumed')], []);
  runner.stop();
  clock.uninstall();
});

test('logs the start and the end of the loop of each worker with its reason', async () => {
  const clock = install({ now: 0 });
  const { runner, entries, listLines } = openRunner();
  await clock.tickAsync(SECOND_MS);
  const fields = { pool: POOL, worker: 'w1', token: TOKEN };
  assert.equal(listLines('worker-loop-started'), [
    { event: 'worker-loop-started', ...fields, bornMs: 1 },
  ]);
  assert.equal(listLines('worker-loop-ended'), []);
  entries.next(new Map());
  await clock.tickAsync(3 * SECOND_MS);
  assert.equal(listLines('worker-loop-ended'), [
    { event: 'worker-loop-ended', ...fields, why: 'worker-gone' },
  ]);
  entries.next(new Map([['w1', ENTRY]]));
  await clock.tickAsync(SECOND_MS);
  runner.stop();
  await clock.tickAsync(SECOND_MS);
  assert.equal(
    listLines('worker-loop-ended').map(({ why }) => why),
    ['worker-gone', 'stopped'],
  );
  clock.uninstall();
});

test('logs the arrival of a notice that an incarnation has ended', async () => {
  const clock = install({ now: 0 });
  const { runner, listLines } = openRunner();
  await clock.tickAsync(SECOND_MS);
  void runner.answer({ kind: 'life-ended', pool: POOL, workerId: 'w1' });
  await clock.tickAsync(SECOND_MS);
  const [notified] = listLines('incarnation-end-notified');
  assert.is(notified!.pool, POOL);
  assert.is(notified!.worker, 'w1');
  assert.is(notified!.bornMs, 1);
  assert.is(notified!.outcome, 'report-requested');
  runner.stop();
  clock.uninstall();
});

// Guards against a run that nobody asked for and that cannot be traced to its submission and cancel.
test('says which instance received a submission and a cancel, and when', async () => {
  const clock = install({ now: 0 });
  const { runner, listLines } = openRunner();
  await clock.tickAsync(SECOND_MS);
  const receipt = { instance: 'b~1', receivedAtMs: 400 };
  void runner.answer({ kind: 'submit', pool: POOL, spec: SPEC, policy: POLICY, receipt });
  void runner.answer({ kind: 'cancel', pool: POOL, jobId: SPEC.id, receipt });
  await clock.tickAsync(SECOND_MS);
  runner.stop();
  clock.uninstall();
  const received = { from: 'b~1', receivedAtMs: 400, receiptAgeMs: 600 };
  [...listLines('job-admitted'), ...listLines('job-cancel')].forEach((line) => {
    const { from, receivedAtMs, receiptAgeMs } = line;
    assert.equal({ from, receivedAtMs, receiptAgeMs }, received);
  });
  assert.is(listLines('job-admitted').length, 1);
  assert.equal(
    listLines('job-cancel').map(({ job, outcome }) => [job, outcome]),
    [[SPEC.id, 'cancelling']],
  );
});

// Guards against waits that no log shows, because each planner ends before they do.
test('says what inherited jobs still wait for when the planner ends', async () => {
  const clock = install({ now: 0 });
  const meta = { generation: 1, workers: [{ id: 'w9', bornMs: 1 }], isSettled: true };
  const record = { key: `${POOL}:meta`, value: JSON.stringify(meta), offset: 0 };
  const store: KeyedStore = {
    ...STORE,
    readNewest: async () => ({ kind: 'records', records: [record], end: 1 }),
  };
  const ended = openRunner(store);
  await clock.tickAsync(SECOND_MS);
  ended.runner.stop();
  const settled = openRunner(store);
  await clock.tickAsync(8 * SECOND_MS);
  settled.runner.stop();
  clock.uninstall();
  const [released] = ended.listLines('pool-released');
  assert.is(released?.phase, 'waiting');
  assert.is(released?.heldMs, SECOND_MS);
  assert.equal(released?.unreported, ['w9']);
  const [line] = settled.listLines('pool-settled');
  assert.equal(line?.unreported, ['w9']);
  assert.ok(Number(line?.waitedMs) > 4 * SECOND_MS, `${line?.waitedMs} ms`);
  assert.is(settled.listLines('pool-released')[0]?.phase, 'settled');
});

// Guards against tasks that stand over many settled planners, of which each ends before it says so.
test('says what waits, and which workers are excluded, when the planner ends', async () => {
  const clock = install({ now: 0 });
  const { runner, state, listLines } = openRunner();
  await clock.tickAsync(SECOND_MS);
  state.isInForce = false;
  void runner.answer({ kind: 'submit', pool: POOL, spec: SPEC, policy: POLICY });
  await clock.tickAsync(SECOND_MS);
  runner.stop();
  clock.uninstall();
  const [released] = listLines('pool-released');
  assert.is(released?.waitingTasks, 1);
  assert.equal(released?.workers, { accepting: 1 });
  assert.is(released?.unansweredRuns, 0);
});

test.run();
