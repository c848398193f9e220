/** Tests of opening and closing servers: requests in progress, the drain limit, a port in use. */
import { createServer } from 'node:http';
import * as assert from 'uvu/assert';
import { suite } from 'uvu';
import { closeServer, openServer } from '../lib/servers.js';
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
