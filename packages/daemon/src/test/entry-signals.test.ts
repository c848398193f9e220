/** Signals that reach an entry more than once, or before its start has finished. */
import { rmSync } from 'node:fs';
import { dirname } from 'node:path';
import { startInstanceServer, startLogServer } from '@vanilladock/stand-ins';
import * as assert from 'uvu/assert';
import { suite } from 'uvu';
import { createOutput } from '../lib/cli/output.js';
import { serveEntry } from '../lib/cli/serve.js';
import { waitMs } from '../lib/servers.js';
import { runWithEntry, writeSettings } from './entry-process.js';
import { sendCall, waitFor } from './routing-harness.js';

const test = suite('entry-signals');
const WORK_MS = 1_200;
/** Time within which an entry without requests in progress has stopped, in milliseconds. */
const STOP_LIMIT_MS = 8_000;

(['SIGTERM', 'SIGINT', 'SIGHUP'] as const).forEach((second) => {
  test(`${second} after SIGTERM does not cut the requests in progress`, async () => {
    await runWithEntry('drainNoticeMs: 0', async (entry) => {
      const pending = sendCall(entry.callers, {
        id: 'slow',
        headers: { 'stand-in-work-ms': String(WORK_MS) },
      });
      await waitFor(() => entry.upstream.getRunCounts().get('slow') === 1);
      entry.child.kill('SIGTERM');
      await waitMs(200);
      entry.child.kill(second);
      const { status } = await pending;
      const { code, signal } = await entry.exit;
      const lastEvent = entry.listLines().at(-1)?.event;
      assert.equal({ status, code, signal }, { status: 200, code: 0, signal: null });
      assert.is(lastEvent, 'stopped');
    });
  });
});

test('SIGTERM before the start has finished stops the entry gracefully', async () => {
  const logServer = await startLogServer();
  const instances = await startInstanceServer();
  const path = writeSettings(
    logServer.address,
    instances.address,
    'drainNoticeMs: 0\nlogLevel: silent',
  );
  const served = serveEntry(path, [], createOutput(false));
  const isHandled = process.emit('SIGTERM', 'SIGTERM');
  const code = await Promise.race([served, waitMs(STOP_LIMIT_MS).then(() => 'still running')]);
  if (code === 'still running') process.emit('SIGTERM', 'SIGTERM');
  await served;
  rmSync(dirname(path), { recursive: true });
  await Promise.all([logServer.close(), instances.close()]);
  assert.ok(isHandled, 'the signal has the default effect, which kills the process');
  assert.is(code, 0);
});

test.run();
