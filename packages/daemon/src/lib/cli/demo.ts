/**
 * The demo: embedded stand-ins and two entries in one process, a publication, and a few requests whose
 * answers and decisions are shown.
 */
import { readFileSync } from 'node:fs';
import { startInstanceServer, startLogServer, startUpstream } from '@vanilladock/stand-ins';
import { parseConfig, type Instance } from 'vanilladock';
import { startEntry } from '../entry.js';
import { createLogClient } from '../platform/log-client.js';
import { parseSettings } from '../settings.js';
import { publishConfig } from './publish.js';

const CONFIG_URL = new URL('../../../../../examples/smokehouse.yaml', import.meta.url);
const UPSTREAMS_PER_SERVICE = 2;
const SLOTS = 8;
const WORK_MS = 5;
const READY_POLL_MS = 20;

const LOCATION = { region: 'tasmania', dataCentre: 'hobart', rack: 'r1' };

/** Starts the upstream stand-ins of the configured services. */
async function startUpstreams(services: readonly string[]) {
  const names = services.flatMap((service) =>
    Array.from({ length: UPSTREAMS_PER_SERVICE }, (_, index) => ({
      service,
      id: `${service}-${index}`,
    })),
  );
  return Promise.all(
    names.map(async ({ service, id }) => {
      const upstream = await startUpstream({ service, slots: SLOTS, workMs: WORK_MS });
      const { address } = upstream;
      const common = {
        role: 'upstream',
        state: 'live',
        location: LOCATION,
        attributes: {},
      } as const;
      const instance: Instance = { id, service, address, ...common };
      return { upstream, instance };
    }),
  );
}

/** Waits until an entry says that it is ready. */
async function waitForReady(operators: string): Promise<void> {
  for (;;) {
    const answer = await fetch(`http://${operators}/ready`);
    if (answer.ok) return;
    await new Promise((resolve) => {
      setTimeout(resolve, READY_POLL_MS);
    });
  }
}

/** Runs the demo; writes what happens to standard output and stops everything that it started. */
export async function runDemo(): Promise<void> {
  const text = readFileSync(CONFIG_URL, 'utf8');
  const config = parseConfig(text).unwrap();
  const logServer = await startLogServer();
  const instanceServer = await startInstanceServer();
  const upstreams = await startUpstreams(config.services.map(({ name }) => name));
  instanceServer.setInstances(upstreams.map(({ instance }) => instance));
  const settings = parseSettings(
    `{ id: entry-1, region: tasmania, dataCentre: hobart, rack: r1, key: demonstration-key-only,
       listen: { callers: "127.0.0.1:0", operators: "127.0.0.1:0", peers: "127.0.0.1:0" },
       platform: { log: "${logServer.address}", instances: "${instanceServer.address}" } }`,
  ).unwrap();
  const entries = await Promise.all(
    ['entry-1', 'entry-2'].map((id) => startEntry({ ...settings, id })),
  );
  const service = createLogClient(logServer.address);
  const fate = await publishConfig(service, { text, base: -1, by: 'demo' });
  process.stdout.write(`publication: ${JSON.stringify(fate)}\n`);
  await Promise.all(entries.map(({ addresses }) => waitForReady(addresses.operators)));
  const calls = config.services.flatMap(({ name }) =>
    entries.map(async ({ addresses }) => {
      const answer = await fetch(`http://${addresses.callers}/${name}/order`, {
        method: 'POST',
        body: 'two trays',
        headers: { 'vanilladock-team': 'fishmongers' },
      });
      process.stdout.write(`${name}: ${answer.status} ${await answer.text()}\n`);
    }),
  );
  await Promise.all(calls);
  await Promise.all(entries.map(({ stop }) => stop()));
  await Promise.all(upstreams.map(({ upstream }) => upstream.close()));
  await Promise.all([logServer.close(), instanceServer.close()]);
}
