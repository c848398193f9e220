/** Rounds of lending over one surplus worker whose moves the fleet does not always answer. */
import { install, type Clock } from '@sinonjs/fake-timers';
import { BehaviorSubject } from 'rxjs';
import * as assert from 'uvu/assert';
import { suite } from 'uvu';
import type { FleetInstance, FleetOutcome } from 'vanilladock/lib/ports/fleet.js';
import type { WorkerTasks } from 'vanilladock/lib/waves/plan-wave.js';
import { createEvacuations } from '../lib/jobs/evacuations.js';
import type { FleetDuty } from '../lib/jobs/fleet-runner.js';
import type { JobRequest } from '../lib/jobs/job-request.js';
import { createLender } from '../lib/jobs/lender.js';
import { POOL, SILENT_LOG } from './job-fixtures.js';

const STANDBY = 'standby';
const ROUND_MS = 250;
const SILENT_POOL = 'silent';
const SURPLUS_DELAY_MS = 3_000;
const IDLE: WorkerTasks = { lastingTasks: 0, batchTasks: 0 };
const BUSY: WorkerTasks = { lastingTasks: 0, batchTasks: 2 };

const makeInstance = (index: number): FleetInstance => ({
  id: `m${index}`,
  pool: POOL,
  state: 'up',
  dataCentre: 'hobart',
  labels: [],
  cores: 4,
  workerId: `w${index}`,
});

/** A pool of four instances that needs three; `m1` is idle. */
const createSetup = (options: { readonly hasSilentPool?: boolean } = {}) => {
  const moves: string[] = [];
  const evacuated: string[] = [];
  const state = {
    content: IDLE,
    outcome: { kind: 'unknown' } as FleetOutcome,
    lastingCores: 0,
    isStopped: false,
    isWaiting: false,
    handleEvacuation: () => {},
  };
  const instances = new Map([1, 2, 3, 4].map((index) => [`m${index}`, makeInstance(index)]));
  const answer = (request: JobRequest) => {
    if (request.pool === SILENT_POOL) return { kind: 'unavailable', why: 'no-planner' };
    if (request.kind === 'evacuate') {
      evacuated.push(request.workerId);
      state.handleEvacuation();
      return { kind: 'content', ...state.content };
    }
    const workers = [...instances.values()].map(({ workerId }) => ({
      workerId,
      ...(workerId === 'w1' ? state.content : { lastingTasks: 1, batchTasks: 0 }),
    }));
    const cores = { arrivalCores: 0, expectedCores: 0, runnableCores: 0, onTimeCores: 0 };
    const demand = { pool: POOL, ...cores, lastingCores: state.lastingCores, workers };
    const needs = { minWorkers: 0, hasPeaked: true, hasUnplaced: false };
    return { kind: 'demand', demand: { ...demand, ...needs } };
  };
  const gateway = {
    answerOnce: (request: JobRequest) => Promise.resolve(answer(request)),
  } as unknown as FleetDuty['gateway'];
  const duty = {
    fleet: {
      moveInstance: (instance: string) => {
        moves.push(instance);
        return Promise.resolve(state.outcome);
      },
    },
    config: new BehaviorSubject({
      pools: [
        { name: POOL, isStandby: false },
        { name: STANDBY, isStandby: true },
        ...(options.hasSilentPool === true ? [{ name: SILENT_POOL, isStandby: false }] : []),
      ],
    }),
    gateway,
    evacuations: createEvacuations(gateway),
    incarnationEnds: { add: () => {}, handleList: () => {} },
    log: SILENT_LOG,
    tickMs: ROUND_MS,
    fleetOrdersPerSecond: 100,
    takeFence: () => ({ holder: 'a', token: 1 }),
    handleLoss: () => {},
    isStopped: () => state.isStopped,
    mayOrder: () => !state.isStopped && !state.isWaiting,
  } as unknown as FleetDuty;
  const lender = createLender(duty);
  return { moves, evacuated, state, instances, runRound: () => lender.run(instances, new Set()) };
};

const test = suite('lender');
let clock: Clock;
test.before.each(() => {
  clock = install({ now: 0 });
});
test.after.each(() => clock.uninstall());

/** Runs rounds until the idle instance has a surplus long enough, and its move was sent. */
const createOpenMove = async () => {
  const setup = createSetup();
  await setup.runRound();
  await clock.tickAsync(SURPLUS_DELAY_MS);
  await setup.runRound();
  assert.equal(setup.moves, ['m1']);
  return setup;
};

test('a move without an answer is repeated and ends tasks that started since', async () => {
  const { moves, state, runRound } = await createOpenMove();
  await clock.tickAsync(4_000);
  state.content = BUSY;
  await runRound();
  assert.equal(moves, ['m1']);
});

test('a move without an answer is not repeated', async () => {
  const { moves, runRound } = await createOpenMove();
  await runRound();
  assert.equal(moves, ['m1', 'm1']);
});

test('a move is repeated although its instance has moved already', async () => {
  const { moves, instances, runRound } = await createOpenMove();
  instances.set('m1', { ...makeInstance(1), pool: STANDBY, workerId: undefined });
  await runRound();
  assert.equal(moves, ['m1']);
});

test('a worker is evacuated for good because its move is never answered', async () => {
  const { evacuated, state, runRound } = await createOpenMove();
  state.content = { lastingTasks: 1, batchTasks: 0 };
  // The pool needs all its workers from now on, so that only the open move evacuates one.
  state.lastingCores = 16;
  evacuated.length = 0;
  await runRound();
  assert.equal(evacuated, ['w1']);
  await clock.tickAsync(5_500);
  evacuated.length = 0;
  await runRound();
  assert.equal(evacuated, []);
});

test('a move is sent after the duty was lost while the planner was slow', async () => {
  const { moves, state, runRound } = createSetup();
  await runRound();
  await clock.tickAsync(SURPLUS_DELAY_MS);
  state.handleEvacuation = () => {
    state.isStopped = true;
  };
  await runRound();
  assert.equal(moves, []);
});

test('a pool without a planner does not keep others from returning instances', async () => {
  const { moves, runRound } = createSetup({ hasSilentPool: true });
  await runRound();
  await clock.tickAsync(SURPLUS_DELAY_MS);
  await runRound();
  assert.equal(moves, ['m1']);
});

// Guards against a surplus that begins anew with each holder of the fleet duty.
test('a surplus counts while orders have to wait, and nothing is moved or drained', async () => {
  const { moves, evacuated, state, runRound } = createSetup();
  state.isWaiting = true;
  await runRound();
  await clock.tickAsync(SURPLUS_DELAY_MS);
  await runRound();
  assert.equal([...moves, ...evacuated], []);
  state.isWaiting = false;
  await runRound();
  assert.equal(moves, ['m1']);
});

test.run();
