/** The state writer of a pool under steady load. */
import { install } from '@sinonjs/fake-timers';
import * as assert from 'uvu/assert';
import { suite } from 'uvu';
import type { PoolPlanner } from 'vanilladock/lib/jobs/pool-planner.js';
import { createPoolStateWriter } from '../lib/jobs/pool-state-writer.js';
import type { PoolStore } from '../lib/jobs/pool-store.js';
import type { PoolMeta } from '../lib/jobs/stored-pool.js';

const WRITE_COUNT = 40;
const NEW_WORKER_AT = 5;

/** A planner that has nothing to store and knows of nothing before it. */
const IDLE_PLANNER = {
  takeStoreBatch: () => undefined,
  computeEarlierOrdersMs: () => 0,
  planTeamCeilings: () => undefined,
  observeCeilingsWrite: () => {},
  hasStoredHolders: () => true,
  listLeaseHolders: () => [],
  markWorkersRecorded: () => {},
};

/** Opens a state writer of doubles; what the planner's lacks is that of the idle one. */
const openWriter = (store: object, planner: object) =>
  createPoolStateWriter({
    store: store as unknown as PoolStore,
    getPlanner: () => ({ ...IDLE_PLANNER, ...planner }) as unknown as PoolPlanner,
    schedulePlan: () => {},
    handleLost: () => {},
    handleFailed: (error) => {
      throw error;
    },
  });

const test = suite('pool state writer');

test('new workers are recorded while there is always something to write', async () => {
  let writes = 0;
  const recorded: { readonly id: string; readonly atWrite: number }[] = [];
  const planner = {
    takeStoreBatch: () =>
      writes < WRITE_COUNT
        ? { records: [{ key: 'stalls:a', value: `${writes}` }], handleStored: () => {} }
        : undefined,
    hasStoredHolders: (stored: ReadonlyMap<string, unknown>) =>
      stored.size === (writes < NEW_WORKER_AT ? 1 : 2),
    listLeaseHolders: () =>
      (writes < NEW_WORKER_AT ? ['w1'] : ['w1', 'w2']).map((id) => ({ id, bornMs: 1 })),
    markWorkersRecorded: (ids: readonly string[]) =>
      ids
        .filter((id) => !recorded.some((known) => known.id === id))
        .forEach((id) => recorded.push({ id, atWrite: writes })),
  };
  const store = {
    write: () => {
      writes += 1;
      return Promise.resolve('stored' as const);
    },
    encodeMeta: () => ({ key: 'stalls:meta', value: '' }),
  };
  const stateWriter = openWriter(store, planner);
  await stateWriter.writeDirty();
  const newWorker = recorded.find(({ id }) => id === 'w2');
  assert.ok(newWorker !== undefined, 'the new worker was never recorded');
  assert.ok(newWorker.atWrite <= NEW_WORKER_AT + 3, `recorded after write ${newWorker.atWrite}`);
});

// Guards against waits that begin anew with each planner that is killed before it is settled.
test('what is left of the wait for earlier orders is stored each half second', async () => {
  const clock = install({ now: 0 });
  const written: unknown[] = [];
  const planner = {
    computeEarlierOrdersMs: (nowMs: number) => Math.max(0, 1_200 - nowMs),
  };
  const store = {
    write: () => Promise.resolve('stored'),
    encodeMeta: ({ isSettled, earlierOrdersMs }: PoolMeta) =>
      written.push([isSettled, earlierOrdersMs]),
  };
  const stateWriter = openWriter(store, planner);
  stateWriter.setMeta({ generation: 2, workers: [], isSettled: false });
  for (let nowMs = 100; nowMs <= 1_500; nowMs += 100) {
    await clock.tickAsync(100);
    await stateWriter.writeDirty();
  }
  clock.uninstall();
  assert.equal(written, [
    [false, 700],
    [false, 200],
    [true, undefined],
  ]);
});

// Guards against starts beyond a ceiling of a write whose outcome is open.
test('the planner is told of a write of ceilings unless its outcome is open', async () => {
  const told: boolean[] = [];
  const written: unknown[] = [];
  const outcomes = ['refused', 'stored', 'lost'] as const;
  const planner = {
    planTeamCeilings: () => ({ fishmongers: { cores: written.length } }),
    observeCeilingsWrite: (isStored: boolean) => told.push(isStored),
  };
  const store = {
    write: () => Promise.resolve(outcomes[written.length - 1]),
    encodeMeta: (meta: { readonly teamCeilings?: unknown }) => written.push(meta.teamCeilings),
  };
  const stateWriter = openWriter(store, planner);
  for (let write = 0; write < outcomes.length; write += 1) await stateWriter.writeDirty();
  assert.equal(told, [false, true]);
  assert.equal(written.at(-1), { fishmongers: { cores: 2 } });
});

test.run();
