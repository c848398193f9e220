/** The loop that renews the leases of one worker. */
import * as assert from 'uvu/assert';
import { suite } from 'uvu';
import { createPoolPlanner } from 'vanilladock/lib/jobs/pool-planner.js';
import { LEASE_MS } from 'vanilladock/lib/jobs/lease-clock.js';
import type { RenewOrder, RenewOutcome, TaskWorkers } from 'vanilladock/lib/ports/task-workers.js';
import { startWorkerLoop } from '../lib/jobs/worker-loop.js';
import { ENTRY, POLICY, POOL, SPEC, STEP } from './job-fixtures.js';

const test = suite('worker loop');

const LASTING_JOB = { ...SPEC, steps: [{ ...STEP, isLasting: true }] };

const waitFor = (ms: number) =>
  new Promise((resolve) => {
    setTimeout(resolve, ms);
  });

/** Starts the loop of a worker with one task; `state` can make renewals fail or the claim lapse. */
const openLoop = async () => {
  const planner = createPoolPlanner(POOL, {
    report: () => {},
    runBase: 0,
    inheritedWorkers: [],
    claimedMs: 0,
    statusMs: 1000,
  });
  const makeMoment = () => ({ nowMs: performance.now(), wallMs: Date.now() });
  const orders: RenewOrder[] = [];
  const state = { isSilent: false, isInForce: true };
  const renew = async (_: unknown, order: RenewOrder): Promise<RenewOutcome> => {
    orders.push(order);
    if (state.isSilent) return { kind: 'unknown' };
    await waitFor(5);
    const running = [...(planner.table.workers.get('w1')?.tasks ?? [])].map((taskKey) => ({
      taskKey,
      run: 1,
      checkpoint: '',
      percent: 100,
      load: 0,
    }));
    const clockMs = Math.round(performance.now());
    return { kind: 'report', report: { bornMs: 1, clockMs, running, ended: [] } };
  };
  planner.observeWorkers([ENTRY], makeMoment());
  planner.markWorkersRecorded(['w1']);
  const loop = startWorkerLoop({
    workerId: 'w1',
    bornMs: 1,
    planner,
    workers: { renew } as unknown as TaskWorkers,
    fencingToken: 1,
    isInForce: () => state.isInForce,
    handleReport: async () => {},
    handlePaces: () => {},
    handleFenced: () => {},
  });
  await waitFor(30);
  planner.submit(LASTING_JOB, POLICY, makeMoment());
  planner.takeStoreBatch()?.handleStored();
  planner.plan(makeMoment()).forEach((action) => {
    if (action.kind !== 'start') return;
    const clockMs = Math.round(performance.now());
    planner.observeStart(action, { kind: 'accepted', clockMs }, makeMoment());
  });
  loop.wake();
  await waitFor(50);
  return { planner, orders, state, loop };
};

test('renewals of an unresponsive worker extend no lease, so that it expires', async () => {
  const { planner, orders, state, loop } = await openLoop();
  assert.ok(orders.at(-1)!.leaseUntilMs !== undefined);
  state.isSilent = true;
  const unresponsiveFrom = orders.length + 1;
  await waitFor(600);
  loop.stop();
  const lateOrders = orders.slice(unresponsiveFrom + 1);
  assert.ok(lateOrders.length > 0);
  assert.ok(lateOrders.every(({ leaseUntilMs }) => leaseUntilMs === undefined));
  const { leaseUntilMs } = planner.table.workers.get('w1')!;
  assert.ok(leaseUntilMs <= performance.now() + LEASE_MS);
});

// Guards against a task that runs twice, as a holder that its successor cannot reach extends the
// lease.
test('a holder without a confirmed claim extends no lease but still polls workers', async () => {
  const { orders, state, loop } = await openLoop();
  assert.ok(orders.at(-1)!.leaseUntilMs !== undefined);
  state.isInForce = false;
  const lapsedFrom = orders.length;
  await waitFor(50);
  loop.stop();
  const lateOrders = orders.slice(lapsedFrom);
  assert.ok(lateOrders.length > 0);
  assert.ok(lateOrders.every(({ leaseUntilMs }) => leaseUntilMs === undefined));
});

test.run();
