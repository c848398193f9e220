/** The directory of the pools of queues, on a store with conditional appends and fake timers. */
import { install, type Clock } from '@sinonjs/fake-timers';
import * as assert from 'uvu/assert';
import { suite } from 'uvu';
import { BehaviorSubject } from 'rxjs';
import type { FleetConfig } from 'vanilladock/lib/ports/fleet.js';
import type { TaskWorkers, WorkerEntry } from 'vanilladock/lib/ports/task-workers.js';
import { startPoolRunner } from '../lib/jobs/pool-runner.js';
import { startQueueDirectory } from '../lib/jobs/queue-directory.js';
import { makeStoppedQuery, POLICY, RUNNER_BASE, SILENT_LOG, SPEC } from './job-fixtures.js';
import { NEVER, waitFor } from './memory-store.js';
import { createPartitionedStore } from './partitioned-store.js';

const SECOND_MS = 1_000;
const CALL_MS = 4;
const QUEUE = 'pule25.example/tray/';
const OTHER = 'pule25.example/cure/';
const HOMES = { topic: 'keyed.queues', partition: 0 };

const test = suite('queue directory');

const makeConfig = (version: number, tray: string): FleetConfig => ({
  version,
  routes: [
    ['/tray/', tray],
    ['/cure/', 'ovens'],
  ].map(([pathPrefix = '', pool = '']) => ({
    name: `r-${version}`,
    host: 'pule25.example',
    pathPrefix,
    pool,
    timeoutMs: 3_000,
    policy: POLICY,
  })),
  pools: [],
  limits: { maxHeaderBytes: 1, maxBodyBytes: 1, headerTimeoutMs: 1, idleTimeoutMs: 1 },
});

const openStore = () => createPartitionedStore(() => CALL_MS);

const openDirectory = ({ store }: ReturnType<typeof openStore>, first: FleetConfig) => {
  const config = new BehaviorSubject<FleetConfig | undefined>(first);
  return { config, ...startQueueDirectory({ store, config, log: SILENT_LOG }) };
};

const runCase = async (runSteps: (clock: Clock) => Promise<void>) => {
  const clock = install({ now: 0 });
  try {
    await runSteps(clock);
  } finally {
    clock.uninstall();
  }
};

test('a version is recorded once by many instances, and each knows the former pools', () =>
  runCase(async (clock) => {
    const opened = openStore();
    const directories = Array.from({ length: 8 }, () =>
      openDirectory(opened, makeConfig(7, 'stalls')),
    );
    assert.is(directories[0]!.findPlacement(QUEUE, 'stalls', 7), undefined, 'not recorded yet');
    assert.not(directories[0]!.hasRecorded(7));
    await clock.tickAsync(SECOND_MS);
    directories.forEach(({ config }) => config.next(makeConfig(8, 'kilns')));
    await clock.tickAsync(SECOND_MS);
    assert.is(opened.countAppends(), 2);
    directories.forEach((directory) => {
      const expected = { version: 8, formerPools: ['stalls'] };
      assert.equal(directory.findPlacement(QUEUE, 'kilns', 8), expected);
      assert.equal(directory.listFormerPools(QUEUE, 'kilns'), ['stalls']);
      assert.is(directory.findPlacement(QUEUE, 'stalls', 8), undefined, 'a call of before');
      directory.stop();
    });
  }));

test('a queue that stays in its pool goes on under the version before until the next is recorded', () =>
  runCase(async (clock) => {
    const { config, ...directory } = openDirectory(openStore(), makeConfig(7, 'stalls'));
    await clock.tickAsync(SECOND_MS);
    config.next(makeConfig(8, 'kilns'));
    assert.equal(directory.findPlacement(OTHER, 'ovens', 8), { version: 7, formerPools: [] });
    assert.is(directory.findPlacement(QUEUE, 'kilns', 8), undefined);
    directory.stop();
  }));

// Guards against a job that is accepted twice: an instance with an old version goes on recording.
test('an instance whose version is superseded records nothing and waits for a newer one', () =>
  runCase(async (clock) => {
    const opened = openStore();
    const newer = openDirectory(opened, makeConfig(9, 'stalls'));
    await clock.tickAsync(SECOND_MS);
    const older = openDirectory(opened, makeConfig(8, 'kilns'));
    await clock.tickAsync(SECOND_MS);
    assert.is(opened.countAppends(), 1);
    assert.is(older.findPlacement(QUEUE, 'kilns', 8), undefined);
    older.config.next(makeConfig(9, 'stalls'));
    await clock.tickAsync(SECOND_MS);
    assert.equal(older.findPlacement(QUEUE, 'stalls', 9), { version: 9, formerPools: [] });
    [newer, older].forEach(({ stop }) => stop());
  }));

test('a pool that a queue has left is dropped, unless a newer version is recorded', () =>
  runCase(async (clock) => {
    const opened = openStore();
    const directory = openDirectory(opened, makeConfig(7, 'stalls'));
    await clock.tickAsync(SECOND_MS);
    directory.config.next(makeConfig(8, 'kilns'));
    await clock.tickAsync(SECOND_MS);
    assert.equal(directory.listLeftQueues('stalls'), [QUEUE]);
    assert.equal(directory.listLeftQueues('kilns'), []);
    const newer = openDirectory(opened, makeConfig(9, 'stalls'));
    await clock.tickAsync(SECOND_MS);
    void directory.removePool([QUEUE], 'stalls');
    await clock.tickAsync(SECOND_MS);
    assert.equal(newer.listFormerPools(QUEUE, 'stalls'), ['kilns']);
    void newer.removePool([QUEUE], 'kilns');
    await clock.tickAsync(SECOND_MS);
    assert.equal(newer.listFormerPools(QUEUE, 'stalls'), []);
    assert.is(opened.listRecords(HOMES).filter(({ value }) => value === undefined).length, 0);
    [newer, directory].forEach(({ stop }) => stop());
  }));

// Guards against a 410 for a job in a pool that a late answer of the store has made unknown again.
test('an answer of the store that others have overtaken takes nothing back', () =>
  runCase(async (clock) => {
    const opened = openStore();
    let heldMs = 0;
    const read: typeof opened.store.read = async (...call) => {
      const waitMs = heldMs;
      heldMs = 0;
      const answer = await opened.store.read(...call);
      await waitFor(waitMs);
      return answer;
    };
    const slow = openDirectory(
      { ...opened, store: { ...opened.store, read } },
      makeConfig(7, 'stalls'),
    );
    const other = openDirectory(opened, makeConfig(7, 'stalls'));
    await clock.tickAsync(SECOND_MS);
    other.config.next(makeConfig(8, 'kilns'));
    await clock.tickAsync(SECOND_MS);
    heldMs = 4 * SECOND_MS;
    void slow.removePool([OTHER], 'kilns');
    for (const [version, pool] of [
      [8, 'kilns'],
      [9, 'looms'],
      [10, 'ovens'],
    ] as const) {
      other.config.next(makeConfig(version, pool));
      slow.config.next(makeConfig(version, pool));
      await clock.tickAsync(SECOND_MS);
    }
    const former = ['stalls', 'kilns', 'looms'];
    assert.equal(slow.listFormerPools(QUEUE, 'ovens'), former);
    await clock.tickAsync(2 * SECOND_MS);
    assert.equal(slow.listFormerPools(QUEUE, 'ovens'), former);
    [slow, other].forEach(({ stop }) => stop());
  }));

test('a version with very many queues is recorded in parts, its mark last', () =>
  runCase(async (clock) => {
    const opened = openStore();
    const config = makeConfig(7, 'stalls');
    const routes = Array.from({ length: 2_500 }, (_, index) => ({
      ...config.routes[0]!,
      pathPrefix: `/q${index}/`,
    }));
    const directory = openDirectory(opened, { ...config, routes });
    await clock.tickAsync(SECOND_MS);
    assert.is(opened.countAppends(), 3);
    const records = opened.listRecords(HOMES);
    assert.is(
      records.findIndex(({ key }) => key === 'version'),
      records.length - 1,
    );
    const expected = { version: 7, formerPools: [] };
    assert.equal(directory.findPlacement('pule25.example/q2499/', 'stalls', 7), expected);
    directory.config.next(makeConfig(8, 'stalls'));
    await clock.tickAsync(SECOND_MS);
    const left = directory.listLeftQueues('stalls');
    assert.is(left.length, 2_500);
    void directory.removePool(left, 'stalls');
    await clock.tickAsync(SECOND_MS);
    assert.is(directory.listLeftQueues('stalls').length, 1_500);
    directory.stop();
  }));

// Guards against a job that is accepted twice: a planner's successor takes what it had closed.
test('a pool that has denied a job takes it under no older version, nor do its next planners', () =>
  runCase(async (clock) => {
    const { store } = openStore();
    const openRunner = (token: number) =>
      startPoolRunner({
        ...RUNNER_BASE,
        store,
        claim: { ...RUNNER_BASE.claim, token },
        queryPredecessor: makeStoppedQuery(token - 1),
        workers: { renew: () => NEVER } as unknown as TaskWorkers,
        entries: new BehaviorSubject<ReadonlyMap<string, WorkerEntry>>(new Map()),
      });
    const { pool } = RUNNER_BASE;
    const submit = { kind: 'submit', pool, spec: SPEC, policy: POLICY } as const;
    const lookup = { kind: 'lookup', pool, jobId: SPEC.id, queue: QUEUE, version: 8 } as const;
    const first = openRunner(1);
    await clock.tickAsync(SECOND_MS);
    const send = async (runner: typeof first, request: Parameters<typeof first.answer>[0]) => {
      const reply = runner.answer(request);
      await clock.tickAsync(SECOND_MS);
      return (await reply).kind;
    };
    assert.is(await send(first, lookup), 'no-such-job');
    const older = { ...submit, origin: { queue: QUEUE, version: 7 } };
    assert.is(await send(first, older), 'unavailable');
    first.stop();
    const second = openRunner(2);
    await clock.tickAsync(SECOND_MS);
    assert.is(await send(second, older), 'unavailable');
    assert.is(await send(second, { ...lookup, version: 7 }), 'unavailable');
    const other = { ...submit, spec: { ...SPEC, id: 'b' }, origin: { queue: OTHER, version: 7 } };
    assert.is(await send(second, other), 'accepted', 'of another queue');
    assert.is(await send(second, { ...older, origin: { queue: QUEUE, version: 9 } }), 'accepted');
    assert.is(await send(second, older), 'accepted', 'a repeat of a job that it has');
    assert.is(await send(second, { ...lookup, version: 10 }), 'accepted');
    const closed = second.closeQueues([QUEUE, 'pule25.example/none/'], 10);
    await clock.tickAsync(SECOND_MS);
    assert.equal(await closed, ['pule25.example/none/'], 'it has a job of the other queue');
    second.stop();
  }));

// Guards against an instance that is ready and refuses every submission until the next version.
test('an error while a version is recorded is logged, and the version is recorded afterwards', () =>
  runCase(async (clock) => {
    const opened = openStore();
    let isPlanted = true;
    const readNewest: typeof opened.store.readNewest = (...inputs) => {
      if (!isPlanted) return opened.store.readNewest(...inputs);
      isPlanted = false;
      throw new Error('planted');
    };
    const store = { ...opened.store, readNewest };
    const directory = openDirectory({ ...opened, store }, makeConfig(7, 'stalls'));
    await clock.tickAsync(5 * SECOND_MS);
    assert.not(isPlanted);
    assert.equal(directory.findPlacement(QUEUE, 'stalls', 7), { version: 7, formerPools: [] });
    directory.stop();
  }));

test.run();
