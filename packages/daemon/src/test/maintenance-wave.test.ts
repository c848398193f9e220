/**
 * A complete maintenance wave with real daemon processes: every upstream is drained, rebooted and
 * restored under continuous calls, the entry that plans the wave is killed midway, and no request
 * is interrupted.
 */
import { spawn, type ChildProcess } from 'node:child_process';
import { mkdtempSync, readFileSync, rmSync, writeFileSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import {
  startInstanceServer,
  startLogServer,
  startPoolServer,
  startUpstream,
} from '@vanilladock/stand-ins';
import * as assert from 'uvu/assert';
import { suite } from 'uvu';
import type { Instance } from 'vanilladock';
import { publishConfig } from '../lib/cli/publish.js';
import { createLogClient } from '../lib/platform/log-client.js';

const MAIN = new URL('../lib/main.js', import.meta.url).pathname;
const CONFIG = new URL('../../../../examples/smokehouse.yaml', import.meta.url);
const UPSTREAMS = 4;
const ENTRIES = 3;
const CALL_PAUSE_MS = 20;
const WAVE_TIMEOUT_MS = 90_000;
const MAINTENANCE_DUTY = '"maintenance/waves"';

interface RunningEntry {
  readonly child: ChildProcess;
  readonly callers: string;
  readonly peers: string;
  /** Says whether the entry has logged that it holds the maintenance duty. */
  readonly hasPlanned: () => boolean;
}

const waitMs = (ms: number) =>
  new Promise<void>((resolve) => {
    setTimeout(resolve, ms);
  });

const startEntryProcess = (id: string, path: string) =>
  new Promise<RunningEntry>((resolve) => {
    const child = spawn(process.execPath, [MAIN, 'serve', path, '--id', id]);
    let text = '';
    const hasPlanned = () =>
      text
        .split('\n')
        .some((line) => line.includes('"duty-held"') && line.includes(MAINTENANCE_DUTY));
    const handleOutput = (chunk: Buffer) => {
      text += chunk.toString();
      if (process.env.WAVE_LOG) process.stderr.write(chunk);
      const line = text.split('\n').find((row) => row.includes('"event":"started"'));
      if (line === undefined || !line.endsWith('}')) return;
      const addresses = JSON.parse(line) as { callers: string; peers: string };
      resolve({ child, hasPlanned, ...addresses });
    };
    child.stdout.on('data', handleOutput);
    child.stderr.resume();
  });

const makeInstance = (fields: Pick<Instance, 'id' | 'role' | 'address'>, dc: string): Instance => ({
  ...fields,
  ...(fields.role === 'upstream' ? { service: 'prices' } : {}),
  location: { region: 'tasmania', dataCentre: dc, rack: `${dc}-1` },
  state: 'live',
  attributes: {},
});

const test = suite('maintenance wave');

test('every upstream is maintained within its budget and no request is cut', async () => {
  const folder = mkdtempSync(join(tmpdir(), 'wave-'));
  const path = join(folder, 'settings.yaml');
  const log = await startLogServer();
  const instanceServer = await startInstanceServer();
  const pools = await startPoolServer(instanceServer, { rebootMs: 300 });
  const upstreams = await Promise.all(
    Array.from({ length: UPSTREAMS }, () =>
      startUpstream({ service: 'prices', slots: 8, workMs: 30 }),
    ),
  );
  writeFileSync(
    path,
    `{ id: any, region: tasmania, dataCentre: hobart, rack: r1, key: only-for-this-test-run, drainNoticeMs: 0,
       listen: { callers: "127.0.0.1:0", operators: "127.0.0.1:0", peers: "127.0.0.1:0" },
       fleet: { roundMs: 200, lostAfterMs: 60000, settleMs: 500 },
       platform: { log: "${log.address}", instances: "${instanceServer.address}", pools: "${pools.address}" } }`,
  );
  const entries = await Promise.all(
    Array.from({ length: ENTRIES }, (_, index) => startEntryProcess(`entry-${index}`, path)),
  );
  const listed = upstreams.map(({ address }, index) =>
    makeInstance(
      { id: `prices-${index}`, role: 'upstream', address },
      index < UPSTREAMS / 2 ? 'hobart' : 'kingston',
    ),
  );
  const listedEntries = entries.map(({ peers }, index) =>
    makeInstance({ id: `entry-${index}`, role: 'entry', address: peers }, 'hobart'),
  );
  pools.setInstances([...listed, ...listedEntries]);
  const text = readFileSync(CONFIG, 'utf8');
  const logClient = createLogClient(log.address);
  assert.is((await publishConfig(logClient, { text, base: -1, by: 'ada' })).kind, 'accepted');

  let isCalling = true;
  let served = 0;
  const unserved: string[] = [];
  const runCaller = async (entry: RunningEntry) => {
    while (isCalling) {
      const answer = await fetch(`http://${entry.callers}/prices/tray`, {
        method: 'POST',
        body: 'eels',
      }).catch((error: unknown) => error as Error);
      if (answer instanceof Error) unserved.push(answer.message);
      else if (answer.status === 200 || answer.headers.get('vanilladock-code') === 'not-ready') {
        served += answer.status === 200 ? 1 : 0;
        await answer.text();
      } else unserved.push(await answer.text());
      await waitMs(CALL_PAUSE_MS);
    }
  };

  const countRestored = () =>
    new Set(
      pools
        .listOperations()
        .filter(({ operation }) => operation === 'restore')
        .map(({ instanceId }) => instanceId),
    ).size;
  const endMs = performance.now() + WAVE_TIMEOUT_MS;
  let killed: RunningEntry | undefined;
  let callers: readonly Promise<void>[] = [];
  while (countRestored() < UPSTREAMS && performance.now() < endMs) {
    const planner = entries.find(({ hasPlanned }) => hasPlanned());
    if (planner !== undefined && callers.length === 0) {
      callers = entries.filter((entry) => entry !== planner).map(runCaller);
    }
    if (planner !== undefined && killed === undefined && countRestored() >= 1) {
      planner.child.kill('SIGKILL');
      killed = planner;
      const killedIndex = entries.indexOf(planner);
      pools.setInstances([...listed, ...listedEntries.filter((_, index) => index !== killedIndex)]);
    }
    await waitMs(50);
  }
  isCalling = false;
  await Promise.all(callers);
  const operations = pools.listOperations();
  const reboots = operations.filter(({ operation }) => operation === 'reboot');
  const survivors = entries.filter((entry) => entry !== killed);
  const exits = survivors.map(
    ({ child }) =>
      new Promise((resolve) => {
        child.once('exit', resolve);
      }),
  );
  survivors.forEach(({ child }) => child.kill('SIGTERM'));
  assert.equal(await Promise.all(exits), [0, 0]);
  await Promise.all([log.close(), instanceServer.close(), pools.close()]);
  await Promise.all(upstreams.map(({ close }) => close()));
  rmSync(folder, { recursive: true });

  assert.is(countRestored(), UPSTREAMS, JSON.stringify(operations));
  const rebooted = [...new Set(reboots.map(({ instanceId }) => instanceId))].sort();
  assert.equal(rebooted, ['prices-0', 'prices-1', 'prices-2', 'prices-3']);
  assert.ok(
    reboots.length <= UPSTREAMS + 1,
    'only the open permit of the killed planner may repeat',
  );
  assert.ok(
    operations.every(({ unavailable }) => unavailable.length <= 1),
    'one of four instances may be unavailable',
  );
  assert.equal(unserved, []);
  assert.ok(served > 0);
});

test.run();
