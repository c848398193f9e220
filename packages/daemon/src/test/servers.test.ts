/** Tests of opening and closing servers: requests in progress, the drain limit, a port in use. */
import { once } from 'node:events';
import { createServer, type ServerResponse } from 'node:http';
import { connect, type Socket } from 'node:net';
import * as assert from 'uvu/assert';
import { suite } from 'uvu';
import { closeServer, openServer, waitMs } from '../lib/servers.js';
import { sendCall } from './routing-harness.js';

const test = suite('life');

test('closing waits for a request in progress and accepts no new one', async () => {
  const server = createServer((_request, response) => {
    setTimeout(() => response.end('whole'), 150);
  });
  const address = await openServer(server, '127.0.0.1:0');
  const pending = sendCall(address, { id: 'last' });
  await new Promise((resolve) => {
    setTimeout(resolve, 50);
  });
  const closed = closeServer(server, 5_000);
  const late = await sendCall(address, { id: 'late' });
  assert.is(late.status, 0);
  assert.is((await pending).body, 'whole');
  await closed;
});

test('a request longer than the drain limit is aborted at the limit', async () => {
  const server = createServer(() => {});
  const address = await openServer(server, '127.0.0.1:0');
  const pending = sendCall(address, { id: 'stuck' });
  await new Promise((resolve) => {
    setTimeout(resolve, 50);
  });
  await closeServer(server, 100);
  assert.is((await pending).status, 0);
});

/** Longer than what the sockets of both sides hold, in bytes. */
const LONG_ANSWER_BYTES = 32_000_000;
const HEAD = 'GET / HTTP/1.1\r\nHost: x\r\n';

/** Connects, and reads nothing until the socket is resumed. */
const openPaused = async (address: string): Promise<Socket> => {
  const [host = '', port] = address.split(':');
  const socket = connect({ host, port: Number(port) });
  socket.on('error', () => {});
  socket.pause();
  await once(socket, 'connect');
  return socket;
};

/** Reads a socket to its end and resolves to the number of bytes. */
const readToEnd = async (socket: Socket): Promise<number> => {
  let bytes = 0;
  socket.on('data', (chunk: Buffer) => {
    bytes += chunk.length;
  });
  socket.resume();
  await once(socket, 'close');
  return bytes;
};

test('an answer that a slow caller is still reading is not cut before the limit', async () => {
  const server = createServer((_request, response) => {
    response.end(Buffer.alloc(LONG_ANSWER_BYTES));
  });
  const address = await openServer(server, '127.0.0.1:0');
  const socket = await openPaused(address);
  const answered = once(server, 'request');
  socket.write(`${HEAD}\r\n`);
  await answered;
  const closed = closeServer(server, 20_000);
  await waitMs(300);
  const bytes = await readToEnd(socket);
  await closed;
  assert.ok(bytes > LONG_ANSWER_BYTES, `${bytes} of ${LONG_ANSWER_BYTES} bytes`);
});

test('a request whose head has begun is answered, and one on another idle connection is not awaited', async () => {
  const server = createServer((_request, response) => {
    response.setHeader('connection', 'close');
    response.end('whole');
  });
  const address = await openServer(server, '127.0.0.1:0');
  const idle = await openPaused(address);
  const begun = await openPaused(address);
  begun.write(HEAD);
  await waitMs(100);
  const startedMs = performance.now();
  const closed = closeServer(server, 20_000);
  await Promise.all([readToEnd(idle), waitMs(300)]);
  begun.write('\r\n');
  const bytes = await readToEnd(begun);
  await closed;
  assert.ok(bytes > 'whole'.length, 'the request got no answer');
  assert.ok(performance.now() - startedMs < 10_000);
});

test('a request on a connection that was opened just before the closing is answered', async () => {
  const server = createServer((_request, response) => {
    response.setHeader('connection', 'close');
    response.end('whole');
  });
  const address = await openServer(server, '127.0.0.1:0');
  const accepted = once(server, 'connection');
  const socket = await openPaused(address);
  await accepted;
  const closed = closeServer(server, 20_000);
  await waitMs(20);
  socket.write(`${HEAD}\r\n`);
  const bytes = await readToEnd(socket);
  await closed;
  assert.ok(bytes > 'whole'.length, 'the request got no answer');
});

test('closing tells how many requests were cut at the limit', async () => {
  const responses: ServerResponse[] = [];
  const server = createServer((_request, response) => void responses.push(response));
  const address = await openServer(server, '127.0.0.1:0');
  const pending = sendCall(address, { id: 'stuck' });
  const idle = await openPaused(address);
  await once(server, 'request');
  assert.is(await closeServer(server, 100), 1);
  assert.is((await pending).status, 0);
  idle.destroy();
});

test('a port in use is reported with advice', async () => {
  const occupant = createServer();
  const address = await openServer(occupant, '127.0.0.1:0');
  try {
    await openServer(createServer(), address);
    assert.unreachable();
  } catch (error) {
    assert.match(
      String(error),
      new RegExp(`cannot listen on ${address}: the port is in use; choose`),
    );
  }
  occupant.close();
});

test.run();
