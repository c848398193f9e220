/**
 * Tests of the duties runner: competing entries, lost answers, outages, snapshots and batched
 * appends.
 */
import { createRandom, findSnapshot } from 'vanilladock';
import * as assert from 'uvu/assert';
import { suite } from 'uvu';
import { startDutiesRunner } from '../lib/duties-runner.js';
import { startSnapshotWriter } from '../lib/duties-snapshots.js';
import { createLogAppender } from '../lib/log-appender.js';
import { startLogFollower } from '../lib/log-follower.js';
import {
  createFakeLog,
  createRecordingLog,
  encodePublication,
  waitUntil,
  type FakeLog,
} from './fake-log.js';

const DUTY = 'pool:counter';
const LEASE_MS = 1_500;

const startNode = (fake: FakeLog, id: string, ids: readonly string[]) => {
  const client = fake.openClient();
  const log = createRecordingLog();
  const random = createRandom(id.length);
  const follower = startLogFollower(client, log, random);
  const appender = createLogAppender(client, random);
  const duties = startDutiesRunner({
    id,
    listDuties: () => [DUTY],
    listLiveEntries: () => ids,
    follower,
    appender,
    log,
    leaseMs: LEASE_MS,
  });
  const isHolding = () => duties.getFence(DUTY) !== undefined;
  const stop = async () => {
    await duties.stop();
    appender.stop();
    follower.stop();
  };
  return { client, log, follower, appender, duties, isHolding, stop };
};

const test = suite('duties runner');

test('one of two entries holds the duty and the other claims it when the first stops', async () => {
  const fake = createFakeLog();
  const ids = ['entry-1', 'entry-2'];
  const nodes = ids.map((id) => startNode(fake, id, ids));
  await waitUntil(() => nodes.some(({ isHolding }) => isHolding()));
  assert.is(nodes.filter(({ isHolding }) => isHolding()).length, 1);
  const holder = nodes.find(({ isHolding }) => isHolding());
  const other = nodes.find((node) => node !== holder);
  await holder?.stop();
  assert.is(holder?.isHolding(), false);
  await waitUntil(() => other?.isHolding() === true);
  await other?.stop();
});

test('a claim whose answer is lost takes effect once it is read back', async () => {
  const fake = createFakeLog();
  const node = startNode(fake, 'entry-1', ['entry-1']);
  node.client.losesAnswers = true;
  await waitUntil(node.isHolding);
  assert.is(
    node.duties.getFence(DUTY),
    node.follower.store.getState().duties.claims.get(DUTY)?.offset,
  );
  await node.stop();
});

test('in a log outage the lease ends by the local clock, and the duty is claimed again later', async () => {
  const fake = createFakeLog();
  const node = startNode(fake, 'entry-1', ['entry-1']);
  await waitUntil(node.isHolding);
  const fenceBefore = node.duties.getFence(DUTY) ?? 0;
  node.client.isDown = true;
  await waitUntil(() => !node.isHolding());
  node.client.isDown = false;
  await waitUntil(node.isHolding);
  assert.ok((node.duties.getFence(DUTY) ?? 0) > fenceBefore);
  await node.stop();
});

test('the holder writes a snapshot before the log drops the newest one', async () => {
  const fake = createFakeLog();
  const node = startNode(fake, 'entry-1', ['entry-1']);
  fake.texts.push(encodePublication('ada', -1));
  const writer = startSnapshotWriter({
    id: 'entry-1',
    follower: node.follower,
    appender: node.appender,
    isHolder: node.isHolding,
    log: node.log,
    policy: { maxAgeMs: 3_600_000, minAgeMs: 100, maxRecords: 1_000_000 },
  });
  const listStored = () => fake.texts.map((text, offset) => ({ text, offset })).slice(fake.first);
  await waitUntil(() => findSnapshot(listStored()) !== undefined);
  const first = findSnapshot(listStored())?.offset ?? 0;
  fake.texts.push(...Array.from({ length: 20 }, () => 'noise'));
  fake.first = first;
  await waitUntil(() => (findSnapshot(listStored())?.offset ?? 0) > first);
  writer.stop();
  await node.stop();
});

test('many small appends share one call, and unsent records are refused at the stop', async () => {
  const fake = createFakeLog();
  const client = fake.openClient();
  const appender = createLogAppender(client, createRandom(1));
  const head = { version: 1, by: 'entry-1', at: 0 } as const;
  const claims = Array.from({ length: 200 }, (_, index) => ({
    ...head,
    kind: 'duty.claim' as const,
    id: `c${index}`,
    duty: DUTY,
    follows: -1,
    leaseMs: LEASE_MS,
  }));
  const results = await Promise.all(claims.map((claim) => appender.append([claim])));
  assert.equal(
    results.map((result) => result.unwrap()),
    claims.map((_, index) => index),
  );
  assert.is(appender.countAppends(), 1);
  const pending = appender.append(claims.slice(0, 1));
  appender.stop();
  assert.is((await pending).unwrapErr().kind, 'refused');
});

test.run();
