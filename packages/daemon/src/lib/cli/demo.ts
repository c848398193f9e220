/**
 * `demo`: runs two entries with simulated platform services and upstreams in one process. Publishes
 * a configuration, then sends requests continuously while a maintenance wave reboots every upstream
 * once.
 */
import { readFileSync } from 'node:fs';
import {
  startInstanceServer,
  startLogServer,
  startPoolServer,
  startUpstream,
  type PoolServer,
} from '@vanilladock/stand-ins';
import { parseConfig, type Instance } from 'vanilladock';
import { startEntry, type Entry } from '../entry.js';
import { createLogClient } from '../platform/log-client.js';
import { waitMs } from '../servers.js';
import { parseSettings, type Settings } from '../settings.js';
import { publishConfig } from './publish.js';

const CONFIG_URL = new URL('../../../../../examples/smokehouse.yaml', import.meta.url);
const DATA_CENTRES = ['hobart', 'kingston'] as const;
const SLOTS = 8;
const WORK_MS = 20;
const REBOOT_MS = 300;
const CALL_PAUSE_MS = 400;
const READY_POLL_MS = 20;
const WAVE_TIMEOUT_MS = 60_000;

/** Numbers of requests served and failed, over all callers of the demo. */
interface CallCounts {
  served: number;
  failed: number;
}

/** Builds an instance as the instance list holds it. */
function makeInstance(
  fields: Pick<Instance, 'id' | 'role' | 'address'> & { readonly service?: string },
  dataCentre: string,
): Instance {
  const location = { region: 'tasmania', dataCentre, rack: `${dataCentre}-1` };
  return { ...fields, location, state: 'live', attributes: {} };
}

/** Starts one simulated upstream of each service in each data centre. */
async function startUpstreams(services: readonly string[]) {
  const placements = services.flatMap((service) =>
    DATA_CENTRES.map((dataCentre) => ({ service, dataCentre })),
  );
  return Promise.all(
    placements.map(async ({ service, dataCentre }) => {
      const upstream = await startUpstream({ service, slots: SLOTS, workMs: WORK_MS });
      const { address } = upstream;
      const id = `${service}-${dataCentre}`;
      const instance = makeInstance({ id, role: 'upstream', address, service }, dataCentre);
      return { upstream, instance };
    }),
  );
}

/** Builds the settings that the demo's entries share, apart from the id. */
function buildSettings(log: string, instances: string, pools: string): Settings {
  const anyPort = '"127.0.0.1:0"';
  return parseSettings(
    `{ id: entry, region: tasmania, dataCentre: hobart, rack: r1, key: demonstration-key-only,
       drainNoticeMs: 0, fleet: { roundMs: 200, settleMs: 2500 },
       listen: { callers: ${anyPort}, operators: ${anyPort}, peers: ${anyPort} },
       platform: { log: "${log}", instances: "${instances}", pools: "${pools}" } }`,
  ).unwrap();
}

/** Polls an entry until it is ready. */
async function waitForReady({ addresses }: Entry): Promise<void> {
  for (;;) {
    const answer = await fetch(`http://${addresses.operators}/ready`);
    if (answer.ok) return;
    await waitMs(READY_POLL_MS);
  }
}

/** Sends requests to all services in turn through one entry while `isCalling` returns true. */
async function runCaller(
  { addresses }: Entry,
  services: readonly string[],
  counts: CallCounts,
  isCalling: () => boolean,
): Promise<void> {
  for (let index = 0; isCalling(); index += 1) {
    const service = services[index % services.length];
    const answer = await fetch(`http://${addresses.callers}/${service}/order`, {
      method: 'POST',
      body: 'two trays',
      headers: { 'vanilladock-team': 'fishmongers' },
    });
    await answer.text();
    if (answer.ok) counts.served += 1;
    else counts.failed += 1;
    await waitMs(CALL_PAUSE_MS);
  }
}

/**
 * Waits until all instances are restored after their reboots or a time limit passes; returns how
 * many are.
 */
async function waitForWave(pools: PoolServer, expectedCount: number): Promise<number> {
  const endMs = performance.now() + WAVE_TIMEOUT_MS;
  const listRestored = () =>
    new Set(
      pools
        .listOperations()
        .filter(({ operation }) => operation === 'restore')
        .map(({ instanceId }) => instanceId),
    );
  while (listRestored().size < expectedCount && performance.now() < endMs)
    await waitMs(READY_POLL_MS);
  return listRestored().size;
}

/** Runs the demo, reports its results on standard output and stops everything that it started. */
export async function runDemo(): Promise<void> {
  const text = readFileSync(CONFIG_URL, 'utf8');
  const services = parseConfig(text)
    .unwrap()
    .services.map(({ name }) => name);
  const logServer = await startLogServer();
  const instanceServer = await startInstanceServer();
  const pools = await startPoolServer(instanceServer, { rebootMs: REBOOT_MS });
  const upstreams = await startUpstreams(services);
  const settings = buildSettings(logServer.address, instanceServer.address, pools.address);
  const ids = ['entry-1', 'entry-2'];
  const entries = await Promise.all(ids.map((id) => startEntry({ ...settings, id })));
  const listed = entries.map(({ addresses }, index) =>
    makeInstance({ id: ids[index] ?? '', role: 'entry', address: addresses.peers }, 'hobart'),
  );
  pools.setInstances([...upstreams.map(({ instance }) => instance), ...listed]);
  const service = createLogClient(logServer.address);
  const answer = await publishConfig(service, { text, base: -1, by: 'demo' });
  process.stdout.write(`publication: ${JSON.stringify(answer)}\n`);
  await Promise.all(entries.map(waitForReady));

  const counts: CallCounts = { served: 0, failed: 0 };
  let isCalling = true;
  const callers = entries.map((entry) => runCaller(entry, services, counts, () => isCalling));
  const maintained = await waitForWave(pools, upstreams.length);
  isCalling = false;
  await Promise.all(callers);
  process.stdout.write(
    `wave: ${maintained} of ${upstreams.length} upstreams maintained; requests: ${counts.served} served, ${counts.failed} failed\n`,
  );
  await Promise.all(entries.map(({ stop }) => stop()));
  await Promise.all(upstreams.map(({ upstream }) => upstream.close()));
  await Promise.all([logServer.close(), instanceServer.close(), pools.close()]);
}
