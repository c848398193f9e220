/**
 * A whole maintenance wave with real daemon processes: every upstream is drained, rebooted and restored
 * once while callers go on, one entry is killed in the middle, and no request is cut.
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
const LIMIT_MS = 60_000;

interface RunningEntry {
  readonly child: ChildProcess;
  readonly callers: string;
  readonly peers: string;
}

const waitMs = (ms: number) =>
  new Promise<void>((resolve) => {
    setTimeout(resolve, ms);
  });

const startEntryProcess = (id: string, path: string) =>
  new Promise<RunningEntry>((resolve) => {
    const child = spawn(process.execPath, [MAIN, 'serve', path, '--id', id]);
    let text = '';
    const handleOutput = (chunk: Buffer) => {
      text += chunk.toString();
      const line = text.split('\n').find((one) => one.includes('"event":"started"'));
      if (line === undefined || !line.endsWith('}')) return;
      child.stdout.off('data', handleOutput);
      child.stdout.resume();
      resolve({ child, ...(JSON.parse(line) as { callers: string; peers: string }) });
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

test('every upstream is maintained once, within its budget, and no request is cut', async () => {
  const folder = mkdtempSync(join(tmpdir(), 'wave-'));
  const path = join(folder, 'settings.yaml');
  const log = await startLogServer();
  const list = await startInstanceServer();
  const pools = await startPoolServer(list, { rebootMs: 300 });
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
       platform: { log: "${log.address}", instances: "${list.address}", pools: "${pools.address}" } }`,
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
  const service = createLogClient(log.address);
  assert.is((await publishConfig(service, { text, base: -1, by: 'ada' })).kind, 'accepted');

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
  const callers = entries.slice(1).map(runCaller);

  const countRestored = () =>
    new Set(
      pools
        .listOperations()
        .filter(({ operation }) => operation === 'restore')
        .map(({ instanceId }) => instanceId),
    ).size;
  const endMs = performance.now() + LIMIT_MS;
  let isKilled = false;
  while (countRestored() < UPSTREAMS && performance.now() < endMs) {
    if (!isKilled && countRestored() >= 1) {
      entries[0]?.child.kill('SIGKILL');
      pools.setInstances([...listed, ...listedEntries.slice(1)]);
      isKilled = true;
    }
    await waitMs(50);
  }
  isCalling = false;
  await Promise.all(callers);
  const operations = pools.listOperations();
  const reboots = operations.filter(({ operation }) => operation === 'reboot');
  const others = entries.slice(1);
  const exits = others.map(
    ({ child }) =>
      new Promise((resolve) => {
        child.once('exit', resolve);
      }),
  );
  others.forEach(({ child }) => child.kill('SIGTERM'));
  assert.equal(await Promise.all(exits), [0, 0]);
  await Promise.all([log.close(), list.close(), pools.close()]);
  await Promise.all(upstreams.map(({ close }) => close()));
  rmSync(folder, { recursive: true });

  assert.is(countRestored(), UPSTREAMS, JSON.stringify(operations));
  assert.equal(reboots.map(({ instanceId }) => instanceId).sort(), [
    'prices-0',
    'prices-1',
    'prices-2',
    'prices-3',
  ]);
  assert.ok(
    operations.every(({ unavailable }) => unavailable.length <= 1),
    'one of four instances may be unavailable',
  );
  assert.equal(unserved, []);
  assert.ok(served > 0);
});

test.run();
