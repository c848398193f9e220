/**
 * A small fleet for measurements of routing: entries and upstreams of the service `prices` as processes
 * of their own, each upstream behind a fault-injecting proxy when asked for, and a published
 * configuration. Ledgers are files, so they outlast a killed upstream.
 */
import { waitMs } from '@vanilladock/daemon/lib/servers.js';
import { mkdtempSync, readFileSync, rmSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { publishConfig } from '@vanilladock/daemon/lib/cli/publish.js';
import { createLogClient } from '@vanilladock/daemon/lib/platform/log-client.js';
import {
  startFaultProxy,
  startInstanceServer,
  startLogServer,
  type FaultProxy,
} from '@vanilladock/stand-ins';
import type { Instance, InstanceState } from 'vanilladock';
import {
  startEntryProcess,
  startUpstreamProcess,
  type EntryProcess,
  type StandInProcess,
} from './processes.js';

/** The service whose upstreams the fleet has. */
export const FLEET_SERVICE = 'prices';

/** One upstream process. */
export interface FleetUpstream {
  readonly id: string;
  readonly process: StandInProcess;
  readonly proxy: FaultProxy | undefined;
}

/** One entry process. */
export interface FleetEntry extends EntryProcess {
  readonly id: string;
}

/** What a fleet is started with. */
export interface FleetOptions {
  readonly entries: number;
  readonly upstreams: number;
  readonly slots: number;
  readonly hasProxies: boolean;
  /** Whether every run is written to a ledger file. */
  readonly hasLedgers: boolean;
}

/** A running fleet. */
export interface Fleet {
  readonly listEntries: () => readonly FleetEntry[];
  readonly listUpstreams: () => readonly FleetUpstream[];
  /** Starts one more entry and waits until it is ready. */
  readonly addEntry: () => Promise<FleetEntry>;
  readonly addUpstream: () => Promise<FleetUpstream>;
  /** Changes what the platform's list says of an upstream. */
  readonly setListed: (id: string, state: InstanceState | 'gone') => void;
  /** Forgets a process that has ended. */
  readonly dropProcess: (id: string) => void;
  /** Times that each request id ran, over all upstreams that ever were. */
  readonly readLedger: () => ReadonlyMap<string, number>;
  readonly close: () => Promise<void>;
}

const CONFIG_URL = new URL('../../../../examples/smokehouse.yaml', import.meta.url);
const LOCATION = { region: 'tasmania', dataCentre: 'hobart', rack: 'r1' };
const READY_POLL_MS = 20;
const READY_POLLS = 500;

/** Says whether an entry is ready. */
export async function isReady(operators: string): Promise<boolean> {
  try {
    return (await fetch(`http://${operators}/ready`)).ok;
  } catch {
    return false;
  }
}

/** Waits until an entry is ready. */
async function waitForReady(operators: string): Promise<void> {
  for (let tries = 0; tries < READY_POLLS; tries += 1) {
    if (await isReady(operators)) return;
    await waitMs(READY_POLL_MS);
  }
  throw new Error(`the entry at ${operators} did not become ready`);
}

/** Reads the example configuration with quotas that a measurement does not meet. */
function readConfigText(): string {
  return readFileSync(CONFIG_URL, 'utf8').replace(/quotaPerSecond: \d+/, 'quotaPerSecond: 1000000');
}

/** Counts the lines of a ledger file. */
function addLedger(path: string, ran: Map<string, number>): void {
  readFileSync(path, { encoding: 'utf8', flag: 'a+' })
    .split('\n')
    .filter((id) => id !== '')
    .forEach((id) => ran.set(id, (ran.get(id) ?? 0) + 1));
}

/** Starts a fleet and publishes its configuration. */
export async function startRoutingFleet(options: FleetOptions): Promise<Fleet> {
  const folder = mkdtempSync(join(tmpdir(), 'vanilladock-ledgers-'));
  const logServer = await startLogServer();
  const instanceServer = await startInstanceServer();
  const platform = { log: logServer.address, instances: instanceServer.address };
  const struck = new Set<string>();
  const entries = new Map<string, FleetEntry>();
  const upstreams = new Map<string, FleetUpstream>();
  const listed = new Map<string, Instance>();
  const ledgers: string[] = [];
  const proxies: FaultProxy[] = [];
  let started = 0;

  const publishList = () => instanceServer.setInstances([...listed.values()]);
  const listInstance = (instance: Pick<Instance, 'id' | 'role' | 'address' | 'service'>) => {
    listed.set(instance.id, { ...instance, location: LOCATION, state: 'live', attributes: {} });
    publishList();
  };
  const addEntry = async () => {
    started += 1;
    const id = `entry-${started}`;
    const entry = { ...(await startEntryProcess({ id, platform })), id };
    entries.set(id, entry);
    listInstance({ id, role: 'entry', address: entry.addresses.peers ?? '' });
    return entry;
  };
  const addUpstream = async () => {
    started += 1;
    const id = `${FLEET_SERVICE}-${started}`;
    const ledgerPath = join(folder, id);
    if (options.hasLedgers) ledgers.push(ledgerPath);
    const process = await startUpstreamProcess({
      service: FLEET_SERVICE,
      slots: options.slots,
      workMs: 0,
      ...(options.hasLedgers ? { ledgerPath } : {}),
    });
    const proxy = options.hasProxies ? await startFaultProxy(process.address, struck) : undefined;
    if (proxy !== undefined) proxies.push(proxy);
    const upstream = { id, process, proxy };
    upstreams.set(id, upstream);
    const address = proxy?.address ?? process.address;
    listInstance({ id, role: 'upstream', service: FLEET_SERVICE, address });
    return upstream;
  };

  await Promise.all(Array.from({ length: options.upstreams }, addUpstream));
  const text = readConfigText();
  await publishConfig(createLogClient(logServer.address), { text, base: -1, by: 'measure' });
  const firstEntries = await Promise.all(Array.from({ length: options.entries }, addEntry));
  await Promise.all(firstEntries.map(({ addresses }) => waitForReady(addresses.operators)));
  return {
    listEntries: () => [...entries.values()],
    listUpstreams: () => [...upstreams.values()],
    addEntry: async () => {
      const entry = await addEntry();
      await waitForReady(entry.addresses.operators);
      return entry;
    },
    addUpstream,
    setListed: (id, state) => {
      const instance = listed.get(id);
      if (state === 'gone') listed.delete(id);
      else if (instance !== undefined) listed.set(id, { ...instance, state });
      publishList();
    },
    dropProcess: (id) => {
      entries.delete(id);
      upstreams.delete(id);
    },
    readLedger: () => {
      const ran = new Map<string, number>();
      ledgers.forEach((path) => addLedger(path, ran));
      return ran;
    },
    close: async () => {
      const processes = [...entries.values(), ...[...upstreams.values()].map((one) => one.process)];
      await Promise.all(processes.map((one) => one.stop('SIGKILL')));
      await Promise.all(proxies.map((proxy) => proxy.close()));
      await Promise.all([logServer.close(), instanceServer.close()]);
      rmSync(folder, { recursive: true });
    },
  };
}
