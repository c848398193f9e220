/** The callers' client obeys verdicts and Retry-After; the table for callers lists every code. */
import { readFileSync } from 'node:fs';
import { createServer } from 'node:http';
import type { AddressInfo } from 'node:net';
import * as assert from 'uvu/assert';
import { suite } from 'uvu';
import { sendRequest } from '../lib/caller-client.js';
import { FAILURE_STATUS } from '../lib/request/answer.js';

const test = suite('caller-client');
const TABLE = readFileSync(new URL('../../../../docs/REFUSALS.md', import.meta.url), 'utf8');

interface Step {
  readonly status: number;
  readonly headers?: Readonly<Record<string, string>>;
}

/** Runs a request against answers given in order; resolves to its end and the ids that were seen. */
const runAgainst = async (steps: readonly Step[], isIdempotent: boolean, deadlineMs = 2_500) => {
  const ids: string[] = [];
  const server = createServer((request, response) => {
    const step = steps[Math.min(ids.length, steps.length - 1)];
    ids.push(String(request.headers['vanilladock-request-id']));
    if (step?.status === 0) request.socket.destroy();
    else response.writeHead(step?.status ?? 500, step?.headers).end('done');
  });
  await new Promise<void>((resolve) => {
    server.listen(0, '127.0.0.1', resolve);
  });
  const { port } = server.address() as AddressInfo;
  const answer = await sendRequest({
    address: `127.0.0.1:${port}`,
    method: 'POST',
    path: '/prices/x',
    team: 'restaurants',
    isIdempotent,
    deadlineMs,
  });
  server.closeAllConnections();
  server.close();
  return { answer, ids };
};

/** Builds an answer of an entry on its own account. */
const makeFailure = (code: string, verdict: string, retryAfter?: string): Step => ({
  status: 503,
  headers: {
    'vanilladock-code': code,
    'vanilladock-verdict': verdict,
    ...(retryAfter === undefined ? {} : { 'retry-after': retryAfter }),
  },
});

const OK: Step = { status: 200, headers: { 'vanilladock-verdict': 'ran' } };

test('not-run is sent again with the same id after the time to come back', async () => {
  const startedAtMs = performance.now();
  const { answer, ids } = await runAgainst([makeFailure('queue-full', 'not-run', '1'), OK], false);
  assert.is(answer.kind, 'answered');
  assert.is(answer.tries, 2);
  assert.is(ids[0], ids[1]);
  assert.ok(performance.now() - startedAtMs >= 990);
});

test('not-run without a time to come back is not sent again', async () => {
  const { answer } = await runAgainst([makeFailure('bad-request', 'not-run'), OK], false);
  assert.equal(answer, { kind: 'failed', code: 'bad-request', verdict: 'not-run', tries: 1 });
});

test('a time to come back after the deadline ends the request at once', async () => {
  const { answer } = await runAgainst([makeFailure('queue-full', 'not-run', '60'), OK], false);
  assert.is(answer.tries, 1);
});

test('an order that may have run is not sent again', async () => {
  const steps = [makeFailure('upstream-reset', 'may-have-run'), OK];
  const { answer } = await runAgainst(steps, false);
  assert.is(answer.kind === 'failed' && answer.verdict, 'may-have-run');
  assert.is(answer.tries, 1);
  const lost = await runAgainst([{ status: 0 }, OK], false);
  assert.is(lost.answer.kind === 'failed' && lost.answer.verdict, 'may-have-run');
});

test('an idempotent request is sent again, and keeps its doubt when it fails in the end', async () => {
  const good = await runAgainst([{ status: 0 }, OK], true);
  assert.is(good.answer.kind, 'answered');
  const steps = [makeFailure('upstream-reset', 'may-have-run'), makeFailure('draining', 'not-run')];
  const { answer } = await runAgainst(steps, true);
  assert.is(answer.kind === 'failed' && answer.verdict, 'may-have-run');
});

test('with nothing to connect to, an order has not run', async () => {
  const answer = await sendRequest({
    address: '127.0.0.1:1',
    method: 'POST',
    path: '/prices/x',
    team: 'restaurants',
    isIdempotent: false,
    deadlineMs: 250,
  });
  assert.is(answer.kind === 'failed' && answer.verdict, 'not-run');
  assert.ok(answer.tries > 1);
});

Object.entries(FAILURE_STATUS).forEach(([code, status]) => {
  test(`the table for callers lists ${code} with its status`, () => {
    assert.match(TABLE, new RegExp(`^\\| \`${code}\` +\\| ${status} +\\| `, 'm'));
  });
});

test('the table for callers lists no other code', () => {
  const listed = [...TABLE.matchAll(/^\| `([a-z-]+)` +\| \d{3} /gm)].map((match) => match[1]);
  assert.equal(listed.sort(), Object.keys(FAILURE_STATUS).sort());
});

test.run();
