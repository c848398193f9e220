/** Requests that have arrived when their server is about to close. */
import { createServer } from 'node:http';
import { connect, type AddressInfo } from 'node:net';
import { once } from 'node:events';
import * as assert from 'uvu/assert';
import { suite } from 'uvu';
import { closeServer, openServer, waitInput } from '../lib/servers.js';

const test = suite('wait for input');

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

test.run();
