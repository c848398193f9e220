/** The life of an entry's callers' port: notice, requests in progress, a port that is in use. */
import { createServer } from 'node:http';
import * as assert from 'uvu/assert';
import { suite } from 'uvu';
import { closeServer, openServer } from '../lib/servers.js';
import { sendCall } from './routing-harness.js';

const test = suite('life');

test('closing lets a request in progress end and then leaves no connection', async () => {
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

test('a request longer than the drain limit is cut at the limit', async () => {
  const server = createServer(() => {});
  const address = await openServer(server, '127.0.0.1:0');
  const pending = sendCall(address, { id: 'stuck' });
  await new Promise((resolve) => {
    setTimeout(resolve, 50);
  });
  await closeServer(server, 100);
  assert.is((await pending).status, 0);
});

test('a port in use is named, with what to do', async () => {
  const one = createServer();
  const address = await openServer(one, '127.0.0.1:0');
  try {
    await openServer(createServer(), address);
    assert.unreachable();
  } catch (error) {
    assert.match(
      String(error),
      new RegExp(`cannot listen on ${address}: the port is in use; choose`),
    );
  }
  one.close();
});

test.run();
