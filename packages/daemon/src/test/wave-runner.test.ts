/** Rounds of a maintenance wave over one worker whose planner, store and fleet may be slow. */
import { install, type Clock } from '@sinonjs/fake-timers';
import { BehaviorSubject } from 'rxjs';
import * as assert from 'uvu/assert';
import { suite } from 'uvu';
import type { FleetInstance, FleetOutcome } from 'vanilladock/lib/ports/fleet.js';
import type { WaveStep, WorkerTasks } from 'vanilladock/lib/waves/plan-wave.js';
import { createEvacuations } from '../lib/jobs/evacuations.js';
import type { FleetDuty } from '../lib/jobs/fleet-runner.js';
import type { WaveJournal } from '../lib/jobs/wave-journal.js';
import { createWaveRunner } from '../lib/jobs/wave-runner.js';
import { POOL, SILENT_LOG } from './job-fixtures.js';
import { waitFor } from './memory-store.js';

const WAVE = { wave: 1, instances: ['m1'], durationMs: 20_000, maxConcurrent: 1 };
const INSTANCE: FleetInstance = {
  id: 'm1',
  pool: POOL,
  state: 'up',
  dataCentre: 'hobart',
  labels: [],
  cores: 4,
  workerId: 'w1',
};
const EMPTY: WorkerTasks = { lastingTasks: 0, batchTasks: 0 };
const BUSY: WorkerTasks = { lastingTasks: 0, batchTasks: 10 };

const createSetup = () => {
  const orders: number[] = [];
  const steps = new Map<string, WaveStep>();
  /** What the planner answers, and how the store and the fleet behave. */
  const state = {
    content: EMPTY as WorkerTasks | undefined,
    writeMs: 0,
    outcome: { kind: 'done' } as FleetOutcome,
    isStopped: false,
    isWaiting: false,
  };
  const journal = {
    listSteps: () => steps,
    isCompleted: () => false,
    write: async (_: number, instance: string, step: WaveStep) => {
      if (state.writeMs > 0) await waitFor(state.writeMs);
      steps.set(instance, step);
      return 'stored';
    },
    clear: (_: number, instance: string) => {
      steps.delete(instance);
      return Promise.resolve('stored');
    },
    complete: () => Promise.resolve('stored'),
  } as unknown as WaveJournal;
  const gateway = {
    answerOnce: () =>
      Promise.resolve(
        state.content === undefined
          ? { kind: 'unavailable', why: 'pool-loading', retryAfterMs: 0 }
          : { kind: 'content', ...state.content },
      ),
  } as unknown as FleetDuty['gateway'];
  const duty = {
    fleet: {
      maintainInstance: () => {
        orders.push(performance.now());
        return Promise.resolve(state.outcome);
      },
    },
    config: new BehaviorSubject(undefined),
    waves: new BehaviorSubject(new Map([[WAVE.wave, WAVE]])),
    publishWave: () => Promise.resolve(true),
    gateway,
    evacuations: createEvacuations(gateway),
    incarnationEnds: { add: () => {}, handleList: () => {} },
    log: SILENT_LOG,
    takeFence: () => ({ holder: 'a', token: 1 }),
    handleLoss: () => {},
    isStopped: () => state.isStopped,
    mayOrder: () => !state.isStopped && !state.isWaiting,
  } as unknown as FleetDuty;
  const runner = createWaveRunner(duty, journal);
  const runRound = (instance = INSTANCE) => runner.run(new Map([[instance.id, instance]]));
  return { orders, steps, state, runRound };
};

const test = suite('wave runner');
let clock: Clock;
test.before.each(() => {
  clock = install({ now: 0 });
});
test.after.each(() => clock.uninstall());

test('maintenance ends tasks that started after the evacuation had lapsed', async () => {
  const { orders, state, runRound } = createSetup();
  await runRound();
  state.content = BUSY;
  await clock.tickAsync(4_000);
  await runRound();
  assert.equal(orders, []);
});

test('maintenance ends tasks that started while the store was slow to record the order', async () => {
  const { orders, steps, state, runRound } = createSetup();
  await runRound();
  state.writeMs = 4_000;
  const round = runRound();
  await clock.tickAsync(1_000);
  state.content = BUSY;
  await clock.tickAsync(10_000);
  await round;
  assert.equal(orders, []);
  assert.is(steps.size, 0);
});

test('an order is sent after the duty was lost while the store was slow', async () => {
  const { orders, state, runRound } = createSetup();
  await runRound();
  state.writeMs = 1_000;
  const round = runRound();
  await clock.tickAsync(500);
  state.isStopped = true;
  await clock.tickAsync(10_000);
  await round;
  assert.equal(orders, []);
});

test('batch tasks get no time to end when their planner was late to evacuate the worker', async () => {
  const { orders, state, runRound } = createSetup();
  const runRoundsUntil = async (endMs: number) => {
    while (performance.now() < endMs) {
      await runRound();
      await clock.tickAsync(250);
    }
  };
  state.content = undefined;
  await runRoundsUntil(4_000);
  state.content = BUSY;
  await runRoundsUntil(5_500);
  assert.equal(orders, []);
  await runRoundsUntil(7_000);
  assert.is(orders.length, 1);
});

test('an order without an answer is repeated onto new tasks, or forgotten', async () => {
  const { orders, steps, state, runRound } = createSetup();
  state.outcome = { kind: 'unknown' };
  await runRound();
  await runRound();
  assert.is(orders.length, 1);
  state.content = { lastingTasks: 1, batchTasks: 0 };
  await runRound();
  await runRound();
  assert.is(orders.length, 1);
  assert.is(steps.get('m1')?.kind, 'ordered');
});

test('an instance does not count as down although its first order may still take effect', async () => {
  const { orders, steps, state, runRound } = createSetup();
  state.outcome = { kind: 'unknown' };
  await runRound();
  await runRound();
  state.outcome = { kind: 'refused', reason: 'status 429' };
  await runRound();
  assert.is(orders.length, 2);
  assert.is(steps.get('m1')?.kind, 'ordered');
});

test('a wave stands while its rounds take two seconds each', async () => {
  const { orders, runRound } = createSetup();
  await runRound();
  await clock.tickAsync(2_000);
  await runRound();
  assert.is(orders.length, 1);
});

test('a drained worker is maintained in the round after its evacuation', async () => {
  const { orders, steps, runRound } = createSetup();
  await runRound();
  await runRound();
  assert.is(orders.length, 1);
  assert.is(steps.get('m1')?.kind, 'begun');
});

// Guards against holders of the fleet duty that begin to drain only when they may order.
test('workers are drained while orders have to wait, and nothing is ordered or recorded', async () => {
  const { orders, steps, state, runRound } = createSetup();
  state.isWaiting = true;
  await runRound();
  await runRound();
  assert.equal([orders.length, steps.size], [0, 0]);
  state.isWaiting = false;
  await runRound();
  assert.is(orders.length, 1);
});

test.run();
