/**
 * Eight real entries for the measurement `config`, their replacement, and a watch over the version that
 * each of them serves by.
 */
import type { InstanceServer } from '@vanilladock/stand-ins';
import { createCatchUpClient } from '@vanilladock/daemon/lib/peers/catch-up-client.js';
import type { Instance } from 'vanilladock';
import { MEASURE_KEY, startEntryProcess, type EntryProcess } from './processes.js';

/** What was seen at one place. */
export interface SeenVersion {
  readonly version: number;
  /** Monotonic, in milliseconds; when the answer that showed it had come. */
  readonly atMs: number;
}

/** The entries under measurement. */
export interface ConfigFleet {
  readonly listPeers: () => readonly string[];
  /** Resolves when every place serves by the version or a newer one: to when the last one was seen. */
  readonly waitForVersion: (version: number, limitMs: number) => Promise<number>;
  /** Times that a serving entry was seen with an older version than its place had served by. */
  readonly countReverts: () => number;
  /** The newest version seen at each place. */
  readonly listVersions: () => readonly number[];
  /** Replaces the process of a place; the old one ends by the signal. */
  readonly replaceEntry: (index: number, signal: NodeJS.Signals) => Promise<void>;
  /** Ends the processes of all places at once, then starts new ones. */
  readonly replaceAll: () => Promise<void>;
  readonly stop: () => Promise<void>;
}

const POLL_MS = 20;
const UNSEEN: SeenVersion = { version: -1, atMs: 0 };

/** Shows entries in the platform's instance list, by which they know one another. */
function buildInstances(entries: readonly EntryProcess[]): readonly Instance[] {
  const location = { region: 'tasmania', dataCentre: 'hobart', rack: 'r1' };
  const common = { role: 'entry', location, state: 'live', attributes: {} } as const;
  return entries.map(({ addresses }, index) => ({
    ...common,
    id: `entry-${index}`,
    address: addresses.peers ?? '',
  }));
}

/** Starts entries and the watch over them; they know one another if they are given the list. */
export async function startConfigFleet(
  count: number,
  platform: { readonly log: string; readonly instances: string },
  list: InstanceServer | undefined,
): Promise<ConfigFleet> {
  const client = createCatchUpClient(MEASURE_KEY);
  const seen = Array.from({ length: count }, () => UNSEEN);
  const floors = Array.from({ length: count }, () => -1);
  let reverts = 0;
  let isStopped = false;

  const startPlace = (index: number) =>
    startEntryProcess({ id: `entry-${index}`, platform, drainNoticeMs: 1 });
  const entries: EntryProcess[] = await Promise.all(seen.map((_, index) => startPlace(index)));
  const updateList = () => list?.setInstances(buildInstances(entries));
  const observeVersion = (index: number, version: number) => {
    if (version < (floors[index] ?? -1)) reverts += 1;
    floors[index] = Math.max(version, floors[index] ?? -1);
    if (version > (seen[index]?.version ?? -1)) seen[index] = { version, atMs: performance.now() };
  };
  const pollPlace = async (index: number) => {
    while (!isStopped) {
      const asked = entries[index];
      const status = await client.fetchStatus(asked?.addresses.peers ?? '');
      const isServing = status.isOk() && status.value.isCaughtUp && asked === entries[index];
      if (isServing) observeVersion(index, status.value.version);
      await new Promise((resolve) => {
        setTimeout(resolve, POLL_MS);
      });
    }
  };
  updateList();
  const polls = seen.map((_, index) => pollPlace(index));
  const waitForVersion = async (version: number, limitMs: number) => {
    const endMs = performance.now() + limitMs;
    while (seen.some((one) => one.version < version) && performance.now() < endMs) {
      await new Promise((resolve) => {
        setTimeout(resolve, POLL_MS);
      });
    }
    if (seen.some((one) => one.version < version)) return Infinity;
    return Math.max(...seen.map(({ atMs }) => atMs));
  };
  return {
    listPeers: () => entries.map(({ addresses }) => addresses.peers ?? ''),
    waitForVersion,
    countReverts: () => reverts,
    listVersions: () => seen.map(({ version }) => version),
    replaceEntry: async (index, signal) => {
      await entries[index]?.stop(signal);
      seen[index] = UNSEEN;
      entries[index] = await startPlace(index);
      updateList();
    },
    replaceAll: async () => {
      await Promise.all(entries.map((entry) => entry.stop('SIGKILL')));
      seen.fill(UNSEEN);
      const started = await Promise.all(seen.map((_, index) => startPlace(index)));
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
