/**
 * Tests of the exchange among entries: discovery, demand, leaving, loss, invalid datagrams,
 * restart.
 */
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

const startExchange = async (id: string, addresses: string[], demand: Demand, key = KEY) => {
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

const makeDemand = (pickups: number, perSecond: number): Demand => ({
  services: new Map([['pickups', pickups]]),
  teams: new Map([['restaurants', perSecond]]),
});

const stopAll = (all: readonly PeerExchange[]) => Promise.all(all.map(({ stop }) => stop()));

const test = suite('peer exchange');

test('entries discover one another, exchange demand, and detect leaving and lost peers', async () => {
  const addresses: string[] = [];
  const a = await startExchange('a', addresses, makeDemand(5, 100));
  const b = await startExchange('b', addresses, makeDemand(2, 10));
  const c = await startExchange('c', addresses, makeDemand(0, 0));
  await waitUntil(() => (c.sumTeamDemand(TEAMS).get('restaurants') ?? 0) > 105);
  const livePeers = c.listLivePeers();
  assert.equal(
    livePeers.map(({ id, appliedOffset, demand }) => [id, appliedOffset, demand.get('pickups')]),
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

test('forged, malformed and replayed datagrams are counted and have no effect', async () => {
  const addresses: string[] = [];
  const a = await startExchange('a', addresses, makeDemand(1, 1));
  const receivedDatagrams: Buffer[] = [];
  const peerSocket = createSocket('udp4');
  await new Promise<void>((resolve) => {
    peerSocket.bind(0, '127.0.0.1', resolve);
  });
  peerSocket.on('message', (datagram) => receivedDatagrams.push(datagram));
  addresses.push(`127.0.0.1:${peerSocket.address().port}`);
  await waitUntil(() => receivedDatagrams.length > 0);
  const port = Number(a.address.split(':')[1]);
  const codec = createPeerCodec(KEY);
  const forger = createPeerCodec('another-key-altogether');
  const epoch = codec.decode(receivedDatagrams[0] ?? Buffer.alloc(0))?.heartbeat.epoch ?? 0;
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
  peerSocket.send(forger.encode(heartbeat, []), port, '127.0.0.1');
  peerSocket.send(Buffer.from('not a datagram of ours'), port, '127.0.0.1');
  await waitUntil(() => a.getTraffic().refused === 2);
  assert.is(a.listLivePeers().length, 0);
  const genuine = codec.encode(heartbeat, []);
  peerSocket.send(genuine, port, '127.0.0.1');
  await waitUntil(() => a.listLivePeers().length === 1);
  peerSocket.send(genuine, port, '127.0.0.1');
  await waitUntil(() => a.getTraffic().refused === 3);
  const tampered = Buffer.from(genuine);
  tampered[3] = (tampered[3] ?? 0) ^ 1;
  peerSocket.send(tampered, port, '127.0.0.1');
  await waitUntil(() => a.getTraffic().refused === 4);
  peerSocket.close();
  await a.stop();
});

test('a restarted peer is accepted after it has learned the epoch of this entry', async () => {
  const addresses: string[] = [];
  const a = await startExchange('a', addresses, makeDemand(1, 1));
  const b = await startExchange('b', addresses, makeDemand(1, 1));
  await waitUntil(() => a.listLivePeers().length === 1);
  const firstEpoch = a.listLivePeers()[0]?.epoch;
  await b.stop();
  const restarted = await startExchange('b', addresses, makeDemand(3, 1));
  await waitUntil(
    () => a.listLivePeers()[0]?.epoch !== firstEpoch && a.listLivePeers().length === 1,
  );
  assert.is(a.listLivePeers()[0]?.demand.get('pickups'), 3);
  await stopAll([a, restarted]);
});

test.run();
