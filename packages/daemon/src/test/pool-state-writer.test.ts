/** The state writer of a pool under steady load. */
import * as assert from 'uvu/assert';
import { suite } from 'uvu';
import type { PoolPlanner } from 'vanilladock/lib/jobs/pool-planner.js';
import { createPoolStateWriter } from '../lib/jobs/pool-state-writer.js';
import type { PoolStore } from '../lib/jobs/pool-store.js';

const WRITE_COUNT = 40;
const NEW_WORKER_AT = 5;

const test = suite('pool state writer');

test('new workers are recorded while there is always something to write', async () => {
  let writes = 0;
  const recorded: { readonly id: string; readonly atWrite: number }[] = [];
  const planner = {
    takeStoreBatch: () =>
      writes < WRITE_COUNT
        ? { records: [{ key: 'stalls:a', value: `${writes}` }], handleStored: () => {} }
        : undefined,
    computeEarlierOrdersMs: () => 0,
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
  const stateWriter = createPoolStateWriter({
    store: store as unknown as PoolStore,
    getPlanner: () => planner as unknown as PoolPlanner,
    schedulePlan: () => {},
    handleLost: () => {},
    handleFailed: (error) => {
      throw error;
    },
  });
  await stateWriter.writeDirty();
  const newWorker = recorded.find(({ id }) => id === 'w2');
  assert.ok(newWorker !== undefined, 'the new worker was never recorded');
  assert.ok(newWorker.atWrite <= NEW_WORKER_AT + 3, `recorded after write ${newWorker.atWrite}`);
});

test.run();
