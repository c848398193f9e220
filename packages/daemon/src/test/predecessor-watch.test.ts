/** What a planner takes from what is known of the planners before it. */
import { install } from '@sinonjs/fake-timers';
import * as assert from 'uvu/assert';
import { suite } from 'uvu';
import type { HandOver } from 'vanilladock/lib/jobs/hand-over.js';
import type { PoolPlanner } from 'vanilladock/lib/jobs/pool-planner.js';
import type { Predecessor } from '../lib/jobs/duty-notices.js';
import { watchPredecessor } from '../lib/jobs/predecessor-watch.js';
import type { PoolMeta } from '../lib/jobs/stored-pool.js';

const HAND_OVER: HandOver = { token: 5, earlierOrdersMs: 0, leases: [] };

/** Applies what is known to a planner that records it; the metadata are settled and of token 5. */
const applyPredecessor = async (known: Partial<Predecessor>, meta: Partial<PoolMeta> = {}) => {
  const clock = install({ now: 0 });
  const calls: string[] = [];
  const planner = {
    observeHandOver: () => calls.push('hand-over'),
    observePredecessorStopped: (nowMs: number) => calls.push(`stopped at ${nowMs}`),
    computeEarlierOrdersMs: () => 0,
  } as unknown as PoolPlanner;
  const predecessor = { hasStopped: true, token: 5, told: undefined, knownMs: 3, ...known };
  const watch = watchPredecessor(() => Promise.resolve(predecessor));
  const stored = { generation: 1, workers: [], token: 5, isSettled: true, ...meta };
  const applied = watch.apply(planner, stored);
  await clock.tickAsync(1);
  await applied;
  clock.uninstall();
  return calls;
};

const test = suite('predecessor watch');

test('the planner that wrote the metadata ends the waits by its stop or by what it tells', async () => {
  assert.equal(await applyPredecessor({}), ['stopped at 3']);
  const told = { handOver: HAND_OVER, atMs: 2 };
  assert.equal(await applyPredecessor({ told }), ['hand-over']);
  assert.equal(await applyPredecessor({ hasStopped: false }), []);
  assert.equal(await applyPredecessor({}, { isSettled: false }), []);
});

// Guards against waits that begin anew with each planner that is killed before it is settled.
test('the wait for orders goes on from what a killed planner has stored of it', async () => {
  const meta = { isSettled: false, earlierOrdersMs: 400 };
  assert.equal(await applyPredecessor({}, meta), ['stopped at 400']);
  assert.equal(await applyPredecessor({ knownMs: 700 }, meta), ['stopped at 700']);
  assert.equal(await applyPredecessor({ hasStopped: false }, meta), [], 'it may order itself');
  assert.equal(await applyPredecessor({ token: 6 }, meta), [], 'another one has stopped');
  assert.equal(await applyPredecessor({}, { ...meta, token: undefined }), [], 'of no known writer');
});

// Guards against a task that runs twice: between the planner that still orders and the next one, an
// instance claimed the pool that never loaded it, and that one has stopped.
test('the stop of an instance that never loaded the pool ends no wait for the planner before', async () => {
  assert.equal(await applyPredecessor({ token: 6 }), []);
  assert.equal(await applyPredecessor({ token: undefined }), [], 'an unknown holder');
  const told = { handOver: { ...HAND_OVER, token: 4 }, atMs: 2 };
  assert.equal(await applyPredecessor({ token: 6, told }), [], 'told by an older one');
});

// Guards against waits that begin anew, as a planner stops while it writes its first metadata.
test('what a planner passes on that has ordered nothing holds for its own metadata too', async () => {
  const clock = install({ now: 0 });
  const told = { handOver: { ...HAND_OVER, token: 4 }, atMs: 2 };
  const predecessor = { hasStopped: true, token: 4, told, knownMs: 2 };
  const watch = watchPredecessor(() => Promise.resolve(predecessor));
  await clock.tickAsync(1);
  clock.uninstall();
  const passedOn = watch.makePassedOn(5);
  assert.equal(await applyPredecessor({ told: passedOn }, { isSettled: false }), ['hand-over']);
});

test('metadata of an earlier version, which name no planner, are taken for those of the last', async () => {
  assert.equal(await applyPredecessor({ token: 6 }, { token: undefined }), ['stopped at 3']);
});

test.run();
