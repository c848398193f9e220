/**
 * A small fleet for load measurements: stand-ins in this process, entries and callers in child
 * processes.
 */
import { waitMs } from '@vanilladock/daemon/lib/servers.js';
import { readFileSync } from 'node:fs';
import { publishConfig } from '@vanilladock/daemon/lib/cli/publish.js';
import { createLogClient } from '@vanilladock/daemon/lib/platform/log-client.js';
import {
  startInstanceServer,
  startLogServer,
  startUpstream,
  type CallPlan,
  type CallResult,
  type Upstream,
} from '@vanilladock/stand-ins';
import type { Instance } from 'vanilladock';
import { parse, stringify } from 'yaml';
import { startEntryProcess, startNodeProcess } from './processes.js';

/** Options of a fleet. */
export interface FleetOptions {
  readonly services: readonly string[];
  readonly teams: readonly string[];
  readonly entries: number;
  readonly upstreamsPerService: number;
  /** Time that an upstream takes for each request. */
  readonly workMs: number;
  /**
   * Limit of requests in progress at one baseline entry: its share of a service's slots, or none.
   */
  readonly baselineLimit: 'share' | 'none';
}

/** A running fleet. */
export interface Fleet {
  /** Addresses of the entries for callers. */
  readonly entries: readonly string[];
  /** Addresses of the baseline entries. */
  readonly baselines: readonly string[];
  /** Requests a second that the upstreams serve together. */
  readonly capacityPerSecond: number;
  readonly listUpstreams: () => readonly Upstream[];
  readonly stop: () => Promise<void>;
}

/** Load that several caller processes send. */
export interface LoadOptions {
  readonly name: string;
  readonly seed: number;
  readonly entries: readonly string[];
  readonly plans: readonly CallPlan[];
  readonly limitMs: number;
}

const CONFIG_URL = new URL('../../../../examples/smokehouse.yaml', import.meta.url);
const BASELINE_MAIN = new URL('./herd-baseline.js', import.meta.url).pathname;
const CALLER_MAIN = new URL('../../../stand-ins/dist/lib/caller-main.js', import.meta.url).pathname;
const LOCATION = { region: 'tasmania', dataCentre: 'hobart', rack: 'r1' };
const CALLER_PROCESSES = 4;
const CALLER_START_DELAY_MS = 700;
const READY_POLL_MS = 50;
const SETTLE_MS = 2_500;

/** Slots of one upstream process. */
export const SLOTS = 8;

/** Builds the configuration of a fleet from the example's defaults. */
function buildConfig({ services, teams }: FleetOptions): string {
  const example = parse(readFileSync(CONFIG_URL, 'utf8')) as Record<string, unknown>;
  const defaults = example.defaults as Record<string, unknown>;
  return stringify({
    ...example,
    services: services.map((name) => ({ name, pool: 'counter', urgency: 'quick' })),
    teams: teams.map((name) => ({ name })),
    defaults: { ...defaults, slots: SLOTS, quotaPerSecond: 1_000_000 },
    exceptions: [],
  });
}

/** Makes the instance of an upstream for the instance list. */
function makeInstance(id: string, service: string, address: string): Instance {
  const common = { location: LOCATION, state: 'live', attributes: {} } as const;
  return { id, role: 'upstream', service, address, ...common };
}

/** Makes the instance of an entry for the instance list. */
function makeEntryInstance(id: string, peers: string): Instance {
  const common = { location: LOCATION, state: 'live', attributes: {} } as const;
  return { id, role: 'entry', address: peers, ...common };
}

/** Waits until an entry is ready, without a time limit; rejects when it can't be reached. */
async function waitForReady(operators: string): Promise<void> {
  for (;;) {
    const answer = await fetch(`http://${operators}/ready`);
    if (answer.ok) return;
    await waitMs(READY_POLL_MS);
  }
}

/**
 * Starts the upstreams, the entries and as many baseline entries, publishes the configuration, waits
 * until all entries are ready, without a time limit, and then another 2.5 s.
 */
export async function startFleet(options: FleetOptions): Promise<Fleet> {
  const log = await startLogServer();
  const list = await startInstanceServer();
  const slots = options.upstreamsPerService * SLOTS;
  const upstreams = await Promise.all(
    options.services.flatMap((service) =>
      Array.from({ length: options.upstreamsPerService }, async (_, index) => {
        const upstream = await startUpstream({ service, slots: SLOTS, workMs: options.workMs });
        return {
          upstream,
          instance: makeInstance(`${service}-${index}`, service, upstream.address),
        };
      }),
    ),
  );
  const upstreamInstances = upstreams.map(({ instance }) => instance);
  const ids = Array.from({ length: options.entries }, (_, index) => `entry-${index}`);
  const platform = { log: log.address, instances: list.address };
  const entries = await Promise.all(
    ids.map((id) => startEntryProcess({ id, platform, logLevel: 'info' })),
  );
  const entryInstances = entries.map(({ addresses }, index) =>
    makeEntryInstance(ids[index] ?? '', addresses.peers ?? ''),
  );
  list.setInstances([...upstreamInstances, ...entryInstances]);
  const limit = options.baselineLimit === 'share' ? Math.ceil(slots / options.entries) : 0;
  const baselineArgs = JSON.stringify({ limit, upstreams: upstreamInstances });
  const baselines = await Promise.all(
    ids.map(() => startNodeProcess(BASELINE_MAIN, [baselineArgs])),
  );
  const text = buildConfig(options);
  await publishConfig(createLogClient(log.address), { text, base: -1, by: 'measure' });
  await Promise.all(entries.map(({ addresses }) => waitForReady(addresses.operators)));
  await waitMs(SETTLE_MS);
  return {
    entries: entries.map(({ addresses }) => addresses.callers),
    baselines: baselines.map(({ started }) => String(started.address)),
    capacityPerSecond: (options.services.length * slots * 1_000) / options.workMs,
    listUpstreams: () => upstreams.map(({ upstream }) => upstream),
    stop: async () => {
      await Promise.all([...entries, ...baselines].map((process) => process.stop('SIGKILL')));
      await Promise.all(upstreams.map(({ upstream }) => upstream.close()));
      await Promise.all([log.close(), list.close()]);
    },
  };
}

/** Sends calls from several processes that start at the same time; resolves to all results. */
export async function runLoad(load: LoadOptions): Promise<readonly CallResult[]> {
  const startAtDateMs = Date.now() + CALLER_START_DELAY_MS;
  const processes = await Promise.all(
    Array.from({ length: CALLER_PROCESSES }, (_, index) => {
      const plans = load.plans.map((plan) => ({
        ...plan,
        calls: Math.floor((plan.calls + index) / CALLER_PROCESSES),
      }));
      const name = `${load.name}-${index}`;
      const options = { ...load, name, plans, seed: load.seed * CALLER_PROCESSES + index };
      return startNodeProcess(CALLER_MAIN, [JSON.stringify({ ...options, startAtDateMs })]);
    }),
  );
  const lines = await Promise.all(processes.map(({ waitForEvent }) => waitForEvent('results')));
  await Promise.all(processes.map(({ exited }) => exited));
  return lines.flatMap(({ results }) => results as readonly CallResult[]);
}

/** Counts the runs that the upstreams recorded for each attempt id. */
export function countRuns(fleet: Fleet): ReadonlyMap<string, number> {
  const runs = new Map<string, number>();
  fleet
    .listUpstreams()
    .forEach((upstream) =>
      upstream.getRunCounts().forEach((times, id) => runs.set(id, (runs.get(id) ?? 0) + times)),
    );
  return runs;
}
