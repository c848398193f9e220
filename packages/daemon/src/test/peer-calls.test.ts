/** Calls between instances: malformed bodies and handlers that fail end no process. */
import { createServer, request as requestHttp, type Server } from 'node:http';
import type { AddressInfo } from 'node:net';
import * as assert from 'uvu/assert';
import { suite } from 'uvu';
import type { Member } from 'vanilladock/lib/duties/claim-table.js';
import { isJobRequest } from '../lib/jobs/peer-messages.js';
import { POLICY, POOL, SILENT_LOG, SPEC } from './job-fixtures.js';
import type { LogFields } from '../lib/json-log.js';
import type { JobRequest } from '../lib/jobs/job-request.js';
import { createPeerClient, servePeers } from '../lib/jobs/peers.js';
import { openServer } from '../lib/servers.js';

const test = suite('peer calls');

const ADVICE = { decideMs: 1, perWorkerMs: 1, validMs: 1 };
const REQUEST: JobRequest = { kind: 'status', pool: 'stalls', jobId: 'a' };
const NOTICE = { member: makeMember('127.0.0.1:1'), storeAgeMs: 0, held: [] };

function makeMember(address: string): Member {
  return { id: 'b~1', name: 'b', address, cores: 1 };
}

const getAddress = (server: Server) => `127.0.0.1:${(server.address() as AddressInfo).port}`;

/** Sends a body to a path of the server; resolves to the status. */
const sendBody = (server: Server, path: string, body: string) =>
  new Promise<number>((resolve, reject) => {
    const { port } = server.address() as AddressInfo;
    const call = requestHttp({ host: '127.0.0.1', port, path, method: 'POST' }, (response) => {
      response.resume();
      response.once('end', () => resolve(response.statusCode ?? 0));
    });
    call.once('error', reject);
    call.end(body);
  });

const openPeer = async () => {
  const events: LogFields[] = [];
  const record = (fields: LogFields) => void events.push(fields);
  const server = createServer();
  servePeers(server, {
    answer: (request) =>
      request.kind === 'status'
        ? Promise.resolve({ kind: 'state', state: 'queued' })
        : Promise.reject(new Error('planted')),
    answerNotice: () => {
      throw new Error('planted');
    },
    log: { info: record, warn: record, error: record },
  });
  await openServer(server, '127.0.0.1:0');
  return { server, events };
};

const closePeer = (server: Server) => {
  server.close();
  server.closeAllConnections();
};

test('a malformed call of a peer does not end the process', async () => {
  const { server, events } = await openPeer();
  assert.is(await sendBody(server, '/jobs', '{"kind":'), 400);
  assert.is(await sendBody(server, '/jobs', 'null'), 400);
  assert.is(await sendBody(server, '/duties', ''), 400);
  assert.is(await sendBody(server, '/jobs', JSON.stringify(REQUEST)), 200);
  assert.equal(
    events.map(({ event }) => event),
    ['peer-call-malformed', 'peer-call-malformed', 'peer-call-malformed'],
  );
  closePeer(server);
});

test('a body that is no message of a peer reaches no handler', async () => {
  const { server, events } = await openPeer();
  const bodies: readonly (readonly [string, unknown])[] = [
    ['/jobs', { kind: 'halt', pool: 'stalls' }],
    ['/jobs', { ...REQUEST, jobId: 7 }],
    ['/jobs', { ...REQUEST, kind: 'submit', spec: { id: 'a' }, policy: {} }],
    ['/jobs', [REQUEST]],
    ['/duties', { ...NOTICE, member: { id: 'b~1' } }],
    ['/duties', { ...NOTICE, held: [{ duty: 'fleet' }] }],
    ['/duties', REQUEST],
  ];
  for (const [path, body] of bodies) {
    assert.is(await sendBody(server, path, JSON.stringify(body)), 400, JSON.stringify(body));
  }
  assert.ok(events.every(({ event }) => event === 'peer-call-malformed'));
  closePeer(server);
});

const RECEIPT = { instance: 'b~1', receivedAtMs: 1 };

test('every kind of request that this instance sends is a message of a peer', () => {
  const size = { cores: 1, memoryMb: 1, accelerators: 0 };
  const share = { allotment: size, limit: size, otherJobsPerSecond: 1 };
  const worker = { pool: POOL, workerId: 'w1' };
  const requests: readonly JobRequest[] = [
    REQUEST,
    { kind: 'submit', pool: POOL, spec: SPEC, policy: POLICY, team: 'crew' },
    { kind: 'submit', pool: POOL, spec: SPEC, policy: { ...POLICY, advice: ADVICE } },
    { kind: 'cancel', pool: POOL, jobId: 'a', team: undefined, receipt: RECEIPT },
    { kind: 'cancel', pool: POOL, jobId: 'a', origin: { queue: 'q', version: 1 } },
    { kind: 'cancel', pool: POOL, jobId: 'a', isFormerPool: true },
    { kind: 'submit', pool: POOL, spec: SPEC, policy: POLICY, receipt: RECEIPT },
    { kind: 'pending', pool: POOL, route: 'r' },
    { kind: 'evacuate', ...worker },
    { kind: 'demand', pool: POOL, reachableCores: 0 },
    { kind: 'allot', pool: POOL, message: { token: 1, sequence: 0, shares: { crew: share } } },
    { kind: 'life-ended', ...worker },
  ];
  requests.forEach((request) => {
    assert.ok(isJobRequest(JSON.parse(JSON.stringify(request))), request.kind);
  });
});

test('a handler that fails ends neither the process nor leaves its caller without an answer', async () => {
  const { server, events } = await openPeer();
  const cancel = JSON.stringify({ kind: 'cancel', pool: 'stalls', jobId: 'a' });
  assert.is(await sendBody(server, '/jobs', cancel), 500);
  assert.is(await sendBody(server, '/duties', JSON.stringify(NOTICE)), 500);
  assert.equal(
    events.map(({ event, path }) => [event, path]),
    [
      ['peer-call-failed', '/jobs'],
      ['peer-call-failed', '/duties'],
    ],
  );
  closePeer(server);
});

test('an answer of a peer that is not JSON counts as none', async () => {
  const server = createServer((_request, response) => response.end('<html>'));
  await new Promise<void>((resolve) => {
    server.listen(0, '127.0.0.1', resolve);
  });
  const peers = createPeerClient(SILENT_LOG);
  const peer = makeMember(getAddress(server));
  assert.equal(await peers.sendNotice(peer, NOTICE), { kind: 'silent' });
  assert.equal(await peers.send(peer, REQUEST, 500), { kind: 'unknown', why: 'peer-malformed' });
  peers.close();
  closePeer(server);
});

test.run();
