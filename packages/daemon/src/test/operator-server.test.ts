/** Tests of the operators' server: key, probes, status page and metrics. */
import * as assert from 'uvu/assert';
import { suite } from 'uvu';
import { createMetrics } from '../lib/metrics.js';
import { createOperatorServer } from '../lib/operators/operator-server.js';
import type { EntryStatus } from '../lib/operators/status.js';
import { closeServer, openServer } from '../lib/servers.js';

const KEY = 'a-key-for-this-test';

const STATUS: EntryStatus = {
  id: 'entry-<1>',
  dataCentre: 'hobart',
  isReady: true,
  isDraining: false,
  uptimeMs: 5_000,
  configVersion: 7,
  configAuthor: 'ada',
  appliedOffset: 9,
  answers: 3,
  peers: [{ id: 'entry-2', isLive: false, appliedOffset: 8 }],
  upstreams: [{ id: 'prices-0', service: 'prices', state: 'live', inFlight: 2 }],
  leaving: ['prices-1'],
  refusals: [{ team: 'restaurants', urgency: 'quick', code: 'queue-full', count: 4 }],
};

const createTestServer = (isReady: boolean) => {
  const metrics = createMetrics({
    getConfigVersion: () => 7,
    countUpstreams: () => 2,
    listServices: () => ['prices'],
  });
  metrics.observeAnswer({
    service: 'prices',
    team: 'restaurants',
    urgency: 'quick',
    code: 'ok',
    durationMs: 12,
  });
  const ports = { key: KEY, isReady: () => isReady, getStatus: () => STATUS, metrics };
  return createOperatorServer(ports);
};

const test = suite('operator server');

test('without the key only the probes are answered', async () => {
  const server = createTestServer(true);
  const address = await openServer(server, '127.0.0.1:0');
  const refused = await fetch(`http://${address}/metrics`);
  assert.is(refused.status, 401);
  assert.match(await refused.text(), 'send the key of the settings file');
  assert.is((await fetch(`http://${address}/live`)).status, 200);
  assert.is((await fetch(`http://${address}/ready`)).status, 200);
  await closeServer(server, 0);
});

test('readiness fails while the entry is not ready', async () => {
  const server = createTestServer(false);
  const address = await openServer(server, '127.0.0.1:0');
  assert.is((await fetch(`http://${address}/ready`)).status, 503);
  await closeServer(server, 0);
});

test('the status page shows peers, upstreams, leaving instances and refusals, escaped', async () => {
  const server = createTestServer(true);
  const address = await openServer(server, '127.0.0.1:0');
  const authorization = `Basic ${Buffer.from(`operator:${KEY}`).toString('base64')}`;
  const answer = await fetch(`http://${address}/`, { headers: { authorization } });
  const page = await answer.text();
  ['entry-&lt;1&gt;', 'entry-2', 'silent', 'prices-0', 'prices-1', 'queue-full'].forEach((part) =>
    assert.match(page, part),
  );
  await closeServer(server, 0);
});

test('metrics show quantiles, counts and the configuration version', async () => {
  const server = createTestServer(true);
  const address = await openServer(server, '127.0.0.1:0');
  const headers = { 'vanilladock-key': KEY };
  const text = await (await fetch(`http://${address}/metrics`, { headers })).text();
  assert.match(text, /vanilladock_request_seconds\{service="prices",quantile="0.99"\} 0\.012/);
  assert.match(text, 'vanilladock_requests_total{service="prices",urgency="quick",code="ok"} 1');
  assert.match(text, 'vanilladock_config_version 7');
  await closeServer(server, 0);
});

test.run();
