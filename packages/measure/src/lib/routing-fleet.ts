/**
 * A small fleet for routing measurements: entries and upstreams of the service `prices` in child
 * processes, optionally with a fault-injecting proxy before each upstream, and a published
 * configuration. Upstreams record their runs in files, which survive when an upstream is killed.
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

/** The service that all upstreams of the fleet serve. */
export const FLEET_SERVICE = 'prices';

/** One upstream process, with its proxy if it has one. */
export interface FleetUpstream {
  readonly id: string;
  readonly process: StandInProcess;
  readonly proxy: FaultProxy | undefined;
}

/** One entry process. */
export interface FleetEntry extends EntryProcess {
  readonly id: string;
}

/** Options of a fleet. */
export interface FleetOptions {
  readonly entries: number;
  readonly upstreams: number;
  /** Slots of each upstream. */
  readonly slots: number;
  /** Whether a fault-injecting proxy is placed before each upstream. */
  readonly hasProxies: boolean;
  /** Whether upstreams record every run in a file. */
  readonly hasRunLogs: boolean;
}

/** A running fleet. */
export interface Fleet {
  readonly listEntries: () => readonly FleetEntry[];
  readonly listUpstreams: () => readonly FleetUpstream[];
  /** Starts another entry and waits until it is ready. */
  readonly addEntry: () => Promise<FleetEntry>;
  readonly addUpstream: () => Promise<FleetUpstream>;
  /** Sets an instance's state in the platform's instance list; `gone` removes the instance. */
  readonly setListed: (id: string, state: InstanceState | 'gone') => void;
  /**
   * Removes a process that has ended or is about to end from the fleet; `close` won't stop it then.
   */
  readonly dropProcess: (id: string) => void;
  /** Number of runs by request id, over all upstreams ever started. */
  readonly readRunCounts: () => ReadonlyMap<string, number>;
  readonly close: () => Promise<void>;
}

const CONFIG_URL = new URL('../../../../examples/smokehouse.yaml', import.meta.url);
const LOCATION = { region: 'tasmania', dataCentre: 'hobart', rack: 'r1' };
const READY_POLL_MS = 20;
const MAX_READY_POLLS = 500;

/**
 * Says whether an entry reports that it is ready; false also when it can't be reached. `operators`
 * is the entry's address for operators, `ip:port`.
 */
export async function isReady(operators: string): Promise<boolean> {
  try {
    return (await fetch(`http://${operators}/ready`)).ok;
  } catch {
    return false;
  }
}

/** Waits until an entry is ready; throws after about 10 s. */
async function waitForReady(operators: string): Promise<void> {
  for (let polls = 0; polls < MAX_READY_POLLS; polls += 1) {
    if (await isReady(operators)) return;
    await waitMs(READY_POLL_MS);
  }
  throw new Error(`the entry at ${operators} did not become ready`);
}

/** Reads the example configuration, with quotas so high that a measurement never reaches them. */
function readConfigText(): string {
  return readFileSync(CONFIG_URL, 'utf8').replace(/quotaPerSecond: \d+/, 'quotaPerSecond: 1000000');
}

/** Adds the request ids of a run file, one a line, to the counts. */
function addRecordedRuns(path: string, runCounts: Map<string, number>): void {
  readFileSync(path, { encoding: 'utf8', flag: 'a+' })
    .split('\n')
    .filter((id) => id !== '')
    .forEach((id) => runCounts.set(id, (runCounts.get(id) ?? 0) + 1));
}

/** Starts a fleet and publishes its configuration. */
export async function startRoutingFleet(options: FleetOptions): Promise<Fleet> {
  const folder = mkdtempSync(join(tmpdir(), 'vanilladock-ledgers-'));
  const logServer = await startLogServer();
  const instanceServer = await startInstanceServer();
  const platform = { log: logServer.address, instances: instanceServer.address };
  const faultedIds = new Set<string>();
  const entries = new Map<string, FleetEntry>();
  const upstreams = new Map<string, FleetUpstream>();
  const listed = new Map<string, Instance>();
  const runLogPaths: string[] = [];
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
    const runLogPath = join(folder, id);
    if (options.hasRunLogs) runLogPaths.push(runLogPath);
    const process = await startUpstreamProcess({
      service: FLEET_SERVICE,
      slots: options.slots,
      workMs: 0,
      ...(options.hasRunLogs ? { ledgerPath: runLogPath } : {}),
    });
    const proxy = options.hasProxies
      ? await startFaultProxy(process.address, faultedIds)
      : undefined;
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
    readRunCounts: () => {
      const runCounts = new Map<string, number>();
      runLogPaths.forEach((path) => addRecordedRuns(path, runCounts));
      return runCounts;
    },
    close: async () => {
      const processes = [
        ...entries.values(),
        ...[...upstreams.values()].map((upstream) => upstream.process),
      ];
      await Promise.all(processes.map((process) => process.stop('SIGKILL')));
      await Promise.all(proxies.map((proxy) => proxy.close()));
      await Promise.all([logServer.close(), instanceServer.close()]);
      rmSync(folder, { recursive: true });
    },
  };
}
