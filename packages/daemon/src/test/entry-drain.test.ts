/**
 * The deadline of an entry's stop: every request that it takes gets its final answer before the
 * connections are closed, and one that cannot be answered in time is refused as not run.
 */
import { Agent, createServer, request as sendRequest } from 'node:http';
import * as assert from 'uvu/assert';
import { suite } from 'uvu';
import { openServer, waitMs } from '../lib/servers.js';
import { runWithEntry } from './entry-process.js';
import { sendCall, waitFor } from './routing-harness.js';

const test = suite('entry-drain');
const SHORT_DRAIN = 'drainNoticeMs: 1000\ndrainLimitMs: 1500';
const LONG_NOTICE_MS = 2_000;
const LONG_NOTICE = `drainNoticeMs: ${LONG_NOTICE_MS}\ndrainLimitMs: 3000`;
/** Longer than any drain here, and shorter than the configured deadline. */
const LONG_WORK = { 'stand-in-work-ms': '8000' };

test('a request in progress at the drain limit gets a final answer and is logged', async () => {
  await runWithEntry(SHORT_DRAIN, async (entry) => {
    const pending = sendCall(entry.callers, { id: 'long', method: 'POST', headers: LONG_WORK });
    await waitFor(() => entry.upstream.getRunCounts().get('long') === 1);
    entry.child.kill('SIGTERM');
    const { status, code, verdict, headers } = await pending;
    const exit = await entry.exit;
    const line = entry.listLines().find(({ event }) => event === 'failure');
    assert.equal(
      { status, code, verdict },
      { status: 504, code: 'upstream-timeout', verdict: 'may-have-run' },
    );
    assert.is(headers.connection, 'close');
    assert.is(line?.id, 'long');
    assert.is(exit.code, 0);
  });
});

test('a request that cannot be answered before the limit is refused at once as not run', async () => {
  await runWithEntry(LONG_NOTICE, async (entry) => {
    entry.child.kill('SIGTERM');
    await waitFor(() => entry.listLines().some(({ event }) => event === 'draining'));
    const startedMs = performance.now();
    const [late, short] = await Promise.all([
      sendCall(entry.callers, { id: 'late', method: 'POST', headers: LONG_WORK }),
      sendCall(entry.callers, { id: 'short', headers: { 'vanilladock-deadline-ms': '1500' } }),
    ]);
    const durationMs = performance.now() - startedMs;
    await entry.exit;
    const runs = entry.upstream.getRunCounts().get('late') ?? 0;
    const { status, code, verdict, headers } = late;
    assert.equal(
      { status, code, verdict, runs },
      { status: 503, code: 'draining', verdict: 'not-run', runs: 0 },
    );
    assert.match(headers['retry-after'] ?? '', /^[12]$/, 'the notice lasts 2 s');
    assert.is(headers.connection, 'close');
    assert.is(short.status, 200);
    assert.ok(durationMs < LONG_NOTICE_MS, `refused after ${durationMs} ms`);
  });
});

/** A limit of the configuration, and the requests that run at once when it is 1. */
const LIMITS = [
  { limit: 'slots: 8', name: 'slots', held: 2 },
  { limit: 'connections: 64', name: 'connections', held: 1 },
] as const;

LIMITS.forEach(({ limit, name, held }) => {
  test(`a request that waits for one of the ${name} is refused as not run at the stop`, async () => {
    await runWithEntry(
      LONG_NOTICE,
      async (entry) => {
        const running = Array.from({ length: held }, (_, index) =>
          sendCall(entry.callers, { id: `runs-${index}`, method: 'POST', headers: LONG_WORK }),
        );
        await waitFor(() => entry.upstream.getRunCounts().size === held);
        const waiting = sendCall(entry.callers, {
          id: 'waits',
          method: 'POST',
          headers: LONG_WORK,
        });
        await waitMs(200);
        entry.child.kill('SIGTERM');
        const startedMs = performance.now();
        const { status, code, verdict, headers } = await waiting;
        const durationMs = performance.now() - startedMs;
        await Promise.all([...running, entry.exit]);
        const runs = entry.upstream.getRunCounts().get('waits') ?? 0;
        assert.equal(
          { status, code, verdict, runs },
          { status: 503, code: 'draining', verdict: 'not-run', runs: 0 },
        );
        assert.is(headers['retry-after'], '1');
        assert.ok(durationMs < LONG_NOTICE_MS, `refused after ${durationMs} ms`);
      },
      {
        configLine: { from: limit, to: `${name}: 1` },
      },
    );
  });
});

test('a retry that cannot be answered before the limit is not sent', async () => {
  let attempts = 0;
  const refusing = createServer((_request, response) => {
    attempts += 1;
    setTimeout(() => {
      response.writeHead(503, { 'vanilladock-not-run': 'busy' });
      response.end();
    }, 500);
  });
  const upstreamAddress = await openServer(refusing, '127.0.0.1:0');
  await runWithEntry(
    SHORT_DRAIN,
    async (entry) => {
      const pending = sendCall(entry.callers, { id: 'refused', method: 'POST' });
      await waitFor(() => attempts === 1);
      entry.child.kill('SIGTERM');
      const { status, verdict } = await pending;
      await entry.exit;
      refusing.close();
      assert.equal({ status, verdict, attempts }, { status: 503, verdict: 'not-run', attempts: 1 });
    },
    {
      configLine: { from: 'retryBudgetShare: 0.1', to: 'retryBudgetShare: 1' },
      upstreamAddress,
    },
  );
});

test('an answer during the drain says that its connection closes', async () => {
  await runWithEntry(SHORT_DRAIN, async (entry) => {
    const agent = new Agent({ keepAlive: true });
    const headers = { 'vanilladock-request-id': 'kept', 'stand-in-work-ms': '500' };
    const url = `http://${entry.callers}/prices/tray`;
    const connection = new Promise<string | undefined>((resolve, reject) => {
      const outgoing = sendRequest(url, { agent, headers });
      outgoing.on('error', reject);
      outgoing.on('response', (answer) => {
        answer.resume();
        resolve(answer.headers.connection);
      });
      outgoing.end();
    });
    await waitFor(() => entry.upstream.getRunCounts().get('kept') === 1);
    entry.child.kill('SIGTERM');
    const value = await connection;
    await entry.exit;
    assert.is(value, 'close');
  });
});

test.run();
