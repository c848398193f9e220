/** Tests of the exchange among entries: joining, silence, forged and replayed datagrams, quotas. */
import { createSocket } from 'node:dgram';
import { createRandom, type Demand } from 'vanilladock';
import * as assert from 'uvu/assert';
import { suite } from 'uvu';
import { createJsonLog } from '../../lib/json-log.js';
import { createPeerCodec } from '../../lib/peers/peer-exchange-codec.js';
import { startPeerExchange, type PeerExchange } from '../../lib/peers/peer-exchange.js';

const KEY = 'only-for-this-test-run';
const POLL_MS = 20;
const TEAMS = ['fishmongers', 'restaurants'];

const log = createJsonLog({ id: 'test', logLevel: 'silent' });

const waitUntil = async (isDone: () => boolean) => {
  while (!isDone()) {
    await new Promise((resolve) => {
      setTimeout(resolve, POLL_MS);
    });
  }
};

const startOne = async (id: string, addresses: string[], demand: Demand, key = KEY) => {
  const exchange = await startPeerExchange({
    id,
    key,
    listen: '127.0.0.1:0',
    random: createRandom(id.length),
    log,
    listAddresses: () => addresses,
    getDemand: () => demand,
    getApplied: () => ({ offset: 41, digest: 7 }),
    handleExchange: () => {},
  });
  exchange.setServices(['prices', 'pickups']);
  addresses.push(exchange.address);
  return exchange;
};

const makeDemand = (running: number, perSecond: number): Demand => ({
  services: new Map([['pickups', running]]),
  teams: new Map([['restaurants', perSecond]]),
});

const stopAll = (all: readonly PeerExchange[]) => Promise.all(all.map(({ stop }) => stop()));

const test = suite('peer exchange');

test('entries hear of one another, of demand by service and team, and of leaving and silence', async () => {
  const addresses: string[] = [];
  const a = await startOne('a', addresses, makeDemand(5, 100));
  const b = await startOne('b', addresses, makeDemand(2, 10));
  const c = await startOne('c', addresses, makeDemand(0, 0));
  await waitUntil(() => (c.sumTeamDemand(TEAMS).get('restaurants') ?? 0) > 105);
  const heard = c.listLivePeers();
  assert.equal(
    heard.map(({ id, appliedOffset, demand }) => [id, appliedOffset, demand.get('pickups')]),
    [
      ['a', 41, 5],
      ['b', 41, 2],
    ],
  );
  assert.ok(Math.abs((c.sumTeamDemand(TEAMS).get('restaurants') ?? 0) - 110) < 11);
  b.leave();
  await waitUntil(() => c.listLivePeers().some(({ id, isLeaving }) => id === 'b' && isLeaving));
  await b.stop();
  await waitUntil(() => c.listLivePeers().length === 1);
  assert.is(c.listSharers().length, 1);
  await stopAll([a, c]);
});

test('forged, malformed and replayed datagrams change nothing', async () => {
  const addresses: string[] = [];
  const a = await startOne('a', addresses, makeDemand(1, 1));
  const captured: Buffer[] = [];
  const tap = createSocket('udp4');
  await new Promise<void>((resolve) => {
    tap.bind(0, '127.0.0.1', resolve);
  });
  tap.on('message', (datagram) => captured.push(datagram));
  addresses.push(`127.0.0.1:${tap.address().port}`);
  await waitUntil(() => captured.length > 0);
  const port = Number(a.address.split(':')[1]);
  const codec = createPeerCodec(KEY);
  const forger = createPeerCodec('another-key-altogether');
  const epoch = codec.decode(captured[0] ?? Buffer.alloc(0))?.heartbeat.epoch ?? 0;
  const heartbeat = {
    id: 'x',
    epoch: 9,
    receiverEpoch: epoch,
    sequence: 1,
    isLeaving: false,
    appliedOffset: 0,
    digest: 0,
    demand: new Map<string, number>(),
  };
  tap.send(forger.encode(heartbeat, []), port, '127.0.0.1');
  tap.send(Buffer.from('not a datagram of ours'), port, '127.0.0.1');
  await waitUntil(() => a.getTraffic().refused === 2);
  assert.is(a.listLivePeers().length, 0);
  const genuine = codec.encode(heartbeat, []);
  tap.send(genuine, port, '127.0.0.1');
  await waitUntil(() => a.listLivePeers().length === 1);
  tap.send(genuine, port, '127.0.0.1');
  await waitUntil(() => a.getTraffic().refused === 3);
  const cut = Buffer.from(genuine);
  cut[3] = (cut[3] ?? 0) ^ 1;
  tap.send(cut, port, '127.0.0.1');
  await waitUntil(() => a.getTraffic().refused === 4);
  tap.close();
  await a.stop();
});

test('a new start of a peer is taken after it has learned of this start', async () => {
  const addresses: string[] = [];
  const a = await startOne('a', addresses, makeDemand(1, 1));
  const b = await startOne('b', addresses, makeDemand(1, 1));
  await waitUntil(() => a.listLivePeers().length === 1);
  const before = a.listLivePeers()[0]?.epoch;
  await b.stop();
  const again = await startOne('b', addresses, makeDemand(3, 1));
  await waitUntil(() => a.listLivePeers()[0]?.epoch !== before && a.listLivePeers().length === 1);
  assert.is(a.listLivePeers()[0]?.demand.get('pickups'), 3);
  await stopAll([a, again]);
});

test.run();
