/** The fleet duty goes on when a round of it fails. */
import { install } from '@sinonjs/fake-timers';
import { BehaviorSubject } from 'rxjs';
import * as assert from 'uvu/assert';
import { suite } from 'uvu';
import { startFleetRunner, type FleetRunnerOptions } from '../lib/jobs/fleet-runner.js';
import type { LogFields } from '../lib/json-log.js';
import type { WaveOrder } from 'vanilladock/lib/ports/fleet.js';
import type { KeyedStore } from 'vanilladock/lib/ports/keyed-store.js';
import { createMemoryStore } from './memory-store.js';

const test = suite('fleet duty');

const ORDER = { wave: 1, instances: ['m1'], durationMs: 1_000, maxConcurrent: 1 };

/** Lists an instance without a worker. */
const listOne = () =>
  Promise.resolve([
    { id: 'm1', pool: 'stalls', state: 'up', dataCentre: 'hobart', workerId: undefined },
  ]);

/** Runs the duty on a paused clock; `listInstances` gets the number of lists before this one. */
const runDuty = async (
  listInstances: (count: number) => Promise<unknown>,
  store = createMemoryStore().store,
  orders: readonly WaveOrder[] = [],
  isInForce = () => true,
) => {
  const clock = install({ now: 0 });
  const events: LogFields[] = [];
  const record = (fields: LogFields) => void events.push(fields);
  const lost: string[] = [];
  const orderTimesMs: number[] = [];
  let listCount = 0;
  const runner = startFleetRunner({
    store,
    fleet: {
      listInstances: () => {
        listCount += 1;
        return listInstances(listCount - 1);
      },
      maintainInstance: () => {
        orderTimesMs.push(performance.now());
        return Promise.resolve({ kind: 'unknown' });
      },
    },
    config: new BehaviorSubject(undefined),
    waves: new BehaviorSubject(new Map(orders.map((order) => [order.wave, order]))),
    publishWave: () => Promise.resolve(true),
    holderGapMs: 0,
    isInForce,
    queryPredecessor: () => new Promise(() => {}),
    fleetOrdersPerSecond: 100,
    log: { info: record, warn: record, error: record },
    claim: { duty: 'fleet', holder: 'a', token: 1 },
    holder: 'a',
    gateway: {},
    handleLost: (why: string) => void lost.push(why),
  } as unknown as FleetRunnerOptions);
  await clock.tickAsync(10_000);
  runner.stop();
  clock.uninstall();
  return { events, listCount, lost, orderTimesMs };
};

test('one round that fails ends the fleet duty of an instance that keeps its claim', async () => {
  const { events, listCount } = await runDuty((count) =>
    count === 0 ? Promise.reject(new Error('planted')) : Promise.resolve([]),
  );
  assert.ok(listCount > 2);
  assert.equal(events[0], { event: 'round-failed', duty: 'fleet', reason: 'Error: planted' });
});

// Guards against a fleet duty that is held and not carried out.
test('an error while the journal is loaded gives up the fleet duty', async () => {
  const readNewest = () => Promise.reject(new Error('planted'));
  const store = { ...createMemoryStore().store, readNewest };
  const { events, listCount, lost } = await runDuty(() => Promise.resolve([]), store);
  assert.is(listCount, 0);
  assert.equal(lost, ['duty-failed']);
  assert.is(events[0]?.event, 'duty-failed');
});

// Guards against waves that stand for good, as each write after one that failed would fail too.
test('an error in a write of the journal gives up the fleet duty', async () => {
  const { store } = createMemoryStore();
  let appends = 0;
  const append: KeyedStore['append'] = (...inputs) => {
    appends += 1;
    // The first append is the empty one that fences off earlier holders.
    return appends === 2 ? Promise.reject(new Error('planted')) : store.append(...inputs);
  };
  const { lost } = await runDuty(listOne, { ...store, append }, [ORDER]);
  assert.is(appends, 2);
  assert.equal(lost, ['ledger-fenced']);
});

// Guards against two holders that order at the same time, as one cannot confirm its claim.
test('no order is sent while the claim is not in force', async () => {
  const isInForce = () => performance.now() < 2_000 || performance.now() > 6_000;
  const { orderTimesMs } = await runDuty(listOne, undefined, [ORDER], isInForce);
  assert.ok(orderTimesMs.some((atMs) => atMs < 2_000));
  assert.ok(orderTimesMs.some((atMs) => atMs > 6_000));
  assert.equal(
    orderTimesMs.filter((atMs) => atMs >= 2_000 && atMs <= 6_000),
    [],
  );
});

// Guards against a line in every round where there is no list of instances.
test('a list of instances that is not available is logged once, and again when it is', async () => {
  const { events, listCount } = await runDuty((count) =>
    Promise.resolve(count < 5 ? undefined : []),
  );
  assert.ok(listCount > 6);
  assert.equal(events.slice(0, 2), [
    { event: 'dependency-lost', dependency: 'fleet' },
    { event: 'dependency-regained', dependency: 'fleet' },
  ]);
  assert.is(events.filter(({ event }) => event === 'dependency-lost').length, 1);
});

test.run();
