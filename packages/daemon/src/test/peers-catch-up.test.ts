/** Tests of followers that catch up from one another over real HTTP while the log is down. */
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
import { createOffer } from '../lib/peers/offer-records.js';
import { closeServer, openServer, waitMs } from '../lib/servers.js';
import {
  CONFIG_TEXT,
  createFakeLog,
  createLineLog,
  encodePublication,
  waitUntil,
  type FakeLog,
} from './fake-log.js';

const KEY = 'only-for-this-test-run';
const OUTAGE_MS = 700;

/** Starts a follower with its peers' server; `peers` is shared and grows by its address. */
const startNode = async (fake: FakeLog, id: string, peers: string[], isDown = false) => {
  const view = fake.openView();
  view.isDown = isDown;
  const log = createLineLog();
  const random = createRandom(peers.length + 1);
  const follower = startLogFollower(view, log, random);
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
    handleNotice: catchUp.observePeer,
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
  return { view, log, follower, catchUp, address, stop, getVersion };
};

const test = suite('catching up from peers');

test('a configuration that one entry has read reaches another that cannot read the log', async () => {
  const fake = createFakeLog();
  const peers: string[] = [];
  const one = await startNode(fake, 'one', peers);
  const two = await startNode(fake, 'two', peers);
  await waitUntil(() => one.catchUp.isCaughtUp() && two.catchUp.isCaughtUp());
  two.view.isDown = true;
  await waitUntil(() => two.follower.getReadableSince() === undefined);
  fake.texts.push(encodePublication('ada', -1));
  await waitUntil(() => one.getVersion() === 0);
  one.view.isDown = true;
  await waitUntil(() => two.getVersion() === 0);
  assert.is(two.follower.store.getState().digest, one.follower.store.getState().digest);
  await Promise.all([one.stop(), two.stop()]);
});

test('a configuration that only its operator has read reaches the entries before it is told', async () => {
  const fake = createFakeLog();
  const peers: string[] = [];
  const nodes = [await startNode(fake, 'one', peers), await startNode(fake, 'two', peers)];
  await waitUntil(() => nodes.every(({ catchUp }) => catchUp.isCaughtUp()));
  nodes.forEach(({ view }) => {
    view.isDown = true;
  });
  const operator = fake.openView();
  const publication = { text: CONFIG_TEXT, base: -1, by: 'ada' };
  const answer = await publishConfig(
    operator,
    publication,
    createOffer(KEY, () => peers),
  );
  assert.is(answer.kind, 'accepted');
  assert.equal(
    nodes.map(({ getVersion }) => getVersion()),
    [0, 0],
  );
  await Promise.all(nodes.map(({ stop }) => stop()));
});

test('a new entry serves nothing before it knows what its peers know', async () => {
  const fake = createFakeLog();
  const peers: string[] = [];
  fake.texts.push(encodePublication('ada', -1), encodePublication('bo', 0));
  const lonely = await startNode(fake, 'lonely', peers, true);
  await waitMs(OUTAGE_MS);
  assert.is(lonely.catchUp.isCaughtUp(), false);
  const old = await startNode(fake, 'old', peers);
  await waitUntil(() => old.catchUp.isCaughtUp());
  await waitUntil(() => lonely.catchUp.isCaughtUp());
  assert.is(lonely.getVersion(), 1);
  await Promise.all([lonely.stop(), old.stop()]);
});

test('an entry whose log view lags waits for the version of its peers', async () => {
  const fake = createFakeLog();
  const peers: string[] = [];
  const ahead = createFakeLog();
  ahead.texts.push(encodePublication('ada', -1), encodePublication('bo', 0));
  fake.texts.push(ahead.texts[0] ?? '');
  const old = await startNode(ahead, 'old', peers);
  await waitUntil(() => old.catchUp.isCaughtUp());
  const fresh = await startNode(fake, 'fresh', peers);
  await waitUntil(() => fresh.catchUp.isCaughtUp());
  assert.is(fresh.getVersion(), 1);
  await Promise.all([old.stop(), fresh.stop()]);
});

test('records that peers no longer hold are replaced by the whole state', async () => {
  const fake = createFakeLog();
  const peers: string[] = [];
  fake.texts.push(encodePublication('ada', -1), ...Array.from({ length: 5000 }, (_, i) => `x${i}`));
  const old = await startNode(fake, 'old', peers);
  await waitUntil(() => old.catchUp.isCaughtUp());
  const fresh = await startNode(fake, 'fresh', peers, true);
  await waitUntil(() => fresh.catchUp.isCaughtUp());
  assert.is(fresh.getVersion(), 0);
  assert.is(fresh.follower.getNext(), 5001);
  assert.ok(fresh.log.lines.some(({ event }) => event === 'state-adopted'));
  await Promise.all([old.stop(), fresh.stop()]);
});

test('a difference between two entries raises an alarm that names the first offset', async () => {
  const peers: string[] = [];
  const [one, other] = [createFakeLog(), createFakeLog()];
  [one, other].forEach(({ texts }) => texts.push(encodePublication('ada', -1), 'same'));
  one.texts.push('differs', 'later');
  other.texts.push('DIFFERS', 'later');
  const first = await startNode(one, 'first', peers);
  const second = await startNode(other, 'second', peers);
  second.view.isDown = false;
  await waitUntil(() => second.follower.getNext() === 4 && first.follower.getNext() === 4);
  first.view.isDown = true;
  const findAlarm = () => first.log.lines.find(({ event }) => event === 'digest-differs');
  await waitUntil(() => findAlarm() !== undefined);
  assert.is(findAlarm()?.firstOffset, 2);
  await Promise.all([first.stop(), second.stop()]);
});

test('racing operators with lost answers leave all followers on one chain of versions', async () => {
  const fake = createFakeLog();
  const peers: string[] = [];
  const nodes = [await startNode(fake, 'one', peers), await startNode(fake, 'two', peers)];
  await waitUntil(() => nodes.every(({ catchUp }) => catchUp.isCaughtUp()));
  for (let round = 0; round < 6; round += 1) {
    const base = fake.texts.length === 0 ? -1 : (nodes[0]?.getVersion() ?? -1);
    const answers = await Promise.all(
      ['ada', 'bo', 'cy'].map((by, index) => {
        const view = fake.openView();
        view.losesAnswers = (round + index) % 2 === 0;
        return publishConfig(view, { text: CONFIG_TEXT, base, by: `${by}-${round}` });
      }),
    );
    const accepted = answers.flatMap((answer) =>
      answer.kind === 'accepted' ? [answer.offset] : [],
    );
    assert.is(accepted.length, 1);
    assert.is(answers.filter(({ kind }) => kind === 'superseded').length, 2);
    await waitUntil(() => nodes.every(({ getVersion }) => getVersion() === accepted[0]));
  }
  const [one, two] = nodes.map(({ follower }) => follower.store.getState());
  assert.is(one?.digest, two?.digest);
  await Promise.all(nodes.map(({ stop }) => stop()));
});

test('an entry that was away beyond retention goes on from a snapshot', async () => {
  const fake = createFakeLog();
  const peers: string[] = [];
  fake.texts.push(encodePublication('ada', -1));
  const node = await startNode(fake, 'one', peers);
  await waitUntil(() => node.getVersion() === 0);
  node.view.isDown = true;
  await waitUntil(() => node.follower.getReadableSince() === undefined);
  fake.texts.push(encodePublication('bo', 0), 'noise');
  const state = fake.texts
    .map((text, offset) => ({ text, offset }))
    .reduce(foldFleet, createFleetState());
  fake.first = fake.texts.length;
  fake.texts.push('noise');
  node.view.isDown = false;
  await waitUntil(() =>
    node.log.lines.some(({ message }) => /no complete snapshot/.test(`${message}`)),
  );
  assert.is(node.getVersion(), 0);
  const head = { version: 1, id: 'snap', by: 'entry-9', at: 0 } as const;
  fake.texts.push(...buildSnapshot(state, head).map(encodeRecord));
  await waitUntil(() => node.getVersion() === 1);
  assert.is(node.follower.getNext(), fake.texts.length);
  await node.stop();
});

test('a call without the key is refused and told what to send', async () => {
  const peers: string[] = [];
  const node = await startNode(createFakeLog(), 'one', peers);
  const status = await createCatchUpClient('another-key-altogether').fetchStatus(node.address);
  assert.match(status.unwrapErr().message, 'send the key of the settings file');
  await node.stop();
});

test.run();
