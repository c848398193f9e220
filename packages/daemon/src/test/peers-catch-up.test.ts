/** Tests of entries that catch up from one another over real HTTP while the log is unavailable. */
import {
  buildSnapshot,
  createFleetState,
  createRandom,
  encodeRecord,
  foldFleet,
} from 'vanilladock';
import * as assert from 'uvu/assert';
import { suite } from 'uvu';
import { publishConfig } from '../lib/cli/publish.js';
import { startLogFollower } from '../lib/log-follower.js';
import { startCatchUp } from '../lib/peers/catch-up.js';
import { createCatchUpClient } from '../lib/peers/catch-up-client.js';
import { createCatchUpServer } from '../lib/peers/catch-up-server.js';
import { createRecordOffer } from '../lib/peers/offer-records.js';
import { closeServer, openServer, waitMs } from '../lib/servers.js';
import {
  CONFIG_TEXT,
  createFakeLog,
  createRecordingLog,
  encodePublication,
  waitUntil,
  type FakeLog,
} from './fake-log.js';

const KEY = 'only-for-this-test-run';
const OUTAGE_MS = 700;

/** Starts a log follower with its catch-up server, and adds its address to the shared `peers`. */
const startNode = async (fake: FakeLog, id: string, peers: string[], isDown = false) => {
  const client = fake.openClient();
  client.isDown = isDown;
  const log = createRecordingLog();
  const random = createRandom(peers.length + 1);
  const follower = startLogFollower(client, log, random);
  let address = '';
  const catchUp = startCatchUp({
    follower,
    client: createCatchUpClient(KEY),
    listPeers: () => peers,
    getAddress: () => address,
    random,
    log,
  });
  const server = createCatchUpServer({
    id,
    key: KEY,
    store: follower.store,
    isCaughtUp: catchUp.isCaughtUp,
    handleNotice: catchUp.handleNotice,
    countWork: () => 0,
  });
  address = await openServer(server, '127.0.0.1:0');
  peers.push(address);
  const stop = async () => {
    catchUp.stop();
    follower.stop();
    await closeServer(server, 0);
  };
  const getVersion = () => follower.getConfig().version;
  return { client, log, follower, catchUp, address, stop, getVersion };
};

const test = suite('catching up from peers');

test('a configuration that one entry has read reaches another that cannot read the log', async () => {
  const fake = createFakeLog();
  const peers: string[] = [];
  const reader = await startNode(fake, 'one', peers);
  const other = await startNode(fake, 'two', peers);
  await waitUntil(() => reader.catchUp.isCaughtUp() && other.catchUp.isCaughtUp());
  other.client.isDown = true;
  await waitUntil(() => other.follower.getReadableSince() === undefined);
  fake.texts.push(encodePublication('ada', -1));
  await waitUntil(() => reader.getVersion() === 0);
  reader.client.isDown = true;
  await waitUntil(() => other.getVersion() === 0);
  assert.is(other.follower.store.getState().digest, reader.follower.store.getState().digest);
  await Promise.all([reader.stop(), other.stop()]);
});

test('a configuration that only its operator has read reaches the entries before it is reported', async () => {
  const fake = createFakeLog();
  const peers: string[] = [];
  const nodes = [await startNode(fake, 'one', peers), await startNode(fake, 'two', peers)];
  await waitUntil(() => nodes.every(({ catchUp }) => catchUp.isCaughtUp()));
  nodes.forEach(({ client }) => {
    client.isDown = true;
  });
  const operator = fake.openClient();
  const publication = { text: CONFIG_TEXT, base: -1, by: 'ada' };
  const answer = await publishConfig(
    operator,
    publication,
    createRecordOffer(KEY, () => peers),
  );
  assert.is(answer.kind, 'accepted');
  assert.equal(
    nodes.map(({ getVersion }) => getVersion()),
    [0, 0],
  );
  await Promise.all(nodes.map(({ stop }) => stop()));
});

test('a new entry does not serve before it has the configuration of its peers', async () => {
  const fake = createFakeLog();
  const peers: string[] = [];
  fake.texts.push(encodePublication('ada', -1), encodePublication('bo', 0));
  const isolated = await startNode(fake, 'lonely', peers, true);
  await waitMs(OUTAGE_MS);
  assert.is(isolated.catchUp.isCaughtUp(), false);
  const old = await startNode(fake, 'old', peers);
  await waitUntil(() => old.catchUp.isCaughtUp());
  await waitUntil(() => isolated.catchUp.isCaughtUp());
  assert.is(isolated.getVersion(), 1);
  await Promise.all([isolated.stop(), old.stop()]);
});

test('an entry with a lagging view of the log waits for the version of its peers', async () => {
  const fake = createFakeLog();
  const peers: string[] = [];
  const newerLog = createFakeLog();
  newerLog.texts.push(encodePublication('ada', -1), encodePublication('bo', 0));
  fake.texts.push(newerLog.texts[0] ?? '');
  const old = await startNode(newerLog, 'old', peers);
  await waitUntil(() => old.catchUp.isCaughtUp());
  const fresh = await startNode(fake, 'fresh', peers);
  await waitUntil(() => fresh.catchUp.isCaughtUp());
  assert.is(fresh.getVersion(), 1);
  await Promise.all([old.stop(), fresh.stop()]);
});

test('the whole state replaces records that peers no longer retain', async () => {
  const fake = createFakeLog();
  const peers: string[] = [];
  fake.texts.push(encodePublication('ada', -1), ...Array.from({ length: 5000 }, (_, i) => `x${i}`));
  const old = await startNode(fake, 'old', peers);
  await waitUntil(() => old.catchUp.isCaughtUp());
  const fresh = await startNode(fake, 'fresh', peers, true);
  await waitUntil(() => fresh.catchUp.isCaughtUp());
  assert.is(fresh.getVersion(), 0);
  assert.is(fresh.follower.getNextOffset(), 5001);
  assert.ok(fresh.log.lines.some(({ event }) => event === 'state-adopted'));
  await Promise.all([old.stop(), fresh.stop()]);
});

test('a difference between two entries is logged with its first offset', async () => {
  const peers: string[] = [];
  const [firstLog, secondLog] = [createFakeLog(), createFakeLog()];
  [firstLog, secondLog].forEach(({ texts }) => texts.push(encodePublication('ada', -1), 'same'));
  firstLog.texts.push('differs', 'later');
  secondLog.texts.push('DIFFERS', 'later');
  const first = await startNode(firstLog, 'first', peers);
  const second = await startNode(secondLog, 'second', peers);
  second.client.isDown = false;
  await waitUntil(
    () => second.follower.getNextOffset() === 4 && first.follower.getNextOffset() === 4,
  );
  first.client.isDown = true;
  const findDifferenceLine = () => first.log.lines.find(({ event }) => event === 'digest-differs');
  await waitUntil(() => findDifferenceLine() !== undefined);
  assert.is(findDifferenceLine()?.firstOffset, 2);
  await Promise.all([first.stop(), second.stop()]);
});

test('all followers agree on the versions when operators race and responses are lost', async () => {
  const fake = createFakeLog();
  const peers: string[] = [];
  const nodes = [await startNode(fake, 'one', peers), await startNode(fake, 'two', peers)];
  await waitUntil(() => nodes.every(({ catchUp }) => catchUp.isCaughtUp()));
  for (let round = 0; round < 6; round += 1) {
    const base = fake.texts.length === 0 ? -1 : (nodes[0]?.getVersion() ?? -1);
    const answers = await Promise.all(
      ['ada', 'bo', 'cy'].map((by, index) => {
        const client = fake.openClient();
        client.losesAnswers = (round + index) % 2 === 0;
        return publishConfig(client, { text: CONFIG_TEXT, base, by: `${by}-${round}` });
      }),
    );
    const accepted = answers.flatMap((answer) =>
      answer.kind === 'accepted' ? [answer.offset] : [],
    );
    assert.is(accepted.length, 1);
    assert.is(answers.filter(({ kind }) => kind === 'superseded').length, 2);
    await waitUntil(() => nodes.every(({ getVersion }) => getVersion() === accepted[0]));
  }
  const [first, second] = nodes.map(({ follower }) => follower.store.getState());
  assert.is(first?.digest, second?.digest);
  await Promise.all(nodes.map(({ stop }) => stop()));
});

test('an entry that was disconnected beyond retention continues from a snapshot', async () => {
  const fake = createFakeLog();
  const peers: string[] = [];
  fake.texts.push(encodePublication('ada', -1));
  const node = await startNode(fake, 'one', peers);
  await waitUntil(() => node.getVersion() === 0);
  node.client.isDown = true;
  await waitUntil(() => node.follower.getReadableSince() === undefined);
  fake.texts.push(encodePublication('bo', 0), 'noise');
  const state = fake.texts
    .map((text, offset) => ({ text, offset }))
    .reduce(foldFleet, createFleetState());
  fake.first = fake.texts.length;
  fake.texts.push('noise');
  node.client.isDown = false;
  await waitUntil(() =>
    node.log.lines.some(({ message }) => /no complete snapshot/.test(`${message}`)),
  );
  assert.is(node.getVersion(), 0);
  const head = { version: 1, id: 'snap', by: 'entry-9', at: 0 } as const;
  fake.texts.push(...buildSnapshot(state, head).map(encodeRecord));
  await waitUntil(() => node.getVersion() === 1);
  assert.is(node.follower.getNextOffset(), fake.texts.length);
  await node.stop();
});

test('a call with a wrong key is rejected with a message that says what to send', async () => {
  const peers: string[] = [];
  const node = await startNode(createFakeLog(), 'one', peers);
  const status = await createCatchUpClient('another-key-altogether').fetchStatus(node.address);
  assert.match(status.unwrapErr().message, 'send the key of the settings file');
  await node.stop();
});

test.run();
