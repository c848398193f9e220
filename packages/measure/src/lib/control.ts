/**
 * What control costs: eight daemons at the design size without callers' requests, first in a window
 * without any change, then in one with publications and restarts on the instance list. The judged
 * figures weigh the second by how often such changes come on an ordinary day; its own figures are
 * reported beside them as `changes_*`. A third window is taken while a wave takes instances of all
 * pools at once, which happens only to a fleet that was never maintained. Bytes are the daemons' own
 * counters by cause. Added memory is against the same daemon before it knows of any fleet.
 */
import { waitMs } from '@vanilladock/daemon/lib/servers.js';
import { publishConfig, readConfigState } from '@vanilladock/daemon/lib/cli/publish.js';
import { createLogClient } from '@vanilladock/daemon/lib/platform/log-client.js';
import {
  startInstanceServer,
  startLogServer,
  startPoolServer,
  type InstanceServer,
} from '@vanilladock/stand-ins';
import type { Instance } from 'vanilladock';
import { buildConfigText, buildWorkers, DESIGN_SIZE, type FleetSize } from './design-size.js';
import type { Figures, Measure, MeasureOptions } from './measure.js';
import { readProcessCost } from './process-cost.js';
import { MEASURE_KEY, startEntryProcess, type EntryProcess } from './processes.js';

const ENTRIES = 8;
const IDLE_MS = 4_000;
const SETTLE_MS = 14_000;
const WINDOW_MS = 12_000;
const WAVE_SETTLE_MS = 6_000;
const WAVE_WINDOW_MS = 10_000;
const PUBLICATIONS = 2;
const LIST_CHANGES = 2;
const PUBLICATIONS_A_DAY = 730;
/** Each of 355 instances that fail or restart leaves the list and comes back. */
const LIST_CHANGES_A_DAY = 710;
const DAY_MS = 86_400_000;
const MEMORY_SAMPLES = 10;
const REBOOT_MS = 60_000;
const MS_PER_SECOND = 1_000;

/** Counters of one daemon at one time. */
interface Reading {
  readonly atMs: number;
  readonly cpuSeconds: number;
  readonly bytes: ReadonlyMap<string, number>;
}

/** Reads the control bytes of a daemon by cause. */
async function fetchBytes(entry: EntryProcess): Promise<ReadonlyMap<string, number>> {
  const answer = await fetch(`http://${entry.addresses.operators}/metrics`, {
    headers: { 'vanilladock-key': MEASURE_KEY },
  });
  const lines = (await answer.text()).matchAll(
    /vanilladock_control_bytes_total\{cause="([^"]+)"\} (\d+)/g,
  );
  return new Map([...lines].map(([, cause, bytes]) => [cause ?? '', Number(bytes)]));
}

/** Takes a reading of one daemon. */
async function readEntry(entry: EntryProcess): Promise<Reading> {
  const bytes = await fetchBytes(entry);
  return { atMs: performance.now(), cpuSeconds: readProcessCost(entry.pid).cpuSeconds, bytes };
}

/** Takes the median resident memory of a process over a second. */
async function readMemory(pid: number): Promise<number> {
  const samples: number[] = [];
  for (let index = 0; index < MEMORY_SAMPLES; index += 1) {
    samples.push(readProcessCost(pid).residentMb);
    await waitMs(MS_PER_SECOND / MEMORY_SAMPLES);
  }
  return samples.sort((a, b) => a - b)[MEMORY_SAMPLES / 2] ?? NaN;
}

/** Builds the list's line for an entry. */
function buildEntryInstance(entry: EntryProcess, index: number, size: FleetSize): Instance {
  const dataCentre = index % size.dataCentres;
  return {
    id: `entry-${index}`,
    role: 'entry',
    address: entry.addresses.peers ?? entry.addresses.callers,
    location: {
      region: `region-${dataCentre % size.regions}`,
      dataCentre: `dc-${dataCentre}`,
      rack: `entry-rack-${index}`,
    },
    state: 'live',
    attributes: {},
  };
}

/** Publishes one further change of the configuration. */
async function publishChange(
  logAddress: string,
  size: FleetSize,
  note: number,
  isFrozen: boolean,
): Promise<void> {
  const service = createLogClient(logAddress);
  const base = (await readConfigState(service))?.version ?? -1;
  const text = buildConfigText(size, note, isFrozen);
  const answer = await publishConfig(service, { text, base, by: 'measure' });
  if (answer.kind !== 'accepted') throw new Error(`publication ${note}: ${answer.kind}`);
}

/** Makes publications and changes of the list, spread over a window. */
async function runChanges(
  pools: Pick<InstanceServer, 'setInstances'>,
  fleet: readonly Instance[],
  logAddress: string,
  size: FleetSize,
): Promise<void> {
  const pauseMs = WINDOW_MS / (LIST_CHANGES + PUBLICATIONS + 1);
  for (let index = 0; index < LIST_CHANGES; index += 1) {
    await waitMs(pauseMs);
    pools.setInstances(index % 2 === 0 ? fleet.slice(1) : fleet);
  }
  for (let index = 0; index < PUBLICATIONS; index += 1) {
    await waitMs(pauseMs);
    await publishChange(logAddress, size, index + 1, true);
  }
  await waitMs(pauseMs);
}

/** Cost of one daemon over the window. */
interface EntryCost {
  readonly cpuFraction: number;
  readonly bytesPerSecond: number;
  readonly causes: ReadonlyMap<string, number>;
}

/** Computes a daemon's cost between two readings. */
function computeCost(before: Reading, after: Reading): EntryCost {
  const seconds = (after.atMs - before.atMs) / MS_PER_SECOND;
  const causes = new Map(
    [...after.bytes].map(([cause, bytes]) => [
      cause,
      (bytes - (before.bytes.get(cause) ?? 0)) / seconds,
    ]),
  );
  return {
    cpuFraction: (after.cpuSeconds - before.cpuSeconds) / seconds,
    bytesPerSecond: [...causes.values()].reduce((sum, value) => sum + value, 0),
    causes,
  };
}

/** Computes the cost of every daemon between two readings. */
function computeCosts(before: readonly Reading[], after: readonly Reading[]): readonly EntryCost[] {
  return before.flatMap((reading, index) => {
    const later = after[index];
    return later === undefined ? [] : [computeCost(reading, later)];
  });
}

/** Weighs a window with changes by how many of them an ordinary day brings in the same time. */
function makeOrdinaryCost(quiet: EntryCost, changing: EntryCost): EntryCost {
  const expected = ((PUBLICATIONS_A_DAY + LIST_CHANGES_A_DAY) * WINDOW_MS) / DAY_MS;
  const weight = expected / (PUBLICATIONS + LIST_CHANGES);
  const toMix = (a: number, b: number) => a + Math.max(0, b - a) * weight;
  const causes = new Map(
    [...changing.causes].map(([cause, bytes]) => [
      cause,
      toMix(quiet.causes.get(cause) ?? 0, bytes),
    ]),
  );
  return {
    cpuFraction: toMix(quiet.cpuFraction, changing.cpuFraction),
    bytesPerSecond: toMix(quiet.bytesPerSecond, changing.bytesPerSecond),
    causes,
  };
}

/** Takes the worst figures of one window under names of their own. */
function makeWindowFigures(name: string, costs: readonly EntryCost[]): Figures {
  return {
    [`${name}_cpu_fraction`]: Number(Math.max(...costs.map((cost) => cost.cpuFraction)).toFixed(4)),
    [`${name}_bytes_per_s`]: Math.round(Math.max(...costs.map((cost) => cost.bytesPerSecond))),
  };
}

/** Takes the worst of the daemons' figures. */
function makeFigures(
  costs: readonly EntryCost[],
  bareMb: readonly number[],
  loadedMb: readonly number[],
): Figures {
  const worst = costs.reduce((a, b) => (b.bytesPerSecond > a.bytesPerSecond ? b : a));
  const split = [...worst.causes].map(([cause, bytes]) => [`bytes_${cause}`, Math.round(bytes)]);
  const bare = Math.max(...bareMb);
  return {
    cpu_fraction: Number(Math.max(...costs.map((cost) => cost.cpuFraction)).toFixed(4)),
    added_mb: Number(
      Math.max(...loadedMb.map((mb, index) => mb - (bareMb[index] ?? bare))).toFixed(1),
    ),
    bytes_per_s: Math.round(worst.bytesPerSecond),
    total_mb: Number(Math.max(...loadedMb).toFixed(1)),
    bare_mb: Number(bare.toFixed(1)),
    ...Object.fromEntries(split),
  };
}

/** Runs the measurement at a size. */
export async function measureControlAt(
  size: FleetSize,
  { log }: Pick<MeasureOptions, 'log'>,
): Promise<Figures> {
  const logServer = await startLogServer();
  const instances = await startInstanceServer();
  const pools = await startPoolServer(instances, { rebootMs: REBOOT_MS });
  const platform = {
    log: logServer.address,
    instances: instances.address,
    pools: pools.address,
  };
  const entries = await Promise.all(
    Array.from({ length: ENTRIES }, (_, index) =>
      startEntryProcess({ id: `entry-${index}`, platform, logLevel: 'info' }),
    ),
  );
  try {
    log(`${ENTRIES} daemons started; reading their memory without a fleet`);
    await waitMs(IDLE_MS);
    const bareMb = await Promise.all(entries.map(({ pid }) => readMemory(pid)));
    const listed = entries.map((entry, index) => buildEntryInstance(entry, index, size));
    const fleet = [...buildWorkers(size), ...listed];
    pools.setInstances(fleet);
    await publishChange(logServer.address, size, 0, true);
    log('fleet published; settling');
    await waitMs(SETTLE_MS);
    const readAll = () => Promise.all(entries.map(readEntry));
    log('measuring without changes');
    const start = await readAll();
    await waitMs(WINDOW_MS);
    const middle = await readAll();
    log('measuring with changes');
    await runChanges(pools, fleet, logServer.address, size);
    const end = await readAll();
    const loadedMb = await Promise.all(entries.map(({ pid }) => readMemory(pid)));
    const quiet = computeCosts(start, middle);
    const changing = computeCosts(middle, end);
    const ordinary = quiet.flatMap((cost, index) => {
      const other = changing[index];
      return other === undefined ? [] : [makeOrdinaryCost(cost, other)];
    });
    log('measuring while a wave takes instances of all pools');
    await publishChange(logServer.address, size, PUBLICATIONS + 1, false);
    await waitMs(WAVE_SETTLE_MS);
    const waveStart = await readAll();
    await waitMs(WAVE_WINDOW_MS);
    const waveEnd = await readAll();
    return {
      ...makeFigures(ordinary, bareMb, loadedMb),
      ...makeWindowFigures('changes', changing),
      ...makeWindowFigures('wave', computeCosts(waveStart, waveEnd)),
    };
  } finally {
    await Promise.all(entries.map((entry) => entry.stop()));
    await Promise.all([logServer.close(), instances.close(), pools.close()]);
  }
}

/** Control cost of eight daemons at the design size. */
export const CONTROL_MEASURE: Measure = {
  name: 'control',
  describe: 'processor, added memory and bytes that eight daemons spend on control at design size',
  run: (options) => measureControlAt(DESIGN_SIZE, options),
};
