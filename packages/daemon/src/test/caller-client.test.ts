/**
 * Tests that the callers' client follows verdicts and `retry-after`, and that the table of codes is
 * complete.
 */
import { readFileSync } from 'node:fs';
import { createServer } from 'node:http';
import type { AddressInfo } from 'node:net';
import * as assert from 'uvu/assert';
import { suite } from 'uvu';
import { sendRequest } from '../lib/caller-client.js';
import { FAILURE_STATUS } from '../lib/request/failure-response.js';

const test = suite('caller-client');
const REFUSALS_PAGE = readFileSync(
  new URL('../../../../docs/REFUSALS.md', import.meta.url),
  'utf8',
);

/** One scripted answer of the server; the status 0 closes the connection instead. */
interface ScriptedAnswer {
  readonly status: number;
  readonly headers?: Readonly<Record<string, string>>;
}

/**
 * Sends a request to a server with scripted answers; resolves to the result and the ids received.
 */
const runScript = async (
  script: readonly ScriptedAnswer[],
  isIdempotent: boolean,
  deadlineMs = 2_500,
) => {
  const ids: string[] = [];
  const server = createServer((request, response) => {
    const scripted = script[Math.min(ids.length, script.length - 1)];
    ids.push(String(request.headers['vanilladock-request-id']));
    if (scripted?.status === 0) request.socket.destroy();
    else response.writeHead(scripted?.status ?? 500, scripted?.headers).end('done');
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

/** Builds a failure that the entry itself answers. */
const makeFailure = (code: string, verdict: string, retryAfter?: string): ScriptedAnswer => ({
  status: 503,
  headers: {
    'vanilladock-code': code,
    'vanilladock-verdict': verdict,
    ...(retryAfter === undefined ? {} : { 'retry-after': retryAfter }),
  },
});

const OK: ScriptedAnswer = { status: 200, headers: { 'vanilladock-verdict': 'ran' } };

test('not-run is sent again with the same id after the time to come back', async () => {
  const startedAtMs = performance.now();
  const { answer, ids } = await runScript([makeFailure('queue-full', 'not-run', '1'), OK], false);
  assert.is(answer.kind, 'answered');
  assert.is(answer.tries, 2);
  assert.is(ids[0], ids[1]);
  assert.ok(performance.now() - startedAtMs >= 990);
});

test('not-run without a time to come back is not sent again', async () => {
  const { answer } = await runScript([makeFailure('bad-request', 'not-run'), OK], false);
  assert.equal(answer, { kind: 'failed', code: 'bad-request', verdict: 'not-run', tries: 1 });
});

test('a retry-after delay beyond the deadline fails the request at once', async () => {
  const { answer } = await runScript([makeFailure('queue-full', 'not-run', '60'), OK], false);
  assert.is(answer.tries, 1);
});

test('a non-idempotent request that may have run is not retried', async () => {
  const script = [makeFailure('upstream-reset', 'may-have-run'), OK];
  const { answer } = await runScript(script, false);
  assert.is(answer.kind === 'failed' && answer.verdict, 'may-have-run');
  assert.is(answer.tries, 1);
  const lost = await runScript([{ status: 0 }, OK], false);
  assert.is(lost.answer.kind === 'failed' && lost.answer.verdict, 'may-have-run');
});

test('an idempotent request is retried, and its final failure keeps may-have-run', async () => {
  const retried = await runScript([{ status: 0 }, OK], true);
  assert.is(retried.answer.kind, 'answered');
  const script = [
    makeFailure('upstream-reset', 'may-have-run'),
    makeFailure('draining', 'not-run'),
  ];
  const { answer } = await runScript(script, true);
  assert.is(answer.kind === 'failed' && answer.verdict, 'may-have-run');
});

test('a request whose connections are all refused has not run', async () => {
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
  test(`the table of codes lists ${code} with its status`, () => {
    assert.match(REFUSALS_PAGE, new RegExp(`^\\| \`${code}\` +\\| ${status} +\\| `, 'm'));
  });
});

test('the table of codes lists no other code', () => {
  const listed = [...REFUSALS_PAGE.matchAll(/^\| `([a-z-]+)` +\| \d{3} /gm)].map(
    (match) => match[1],
  );
  assert.equal(listed.sort(), Object.keys(FAILURE_STATUS).sort());
});

test.run();
