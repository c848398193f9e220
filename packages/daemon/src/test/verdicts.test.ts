/** Verdicts against the upstreams' ledgers, for faults at each point of a request's way. */
import { FAULT_NAMES, type FaultName } from '@vanilladock/stand-ins';
import * as assert from 'uvu/assert';
import { suite } from 'uvu';
import type { Forward } from '../lib/request/forward.js';
import { startHarness, waitFor, type Harness } from './routing-harness.js';

const test = suite('verdicts');
const BODY = 'x'.repeat(3000);
let harness: Harness;

test.before(async () => {
  harness = await startHarness({ retryBudgetShare: 1 });
});
test.after(() => harness.close());

const FAULTS_THAT_BREAK: readonly FaultName[] = [
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
const FAULTS_IN_ANSWER: readonly FaultName[] = ['reset-in-answer-body', 'cut-in-answer-body'];
const HARMLESS: readonly FaultName[] = [
  'drip-request',
  'delay-answer',
  'drip-answer',
  'close-after-answer',
  'reset-after-answer',
  'stray-answer',
];

FAULTS_THAT_BREAK.forEach((fault) => {
  test(`${fault}: an order is told as unknown and runs at most once`, async () => {
    const id = `order-${fault}`;
    const headers = { 'stand-in-fault': fault };
    const result = await harness.call({ id, method: 'POST', body: BODY, headers });
    assert.is(result.status, 502);
    assert.is(result.code, 'upstream-reset');
    assert.is(result.verdict, 'may-have-run');
    assert.is(result.headers['retry-after'], undefined);
    assert.ok(harness.countRuns(id) <= 1);
  });
  test(`${fault}: an idempotent request is sent again and answered whole`, async () => {
    const id = `put-${fault}`;
    const headers = { 'stand-in-fault': fault };
    const result = await harness.call({ id, method: 'PUT', body: BODY, headers });
    assert.is(result.status, 200);
    assert.is(result.verdict, 'ran');
    assert.equal(JSON.parse(result.body), { service: 'prices', id, length: BODY.length });
  });
});

FAULTS_IN_ANSWER.forEach((fault) => {
  ['POST', 'GET'].forEach((method) => {
    test(`${fault}: a ${method} whose answer is cut never shows a whole answer`, async () => {
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

HARMLESS.forEach((fault) => {
  test(`${fault}: orders before and after it get their own answers`, async () => {
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

test('an order that was answered late is told as unknown, and the late answer reaches no one', async () => {
  const late = { 'stand-in-fault': 'late-answer', 'vanilladock-deadline-ms': '100' };
  const result = await harness.call({ id: 'late', method: 'POST', body: 'x', headers: late });
  assert.is(result.status, 504);
  assert.is(result.code, 'upstream-timeout');
  assert.is(result.verdict, 'may-have-run');
  const after = Array.from({ length: 20 }, (_, index) =>
    harness.call({ id: `after-${index}`, method: 'POST', body: 'x' }),
  );
  const results = await Promise.all(after);
  results.forEach(({ body }, index) => assert.is(JSON.parse(body).id, `after-${index}`));
});

test('an upstream that dies after the effect leaves an order unknown', async () => {
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

test('with no upstream to connect to, an order is told as not run', async () => {
  await Promise.all(harness.proxies.map((proxy) => proxy.setRefusing(true)));
  const result = await harness.call({ id: 'refused', method: 'POST', body: BODY });
  await Promise.all(harness.proxies.map((proxy) => proxy.setRefusing(false)));
  assert.is(result.code, 'connect-failed');
  assert.is(result.verdict, 'not-run');
  assert.is(result.headers['retry-after'], '1');
  assert.is(harness.countRuns('refused'), 0);
});

test('a doubt stays when a later attempt could not connect', async () => {
  const verdicts = ['may-have-run', 'not-run'] as const;
  let sent = 0;
  const forward: Forward = {
    send: () => {
      const verdict = verdicts[sent] ?? 'not-run';
      sent += 1;
      const failure = { code: 'upstream-reset', verdict, message: 'made up' } as const;
      return Promise.resolve({ failure, observation: {} });
    },
    setConnectionLimit: () => {},
    close: () => {},
  };
  const doubtful = await startHarness({ forward });
  const result = await doubtful.call({ id: 'doubt', method: 'PUT', body: BODY });
  assert.ok(sent > 1);
  assert.is(result.verdict, 'may-have-run');
  await doubtful.close();
});

test('every fault of the proxy is used in a test', () => {
  const used = [...FAULTS_THAT_BREAK, ...FAULTS_IN_ANSWER, ...HARMLESS];
  const elsewhere: readonly FaultName[] = ['swallow-request', 'swallow-answer', 'late-answer'];
  assert.equal([...used, ...elsewhere].sort(), [...FAULT_NAMES].sort());
});

test.run();
