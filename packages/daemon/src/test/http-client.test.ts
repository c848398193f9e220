/** Tests of the HTTP client with calls that cannot be made and answers that are too large. */
import { createServer } from 'node:http';
import type { AddressInfo } from 'node:net';
import { setTimeout as delay } from 'node:timers/promises';
import fc from 'fast-check';
import * as assert from 'uvu/assert';
import { suite } from 'uvu';
import { createHttpClient, type HttpCall } from '../lib/http-client.js';
import type { LogFields } from '../lib/json-log.js';

const SEED = 20_261_205;
const CASES = 300;
const CHUNK_BYTES = 1_048_576;

/** Connections to one address that the client opens by default. */
const DEFAULT_CONNECTIONS = 8;

/** Time limit of the calls that hold all connections. */
const HOLDER_MS = 200;

/** Discard port of loopback, where nothing listens. */
const NOBODY = '127.0.0.1:9';

const test = suite('http client');

const CALL: HttpCall = { address: NOBODY, method: 'GET', path: '/', timeoutMs: 500 };

/** Sends a call; resolves to its outcome and what was logged. */
const sendCall = async (change: Partial<HttpCall>) => {
  const lines: LogFields[] = [];
  const client = createHttpClient({ error: (fields) => void lines.push(fields) });
  const outcome = await client.send({ ...CALL, ...change });
  client.close();
  return { outcome, lines };
};

// Guards against a planner that ends again and again, as a call to an odd address or id throws.
test('a call that cannot be made gets no answer, is logged and rejects nothing', async () => {
  const changes: readonly Partial<HttpCall>[] = [
    { address: '127.0.0.1:86210' },
    { address: '127.0.0.1:-1' },
    { address: undefined },
    { path: '/a b' },
    { headers: { 'x-id': 'i-\ufffd\ufffd' } },
    { headers: { 'x id': '1' } },
  ];
  for (const change of changes) {
    const { outcome, lines } = await sendCall(change);
    assert.is(outcome.kind, 'none');
    assert.ok(outcome.kind === 'none' && outcome.isRefused, 'nothing was sent');
    assert.equal(
      lines.map(({ event }) => event),
      ['call-impossible'],
    );
  }
});

test('a refused connection is no impossible call', async () => {
  const { outcome, lines } = await sendCall({});
  assert.equal(outcome, { kind: 'none', reason: 'ECONNREFUSED', isRefused: true });
  assert.equal(lines, []);
});

test('no call rejects, whatever its address, path and headers are', async () => {
  const text = fc.string({ unit: 'binary', maxLength: 12 });
  const port = fc.oneof(fc.integer({ min: 65_536 }).map(String), fc.constant('-1'), text);
  const call = fc.record({
    address: port.map((portText) => `127.0.0.1:${portText}`),
    path: text.map((rest) => `/${rest}`),
    headers: fc.dictionary(text, text, { maxKeys: 2 }),
  });
  const client = createHttpClient({ error: () => {} });
  const property = fc.asyncProperty(call, async (change) => {
    const { kind } = await client.send({ ...CALL, timeoutMs: 100, ...change });
    assert.is(kind, 'none');
  });
  await fc.assert(property, { numRuns: CASES, seed: SEED });
  client.close();
});

test('an answer without an end is cut off and counts as none', async () => {
  const server = createServer((_request, response) => {
    const chunk = Buffer.alloc(CHUNK_BYTES);
    const writeMore = () => {
      while (!response.destroyed && response.write(chunk));
    };
    response.on('drain', writeMore);
    writeMore();
  });
  await new Promise<void>((resolve) => {
    server.listen(0, '127.0.0.1', resolve);
  });
  const address = `127.0.0.1:${(server.address() as AddressInfo).port}`;
  const { outcome } = await sendCall({ address, timeoutMs: 20_000 });
  assert.equal(outcome, { kind: 'none', reason: 'too-large', isRefused: false });
  server.close();
  server.closeAllConnections();
});

// Guards against a start that is sent after its job was cancelled, once a silent worker's calls end.
test('a call that is given up while it waits for a connection is never sent', async () => {
  const received: string[] = [];
  const server = createServer((request) => void received.push(request.url ?? ''));
  await new Promise<void>((resolve) => {
    server.listen(0, '127.0.0.1', resolve);
  });
  const address = `127.0.0.1:${(server.address() as AddressInfo).port}`;
  const client = createHttpClient({ error: () => {} });
  const send = (path: string, timeoutMs: number) =>
    client.send({ ...CALL, address, path, timeoutMs });
  const holders = Array.from({ length: DEFAULT_CONNECTIONS }, (_, index) =>
    send(`/holder${index}`, HOLDER_MS),
  );
  const given = await send('/given-up', HOLDER_MS / 4);
  assert.equal(given, { kind: 'none', reason: 'timeout', isRefused: false });
  const next = send('/next', 3 * HOLDER_MS);
  await Promise.all(holders);
  await delay(HOLDER_MS);
  client.close();
  await next;
  server.close();
  server.closeAllConnections();
  assert.ok(received.includes('/next'), 'a call that waited longer was sent');
  assert.not.ok(received.includes('/given-up'));
});

test.run();
