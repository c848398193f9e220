/** An error in one round, after which a part of the instance stands for good or ends the process. */
import { install } from '@sinonjs/fake-timers';
import * as assert from 'uvu/assert';
import { suite } from 'uvu';
import type { KeyedStore } from 'vanilladock/lib/ports/keyed-store.js';
import { waitMs } from '../lib/jobs/clock.js';
import { runEndlessLoop } from '../lib/jobs/endless-loop.js';
import { watchTopic, type TopicEvent } from '../lib/jobs/topic-follower.js';
import { startClaims } from './duty-claims-scene.js';
import { createRecordingLog } from './fake-log.js';
import { SILENT_LOG } from './job-fixtures.js';
import { createPartitionedStore } from './partitioned-store.js';

const SECOND_MS = 1_000;
const STORE_MS = 4;

const test = suite('endless loop');

/** Collects rejections that nobody handles while work is done. */
const recordRejections = async (work: () => Promise<void>) => {
  const rejections: unknown[] = [];
  const handleRejection = (error: unknown) => void rejections.push(error);
  process.on('unhandledRejection', handleRejection);
  await work();
  await new Promise((resolve) => {
    setTimeout(resolve, 10);
  });
  process.off('unhandledRejection', handleRejection);
  return rejections;
};

test('a loop whose rounds fail goes on, and logs at most one line a second', async () => {
  const clock = install({ now: 0 });
  const log = createRecordingLog();
  let rounds = 0;
  let isStopped = false;
  const runRound = async () => {
    rounds += 1;
    if (rounds <= 3) throw new Error('planted');
    await waitMs(100);
  };
  void runEndlessLoop({ where: 'here', log, isStopped: () => isStopped, runRound });
  await clock.tickAsync(4 * SECOND_MS);
  isStopped = true;
  await clock.tickAsync(SECOND_MS);
  clock.uninstall();
  assert.ok(rounds >= 12, `${rounds} rounds`);
  assert.is(log.lines.length, 3);
  assert.is(log.lines[0]?.event, 'loop-failed');
  assert.is(log.lines[0]?.where, 'here');
});

test('a topic is followed on after an error while it was read', async () => {
  const rejections = await recordRejections(async () => {
    const clock = install({ now: 0 });
    const { store } = createPartitionedStore(() => STORE_MS);
    let reads = 0;
    const failing: KeyedStore = {
      ...store,
      read: (...inputs) => {
        reads += 1;
        return reads === 3 ? Promise.reject(new Error('planted')) : store.read(...inputs);
      },
    };
    const where = { topic: 'any', partition: 0 };
    const events: TopicEvent[] = [];
    const options = { store: failing, where, pauseMs: 100, pollMs: 100, log: SILENT_LOG };
    const subscription = watchTopic({ ...options, handleContact: () => {} }).subscribe((event) =>
      events.push(event),
    );
    await clock.tickAsync(2 * SECOND_MS);
    void store.append(where, [{ key: 'late', value: 'text' }], { kind: 'none' });
    await clock.tickAsync(3 * SECOND_MS);
    subscription.unsubscribe();
    clock.uninstall();
    const keys = events.flatMap(({ records }) => records.map(({ key }) => key));
    assert.ok(keys.includes('late'), 'the record was never read');
  });
  assert.equal(rejections, []);
});

test('duties are claimed after an error in a claim and in a heartbeat', async () => {
  const rejections = await recordRejections(async () => {
    const clock = install({ now: 0 });
    const { store } = createPartitionedStore(() => STORE_MS);
    const failed = new Set<number>();
    const failing: KeyedStore = {
      ...store,
      append: (where, ...inputs) => {
        if (failed.has(where.partition)) return store.append(where, ...inputs);
        failed.add(where.partition);
        return Promise.reject(new Error('planted'));
      },
    };
    const dutyClaims = startClaims(failing);
    await clock.tickAsync(8 * SECOND_MS);
    const held = [...dutyClaims.held.value.keys()];
    void dutyClaims.stop(() => false);
    await clock.tickAsync(SECOND_MS);
    clock.uninstall();
    assert.is(failed.size, 2, 'an error was not planted');
    assert.equal(held, ['pool/stalls']);
  });
  assert.equal(rejections, []);
});

test.run();
