/** Verdicts compared with the upstreams' records of runs, for faults at each point of a request. */
import { FAULT_NAMES, type FaultName } from '@vanilladock/stand-ins';
import * as assert from 'uvu/assert';
import { suite } from 'uvu';
import type { Forwarder } from '../lib/request/forward.js';
import { startHarness, waitFor, type Harness } from './routing-harness.js';

const test = suite('verdicts');
const BODY = 'x'.repeat(3000);
let harness: Harness;

test.before(async () => {
  harness = await startHarness({ retryBudgetShare: 1 });
});
test.after(() => harness.close());

const CONNECTION_BREAKING_FAULTS: readonly FaultName[] = [
  'reset-before-head',
  'reset-in-head',
  'reset-after-head',
  'reset-in-body',
  'reset-after-request',
  'half-close',
  'reset-before-answer',
  'reset-in-answer-head',
  'cut-in-answer-head',
  'garbage-answer',
];
const RESPONSE_BODY_FAULTS: readonly FaultName[] = ['reset-in-answer-body', 'cut-in-answer-body'];
const HARMLESS_FAULTS: readonly FaultName[] = [
  'drip-request',
  'delay-answer',
  'drip-answer',
  'close-after-answer',
  'reset-after-answer',
  'stray-answer',
];

CONNECTION_BREAKING_FAULTS.forEach((fault) => {
  test(`${fault}: a non-idempotent request may have run and runs at most once`, async () => {
    const id = `order-${fault}`;
    const headers = { 'stand-in-fault': fault };
    const result = await harness.call({ id, method: 'POST', body: BODY, headers });
    assert.is(result.status, 502);
    assert.is(result.code, 'upstream-reset');
    assert.is(result.verdict, 'may-have-run');
    assert.is(result.headers['retry-after'], undefined);
    assert.ok(harness.countRuns(id) <= 1);
  });
  test(`${fault}: an idempotent request is retried and gets a complete response`, async () => {
    const id = `put-${fault}`;
    const headers = { 'stand-in-fault': fault };
    const result = await harness.call({ id, method: 'PUT', body: BODY, headers });
    assert.is(result.status, 200);
    assert.is(result.verdict, 'ran');
    assert.equal(JSON.parse(result.body), { service: 'prices', id, length: BODY.length });
  });
});

RESPONSE_BODY_FAULTS.forEach((fault) => {
  ['POST', 'GET'].forEach((method) => {
    test(`${fault}: a truncated response to ${method} never appears complete`, async () => {
      const id = `${method}-${fault}`;
      const headers = { 'stand-in-fault': fault, 'stand-in-answer-bytes': '5000' };
      const result = await harness.call({ id, method, headers });
      assert.is(result.isWhole, false);
      assert.is(harness.countRuns(id), 1);
      await waitFor(() =>
        harness.lines.some((line) => line.id === id && line.code === 'upstream-truncated'),
      );
    });
  });
});

HARMLESS_FAULTS.forEach((fault) => {
  test(`${fault}: non-idempotent requests around the fault get their own responses`, async () => {
    for (let index = 0; index < 6; index += 1) {
      const id = `${fault}-${index}`;
      const headers = { 'stand-in-fault': fault };
      const result = await harness.call({ id, method: 'POST', body: BODY, headers });
      if (result.status === 200) assert.equal(JSON.parse(result.body).id, id);
      else assert.is(result.verdict, 'may-have-run');
      assert.ok(harness.countRuns(id) <= 1);
    }
  });
});

// Uses connections of its own: the stray answers of the test before may still be on their way.
test('a request with a late response may have run, and the late response reaches no caller', async () => {
  const fresh = await startHarness({ retryBudgetShare: 1 });
  const headers = { 'stand-in-fault': 'late-answer', 'vanilladock-deadline-ms': '100' };
  const result = await fresh.call({ id: 'late', method: 'POST', body: 'x', headers });
  assert.is(result.status, 504);
  assert.is(result.code, 'upstream-timeout');
  assert.is(result.verdict, 'may-have-run');
  const laterCalls = Array.from({ length: 20 }, (_, index) =>
    fresh.call({ id: `after-${index}`, method: 'POST', body: 'x' }),
  );
  const results = await Promise.all(laterCalls);
  results.forEach(({ body }, index) => assert.is(JSON.parse(body).id, `after-${index}`));
  await fresh.close();
});

test('a request may have run when its upstream crashes after running it', async () => {
  const headers = { 'stand-in-answer': 'die' };
  const result = await harness.call({ id: 'die', method: 'POST', body: 'x', headers });
  assert.is(result.verdict, 'may-have-run');
  assert.is(harness.countRuns('die'), 1);
});

test('a refusal that the upstream marks as not run is passed on as not-run', async () => {
  const headers = { 'stand-in-answer': 'refuse' };
  const result = await harness.call({ id: 'refuse', method: 'POST', body: 'x', headers });
  assert.is(result.status, 503);
  assert.is(result.code, 'upstream-refused');
  assert.is(result.verdict, 'not-run');
  assert.is(result.headers['retry-after'], '1');
  assert.is(harness.countRuns('refuse'), 0);
});

test('a request has not run when no upstream accepts connections', async () => {
  await Promise.all(harness.proxies.map((proxy) => proxy.setRefusing(true)));
  const result = await harness.call({ id: 'refused', method: 'POST', body: BODY });
  await Promise.all(harness.proxies.map((proxy) => proxy.setRefusing(false)));
  assert.is(result.code, 'connect-failed');
  assert.is(result.verdict, 'not-run');
  assert.is(result.headers['retry-after'], '1');
  assert.is(harness.countRuns('refused'), 0);
});

test('the verdict may-have-run stays when a later attempt could not connect', async () => {
  const verdicts = ['may-have-run', 'not-run'] as const;
  let sentCount = 0;
  const forward: Forwarder = {
    send: () => {
      const verdict = verdicts[sentCount] ?? 'not-run';
      sentCount += 1;
      const failure = { code: 'upstream-reset', verdict, message: 'made up' } as const;
      return Promise.resolve({ failure, observation: {} });
    },
    setConnectionLimit: () => {},
    close: () => {},
  };
  const failingHarness = await startHarness({ forward });
  const result = await failingHarness.call({ id: 'doubt', method: 'PUT', body: BODY });
  assert.ok(sentCount > 1);
  assert.is(result.verdict, 'may-have-run');
  await failingHarness.close();
});

test('a request that breaks the connections of two upstreams is sent to no third one', async () => {
  let sentCount = 0;
  const forward: Forwarder = {
    send: () => {
      sentCount += 1;
      const failure = {
        code: 'upstream-reset',
        verdict: 'may-have-run',
        message: 'made up',
      } as const;
      return Promise.resolve({ failure, observation: {} });
    },
    setConnectionLimit: () => {},
    close: () => {},
  };
  const failingHarness = await startHarness({ forward, retryBudgetShare: 1 });
  const result = await failingHarness.call({ id: 'crashing', method: 'PUT', body: BODY });
  assert.is(sentCount, 2);
  assert.equal([result.code, result.verdict], ['upstream-reset', 'may-have-run']);
  await failingHarness.close();
});

test('every fault of the proxy is covered by a test', () => {
  const coveredHere = [...CONNECTION_BREAKING_FAULTS, ...RESPONSE_BODY_FAULTS, ...HARMLESS_FAULTS];
  const coveredElsewhere: readonly FaultName[] = [
    'swallow-request',
    'swallow-answer',
    'late-answer',
  ];
  assert.equal([...coveredHere, ...coveredElsewhere].sort(), [...FAULT_NAMES].sort());
});

test.run();
