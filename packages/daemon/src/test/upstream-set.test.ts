/** Retries, leaving upstreams and ejection of failing ones on the request path. */
import * as assert from 'uvu/assert';
import { suite } from 'uvu';
import { startHarness, type Harness } from './routing-harness.js';

const test = suite('upstream-set');

/** Counts the routing decisions for an upstream in the log lines from index `from` on. */
const countRoutes = (harness: Harness, upstream: string, from = 0) =>
  harness.lines.slice(from).filter((line) => line.event === 'route' && line.upstream === upstream)
    .length;

/** Sends POST requests one after another and resolves to their HTTP statuses. */
const sendPosts = async (harness: Harness, name: string, count: number, responseKind = 'usual') => {
  const statuses: number[] = [];
  for (let index = 0; index < count; index += 1) {
    const headers = { 'stand-in-answer': responseKind };
    const id = `${name}-${index}`;
    statuses.push((await harness.call({ id, method: 'POST', body: 'x', headers })).status);
  }
  return statuses;
};

test('an upstream that signals that it is leaving gets no more work and no request fails', async () => {
  const harness = await startHarness({ upstreams: 2, retryBudgetShare: 0 });
  harness.upstreams[0]?.setLeaving(true);
  const statuses = await sendPosts(harness, 'leave', 40);
  assert.ok(statuses.every((status) => status === 200));
  assert.is(countRoutes(harness, 'prices-0'), 1);
  assert.is(harness.table.listStatus()[0]?.state, 'leaving');
  await harness.close();
});

test('an upstream that closes several connections in a row counts as leaving', async () => {
  const harness = await startHarness({ upstreams: 1 });
  await sendPosts(harness, 'stay', 2);
  await sendPosts(harness, 'close', 2, 'close');
  assert.is(harness.table.listStatus()[0]?.state, 'leaving');
  await harness.close();
});

test('an upstream listed as leaving gets no work beside live ones nor after its grace period', async () => {
  const harness = await startHarness({ upstreams: 2 });
  harness.setLeavingInList(0);
  await sendPosts(harness, 'listed', 20);
  assert.is(countRoutes(harness, 'prices-0'), 0);
  harness.setLeavingInList(1);
  assert.equal(await sendPosts(harness, 'grace', 1), [200]);
  await new Promise((resolve) => {
    setTimeout(resolve, 250);
  });
  const result = await harness.call({ id: 'none', method: 'POST', body: 'x' });
  assert.is(result.code, 'no-upstream');
  assert.is(result.verdict, 'not-run');
  await harness.close();
});

test('an upstream that fails fast is ejected instead of attracting load', async () => {
  const harness = await startHarness({ upstreams: 3, workMs: 2 });
  harness.setAddress(0, '127.0.0.1:1');
  const calls = Array.from({ length: 30 }, (_, index) => sendPosts(harness, `many-${index}`, 1));
  await Promise.all(calls);
  assert.is(harness.table.listStatus()[0]?.state, 'ejected');
  const from = harness.lines.length;
  await sendPosts(harness, 'after', 60);
  assert.is(countRoutes(harness, 'prices-0', from), 0);
  await harness.close();
});

test('no more than the configured share is ejected, however many fail', async () => {
  const harness = await startHarness({ upstreams: 4, maxEjectedShare: 0.5 });
  await sendPosts(harness, 'error', 60, 'error');
  const ejected = harness.table.listStatus().filter(({ state }) => state === 'ejected');
  assert.is(ejected.length, 2);
  await harness.close();
});

test('retries stop with the budget and do not occur while the service sheds load', async () => {
  const harness = await startHarness({ upstreams: 2, retryBudgetShare: 0.1 });
  const calls = Array.from({ length: 60 }, (_, index) =>
    harness.call({ id: `b-${index}`, headers: { 'stand-in-answer': 'refuse' } }),
  );
  await Promise.all(calls);
  const routes = harness.lines.filter(({ event }) => event === 'route').length;
  assert.ok(routes > 60 && routes <= 70, `${routes} attempts for 60 requests`);
  await harness.close();
  const shedding = await startHarness({ upstreams: 2, isShedding: () => true });
  await shedding.call({ id: 's', headers: { 'stand-in-answer': 'refuse' } });
  assert.is(shedding.lines.filter(({ event }) => event === 'route').length, 1);
  await shedding.close();
});

test('a retry goes to another upstream', async () => {
  const harness = await startHarness({ upstreams: 2 });
  await harness.call({ id: 'other', headers: { 'stand-in-answer': 'refuse' } });
  const tried = harness.lines.filter(({ event }) => event === 'route').map((line) => line.upstream);
  assert.is(new Set(tried.slice(0, 2)).size, 2);
  await harness.close();
});

test.run();
