/** Tests of which connections are closed when callers hold more than a process can bear. */
import { createServer, type ServerResponse } from 'node:http';
import { connect, type Socket } from 'node:net';
import * as assert from 'uvu/assert';
import { suite } from 'uvu';
import {
  computeCallerLimits,
  isClosedByLimit,
  type ClosedConnection,
} from '../lib/connection-limits.js';
import { closeServer, openServer } from '../lib/servers.js';

const test = suite('connection limits');
const CALL = 'GET / HTTP/1.1\r\nHost: a\r\n\r\n';
const POLL_MS = 5;
const LIMIT_MS = 5_000;

const waitUntil = async (isMet: () => boolean) => {
  const fromMs = performance.now();
  while (!isMet() && performance.now() - fromMs < LIMIT_MS) {
    await new Promise((resolve) => {
      setTimeout(resolve, POLL_MS);
    });
  }
  assert.ok(isMet());
};

/** Opens a server that answers nothing by itself, and runs a test with connections to it. */
const runScene = async (
  limits: { readonly maxConnections: number; readonly maxOpenRequests: number },
  run: (scene: {
    readonly open: (text: string) => Socket;
    readonly responses: ServerResponse[];
    readonly closed: ClosedConnection[];
    readonly sockets: Socket[];
  }) => Promise<void>,
) => {
  const responses: ServerResponse[] = [];
  const closed: ClosedConnection[] = [];
  const accepted: Socket[] = [];
  const server = createServer((_, response) => responses.push(response));
  server.on('connection', (socket: Socket) => accepted.push(socket));
  const handleClosed = (connection: ClosedConnection) => void closed.push(connection);
  const address = await openServer(server, '127.0.0.1:0', { ...limits, handleClosed });
  const own: Socket[] = [];
  const open = (text: string) => {
    const socket = connect(Number(address.split(':')[1]), '127.0.0.1');
    socket.on('error', () => {}).write(text);
    own.push(socket);
    return socket;
  };
  try {
    await run({ open, responses, closed, sockets: accepted });
  } finally {
    own.forEach((socket) => socket.destroy());
    await closeServer(server, 0);
  }
};

// Guards against an ordinary caller that is turned away as others hold all connections.
test('beyond the limit of connections the one with most of a request closes, not the next', () =>
  runScene(
    { maxConnections: 2, maxOpenRequests: 100 },
    async ({ open, responses, closed, sockets }) => {
      const small = open('GET / HTTP/1.1\r\n');
      await waitUntil(() => sockets.length === 1);
      const large = open(`GET / HTTP/1.1\r\nX: ${'a'.repeat(5_000)}`);
      await waitUntil(() => (sockets[1]?.bytesRead ?? 0) > 5_000);
      open(CALL);
      await waitUntil(() => large.closed && responses.length === 1);
      assert.not(small.closed);
      assert.equal(closed, [{ why: 'connections', openRequests: 0 }]);
      assert.ok(isClosedByLimit(sockets[1]!));
    },
  ));

// Guards against a process that runs out of memory by requests whose answers nobody reads.
test('beyond the limit of open requests the connection with most of them closes', () =>
  runScene(
    { maxConnections: 10, maxOpenRequests: 6 },
    async ({ open, responses, closed, sockets }) => {
      const few = open(CALL.repeat(2));
      await waitUntil(() => responses.length === 2);
      const many = open(CALL.repeat(4));
      await waitUntil(() => responses.length === 6);
      open(CALL);
      await waitUntil(() => many.closed && responses.length === 7);
      assert.not(few.closed);
      assert.equal(closed, [{ why: 'requests', openRequests: 4 }]);
      assert.not(isClosedByLimit(sockets[0]!));
    },
  ));

test('answered requests do not count', () =>
  runScene({ maxConnections: 10, maxOpenRequests: 2 }, async ({ open, responses, closed }) => {
    for (let count = 1; count <= 5; count += 1) {
      const socket = open(CALL);
      await waitUntil(() => responses.length === count);
      responses.at(-1)!.end('ok');
      await new Promise((resolve) => {
        socket.once('data', resolve);
      });
    }
    assert.equal(closed, []);
  }));

test('most of the descriptors are for callers, and some for files and other calls', () => {
  const { maxConnections } = computeCallerLimits(4_100);
  assert.is(maxConnections, 2_925);
});

test.run();
