/** The renewal loops of a pool's workers while incarnations come and go, with fake timers. */
import { install, type Clock } from '@sinonjs/fake-timers';
import * as assert from 'uvu/assert';
import { suite } from 'uvu';
import { BehaviorSubject } from 'rxjs';
import type { RenewOutcome, TaskWorkers, WorkerEntry } from 'vanilladock/lib/ports/task-workers.js';
import { startPoolRunner } from '../lib/jobs/pool-runner.js';
import { ENTRY, RUNNER_BASE } from './job-fixtures.js';
import { CALL_MS, createMemoryStore, waitFor } from './memory-store.js';

const SECOND_MS = 1_000;

/** Time of a slow renewal: longer than the interval in which loops are updated. */
const SLOW_CALL_MS = 450;

/** Time after which a loop has ended that was told of another incarnation at its address. */
const LOOP_END_MS = 160;

type Answer = 'report' | 'slow-report' | 'other-life';

/** Runs a pool with one worker, `w1`, which answers renewals as `state.answer` says. */
const openPool = () => {
  const entries = new BehaviorSubject<ReadonlyMap<string, WorkerEntry>>(new Map([['w1', ENTRY]]));
  const state = { answer: 'report' as Answer, bornMs: 1, renewals: 0 };
  const renew = async (): Promise<RenewOutcome> => {
    state.renewals += 1;
    const { answer, bornMs } = state;
    await waitFor(answer === 'slow-report' ? SLOW_CALL_MS : CALL_MS);
    if (answer === 'other-life') return { kind: 'rejected', why: 'other-life' };
    const clockMs = Math.round(performance.now());
    return { kind: 'report', report: { bornMs, clockMs, running: [], ended: [] } };
  };
  const runner = startPoolRunner({
    ...RUNNER_BASE,
    store: createMemoryStore().store,
    workers: { renew } as unknown as TaskWorkers,
    entries,
  });
  const list = (...listed: readonly WorkerEntry[]) =>
    entries.next(new Map(listed.map((entry) => [entry.id, entry])));
  return { runner, state, list };
};

type Pool = ReturnType<typeof openPool>;

/** Runs a case with fake timers, one second after the pool was started. */
const runCase = async (runSteps: (pool: Pool, clock: Clock) => Promise<void>) => {
  const clock = install({ now: 0 });
  try {
    const pool = openPool();
    await clock.tickAsync(SECOND_MS);
    await runSteps(pool, clock);
    pool.runner.stop();
  } finally {
    clock.uninstall();
  }
};

/** Counts the renewals within a time. */
const countRenewals = async ({ state }: Pool, clock: Clock, ms: number) => {
  const before = state.renewals;
  await clock.tickAsync(ms);
  return state.renewals - before;
};

const test = suite('worker loops');

// Guards against a queue that stands, as its workers are never asked again after a restart.
test('a worker that is listed again just after its loop has ended is asked for reports', async () => {
  for (const delayMs of [0, 20, 40, 60, 80, 100]) {
    await runCase(async (pool, clock) => {
      pool.state.answer = 'other-life';
      while (pool.state.renewals < 2) await clock.tickAsync(CALL_MS);
      await clock.tickAsync(CALL_MS + LOOP_END_MS + delayMs);
      Object.assign(pool.state, { answer: 'report', bornMs: 2 });
      pool.list({ ...ENTRY, bornMs: 2 });
      const renewals = await countRenewals(pool, clock, 5 * SECOND_MS);
      assert.ok(renewals > 0, `no renewal after ${delayMs} ms`);
    });
  }
});

// Guards against a task that runs twice, as the removed loop extends leases after the pool is lost.
test('a worker that is listed again during a renewal has one loop, which ends with the pool', () =>
  runCase(async (pool, clock) => {
    pool.state.answer = 'slow-report';
    while (pool.state.renewals < 2) await clock.tickAsync(CALL_MS);
    pool.list();
    await clock.tickAsync(300);
    pool.list(ENTRY);
    await clock.tickAsync(SECOND_MS);
    pool.state.answer = 'report';
    const renewals = await countRenewals(pool, clock, 20 * SECOND_MS);
    pool.runner.stop();
    assert.is(await countRenewals(pool, clock, 20 * SECOND_MS), 0, 'none after the stop');
    assert.ok(renewals <= 11, `${renewals} renewals of an idle worker in 20 s`);
  }));

test.run();
