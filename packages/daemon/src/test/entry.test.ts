/** End-to-end test of a daemon process: publication, request, answer and graceful stop. */
import { spawn, type ChildProcess } from 'node:child_process';
import { mkdtempSync, readFileSync, rmSync, writeFileSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { startInstanceServer, startLogServer, startUpstream } from '@vanilladock/stand-ins';
import * as assert from 'uvu/assert';
import { suite } from 'uvu';
import { publishConfig } from '../lib/cli/publish.js';
import { createLogClient } from '../lib/platform/log-client.js';

const MAIN = new URL('../lib/main.js', import.meta.url).pathname;
const CONFIG = new URL('../../../../examples/smokehouse.yaml', import.meta.url);
const LOCATION = { region: 'tasmania', dataCentre: 'hobart', rack: 'r1' };

/** Resolves to the first log line of a daemon with the given event. */
const waitForEvent = (child: ChildProcess, event: string) =>
  new Promise<Readonly<Record<string, string>>>((resolve) => {
    let text = '';
    child.stdout?.on('data', (chunk: Buffer) => {
      text += chunk.toString();
      const line = text.split('\n').find((candidate) => candidate.includes(`"event":"${event}"`));
      if (line?.endsWith('}')) resolve(JSON.parse(line) as Record<string, string>);
    });
  });

const test = suite('entry');

test('after a publication the daemon forwards a request, and SIGTERM stops it gracefully', async () => {
  const logServer = await startLogServer();
  const instances = await startInstanceServer();
  const upstream = await startUpstream({ service: 'prices', slots: 8, workMs: 1 });
  instances.setInstances([
    {
      id: 'prices-0',
      role: 'upstream',
      service: 'prices',
      address: upstream.address,
      location: LOCATION,
      state: 'live',
      attributes: {},
    },
  ]);
  const folder = mkdtempSync(join(tmpdir(), 'entry-'));
  const path = join(folder, 'settings.yaml');
  const listen = '{ callers: "127.0.0.1:0", operators: "127.0.0.1:0", peers: "127.0.0.1:0" }';
  const platform = `{ log: "${logServer.address}", instances: "${instances.address}" }`;
  writeFileSync(
    path,
    `id: entry-1\nregion: tasmania\ndataCentre: hobart\nrack: r1\nkey: only-for-this-test-run\nlisten: ${listen}\nplatform: ${platform}\n`,
  );
  const child = spawn(process.execPath, [MAIN, 'serve', path]);
  const started = await waitForEvent(child, 'started');
  const inForce = waitForEvent(child, 'config-in-force');
  const text = readFileSync(CONFIG, 'utf8');
  const service = createLogClient(logServer.address);
  const publication = await publishConfig(service, { text, base: -1, by: 'ada' });
  assert.is(publication.kind, 'accepted');
  await inForce;
  const answer = await fetch(`http://${started.callers}/prices/tray`, {
    method: 'POST',
    body: 'eels',
    headers: { 'vanilladock-team': 'restaurants', 'vanilladock-request-id': 'order-1' },
  });
  assert.is(answer.status, 200);
  assert.equal(await answer.json(), { service: 'prices', id: 'order-1', length: 4 });
  assert.is(upstream.getRunCounts().get('order-1'), 1);
  const exit = new Promise((resolve) => {
    child.once('exit', resolve);
  });
  child.kill('SIGTERM');
  assert.is(await exit, 0);
  rmSync(folder, { recursive: true });
  await Promise.all([logServer.close(), instances.close(), upstream.close()]);
});

test.run();
