/**
 * The entries of the measurement `config` as child processes: their start and replacement, and a
 * poller of the configuration version that each of them serves.
 */
import type { InstanceServer } from '@vanilladock/stand-ins';
import { createCatchUpClient } from '@vanilladock/daemon/lib/peers/catch-up-client.js';
import type { Instance } from 'vanilladock';
import { MEASURE_KEY, startEntryProcess, type EntryProcess } from './processes.js';

/** A configuration version observed at one entry. */
export interface ObservedVersion {
  readonly version: number;
  /** When the answer with this version was received; monotonic, in milliseconds. */
  readonly atMs: number;
}

/** The entries under measurement; an entry keeps its index when its process is replaced. */
export interface ConfigFleet {
  /** Peer addresses of all entries. */
  readonly listPeers: () => readonly string[];
  /**
   * Waits until every entry serves the version or a newer one. Resolves to the time at which the
   * last entry was observed to do so, monotonic in milliseconds, or to Infinity after `limitMs`.
   */
  readonly waitForVersion: (version: number, limitMs: number) => Promise<number>;
  /** Observations of an entry that served an older version than it had served before. */
  readonly countReverts: () => number;
  /** The newest version observed at each entry since its last replacement; -1 without one. */
  readonly listVersions: () => readonly number[];
  /** Stops an entry's process by the signal and starts a new one. */
  readonly replaceEntry: (index: number, signal: NodeJS.Signals) => Promise<void>;
  /** Kills the processes of all entries at once, then starts new ones. */
  readonly replaceAll: () => Promise<void>;
  readonly stop: () => Promise<void>;
}

const POLL_MS = 20;
const NOT_OBSERVED: ObservedVersion = { version: -1, atMs: 0 };

/** Builds the platform's instance list, by which entries discover their peers. */
function buildInstances(entries: readonly EntryProcess[]): readonly Instance[] {
  const location = { region: 'tasmania', dataCentre: 'hobart', rack: 'r1' };
  const common = { role: 'entry', location, state: 'live', attributes: {} } as const;
  return entries.map(({ addresses }, index) => ({
    ...common,
    id: `entry-${index}`,
    address: addresses.peers ?? '',
  }));
}

/** Starts entries and polls them; they discover one another only when `list` is given. */
export async function startConfigFleet(
  count: number,
  platform: { readonly log: string; readonly instances: string },
  list: InstanceServer | undefined,
): Promise<ConfigFleet> {
  const client = createCatchUpClient(MEASURE_KEY);
  const observed = Array.from({ length: count }, () => NOT_OBSERVED);
  const servedVersions = Array.from({ length: count }, () => -1);
  let reverts = 0;
  let isStopped = false;

  const startEntry = (index: number) =>
    startEntryProcess({ id: `entry-${index}`, platform, drainNoticeMs: 1 });
  const entries: EntryProcess[] = await Promise.all(observed.map((_, index) => startEntry(index)));
  const updateList = () => list?.setInstances(buildInstances(entries));
  const observeVersion = (index: number, version: number) => {
    if (version < (servedVersions[index] ?? -1)) reverts += 1;
    servedVersions[index] = Math.max(version, servedVersions[index] ?? -1);
    if (version > (observed[index]?.version ?? -1))
      observed[index] = { version, atMs: performance.now() };
  };
  const pollEntry = async (index: number) => {
    while (!isStopped) {
      const polledEntry = entries[index];
      const status = await client.fetchStatus(polledEntry?.addresses.peers ?? '');
      const isServing = status.isOk() && status.value.isCaughtUp && polledEntry === entries[index];
      if (isServing) observeVersion(index, status.value.version);
      await new Promise((resolve) => {
        setTimeout(resolve, POLL_MS);
      });
    }
  };
  updateList();
  const polls = observed.map((_, index) => pollEntry(index));
  const waitForVersion = async (version: number, limitMs: number) => {
    const endMs = performance.now() + limitMs;
    while (observed.some((entry) => entry.version < version) && performance.now() < endMs) {
      await new Promise((resolve) => {
        setTimeout(resolve, POLL_MS);
      });
    }
    if (observed.some((entry) => entry.version < version)) return Infinity;
    return Math.max(...observed.map(({ atMs }) => atMs));
  };
  return {
    listPeers: () => entries.map(({ addresses }) => addresses.peers ?? ''),
    waitForVersion,
    countReverts: () => reverts,
    listVersions: () => observed.map(({ version }) => version),
    replaceEntry: async (index, signal) => {
      await entries[index]?.stop(signal);
      observed[index] = NOT_OBSERVED;
      entries[index] = await startEntry(index);
      updateList();
    },
    replaceAll: async () => {
      await Promise.all(entries.map((entry) => entry.stop('SIGKILL')));
      observed.fill(NOT_OBSERVED);
      const started = await Promise.all(observed.map((_, index) => startEntry(index)));
      started.forEach((entry, index) => {
        entries[index] = entry;
      });
      updateList();
    },
    stop: async () => {
      isStopped = true;
      await Promise.all(polls);
      await Promise.all(entries.map((entry) => entry.stop()));
    },
  };
}
