/** Requests that have arrived when their server is about to close. */
import { createServer } from 'node:http';
import { connect, type AddressInfo } from 'node:net';
import { once } from 'node:events';
import { Worker } from 'node:worker_threads';
import * as assert from 'uvu/assert';
import { suite } from 'uvu';
import { closeServer, openServer, waitInput } from '../lib/servers.js';

const test = suite('wait for input');

const CONNECTION_COUNT = 30;
const CLOSE_LIMIT_MS = 100;
const HELD_UP_MS = 400;

/** Index of the flag that the caller's thread sets when it has sent all calls. */
const SENT = 0;
const SENT_LIMIT_MS = 20_000;

/** Thread that sends a call on each of its connections, and posts how many were answered. */
const CALLER = `
const { connect } = require('node:net');
const { parentPort, workerData } = require('node:worker_threads');
const { port, count, flags } = workerData;
let open = count, sent = 0, answered = 0;
for (let index = 0; index < count; index += 1) {
  let text = '';
  const socket = connect(port, '127.0.0.1');
  socket.on('data', (chunk) => { text += chunk; });
  socket.on('error', () => {});
  socket.on('close', () => {
    if (text.endsWith('whole')) answered += 1;
    open -= 1;
    if (open === 0) parentPort.postMessage(answered);
  });
  socket.write('GET / HTTP/1.1\\r\\nhost: a\\r\\nconnection: close\\r\\n\\r\\n', () => {
    sent += 1;
    if (sent < count) return;
    Atomics.store(flags, 0, 1);
    Atomics.notify(flags, 0);
  });
}
`;

// Guards against calls that are cut by a process that gets little processor time: its timers run
// before it reads what has arrived.
test('a request that has arrived and was not read yet is answered before the server closes', async () => {
  const server = createServer((_, response) => response.end('whole'));
  await openServer(server, '127.0.0.1:0');
  const { port } = server.address() as AddressInfo;
  const open = connect(port, '127.0.0.1');
  await Promise.all([once(open, 'connect'), once(server, 'connection')]);
  let text = '';
  open.setEncoding('utf8').on('data', (chunk: string) => {
    text += chunk;
  });
  open.write('GET / HTTP/1.1\r\nhost: a\r\n\r\n');
  while (!text.endsWith('whole')) await once(open, 'data');
  text = '';
  open.write('GET / HTTP/1.1\r\nhost: a\r\nconnection: close\r\n\r\n');
  await waitInput();
  await closeServer(server, 0);
  if (!open.closed) await once(open, 'close');
  assert.match(text, /200 OK[^]*whole/);
});

// Guards against calls that are cut because each turn of the event loop accepts one connection.
test('calls on many connections that wait unread are answered before the server closes', async () => {
  const server = createServer((_, response) => response.end('whole'));
  server.listen(0, '127.0.0.1');
  await once(server, 'listening');
  const { port } = server.address() as AddressInfo;
  const flags = new Int32Array(new SharedArrayBuffer(Int32Array.BYTES_PER_ELEMENT));
  const workerData = { port, count: CONNECTION_COUNT, flags };
  const caller = new Worker(CALLER, { eval: true, workerData });
  const ended = once(caller, 'message');
  // Until all calls are sent, the event loop of the server does not run.
  assert.is.not(Atomics.wait(flags, SENT, 0, SENT_LIMIT_MS), 'timed-out');
  await waitInput();
  await closeServer(server, 100);
  assert.equal(await ended, [CONNECTION_COUNT]);
});

// Guards against calls that wait unread, in a process that is held up, when the limit is reached.
test('a request that arrives during the closing is read and answered at its limit', async () => {
  const server = createServer((_, response) => response.end('whole'));
  await openServer(server, '127.0.0.1:0');
  const { port } = server.address() as AddressInfo;
  const open = connect(port, '127.0.0.1');
  await Promise.all([once(open, 'connect'), once(server, 'connection')]);
  let text = '';
  open.setEncoding('utf8').on('data', (chunk: string) => {
    text += chunk;
  });
  open.on('error', () => {});
  const closed = closeServer(server, CLOSE_LIMIT_MS);
  open.write('GET / HTTP/1.1\r\nhost: a\r\nconnection: close\r\n\r\n');
  const flag = new Int32Array(new SharedArrayBuffer(Int32Array.BYTES_PER_ELEMENT));
  Atomics.wait(flag, 0, 0, HELD_UP_MS);
  await closed;
  if (!open.closed) await once(open, 'close');
  assert.match(text, /200 OK[^]*whole/);
});

test.run();
