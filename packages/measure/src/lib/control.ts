/**
 * Measurement `control`: what eight daemons at the design size spend on control, without callers'
 * requests, first in a window without changes, then in one with publications and changes of the
 * instance list. The bounded figures weight the second window by the frequency of such changes on
 * an ordinary day; its own figures are reported as `changes_*`. A third window is measured while a
 * wave maintains instances of all pools at once, which happens only in a fleet that was never
 * maintained. Bytes are the daemons' own counters by cause. Added memory is relative to the same
 * daemon before a fleet was published.
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
const IDLE_DELAY_MS = 4_000;
const SETTLE_DELAY_MS = 14_000;
const WINDOW_MS = 12_000;
const WAVE_SETTLE_DELAY_MS = 6_000;
const WAVE_WINDOW_MS = 10_000;
const PUBLICATIONS = 2;
const LIST_CHANGES = 2;
const PUBLICATIONS_A_DAY = 730;
/** Each of 355 instances that fail or restart leaves the instance list and returns to it. */
const LIST_CHANGES_A_DAY = 710;
const DAY_MS = 86_400_000;
const MEMORY_SAMPLES = 10;
const REBOOT_MS = 60_000;
const MS_PER_SECOND = 1_000;

/** Counters of one daemon at one point in time. */
interface Reading {
  readonly atMs: number;
  readonly cpuSeconds: number;
  readonly bytes: ReadonlyMap<string, number>;
}

/** Fetches the control bytes of a daemon by cause. */
async function fetchBytes(entry: EntryProcess): Promise<ReadonlyMap<string, number>> {
  const answer = await fetch(`http://${entry.addresses.operators}/metrics`, {
    headers: { 'vanilladock-key': MEASURE_KEY },
  });
  const lines = (await answer.text()).matchAll(
    /vanilladock_control_bytes_total\{cause="([^"]+)"\} (\d+)/g,
  );
  return new Map([...lines].map(([, cause, bytes]) => [cause ?? '', Number(bytes)]));
}

/** Reads the counters of one daemon. */
async function readEntry(entry: EntryProcess): Promise<Reading> {
  const bytes = await fetchBytes(entry);
  return { atMs: performance.now(), cpuSeconds: readProcessCost(entry.pid).cpuSeconds, bytes };
}

/** Measures the median resident memory of a process over a second, in megabytes. */
async function readMemory(pid: number): Promise<number> {
  const samples: number[] = [];
  for (let index = 0; index < MEMORY_SAMPLES; index += 1) {
    samples.push(readProcessCost(pid).residentMb);
    await waitMs(MS_PER_SECOND / MEMORY_SAMPLES);
  }
  return samples.sort((a, b) => a - b)[MEMORY_SAMPLES / 2] ?? NaN;
}

/** Builds the instance of an entry for the instance list. */
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

/** Publishes a change of the configuration; throws unless it is accepted. */
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
  if (answer.kind !== 'accepted')
    throw new Error(`publication ${note} was not accepted: ${answer.kind}`);
}

/** Changes the instance list and publishes configurations, spread over a window. */
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

/** Cost of one daemon over a window. */
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

/**
 * Scales the cost that changes add in their window to the number of changes in as much time of an
 * ordinary day.
 */
function makeOrdinaryCost(unchanged: EntryCost, changing: EntryCost): EntryCost {
  const expected = ((PUBLICATIONS_A_DAY + LIST_CHANGES_A_DAY) * WINDOW_MS) / DAY_MS;
  const weight = expected / (PUBLICATIONS + LIST_CHANGES);
  const toWeighted = (a: number, b: number) => a + Math.max(0, b - a) * weight;
  const causes = new Map(
    [...changing.causes].map(([cause, bytes]) => [
      cause,
      toWeighted(unchanged.causes.get(cause) ?? 0, bytes),
    ]),
  );
  return {
    cpuFraction: toWeighted(unchanged.cpuFraction, changing.cpuFraction),
    bytesPerSecond: toWeighted(unchanged.bytesPerSecond, changing.bytesPerSecond),
    causes,
  };
}

/**
 * Makes the figures of one window, each the maximum over daemons, with the window's name as prefix.
 */
function makeWindowFigures(name: string, costs: readonly EntryCost[]): Figures {
  return {
    [`${name}_cpu_fraction`]: Number(Math.max(...costs.map((cost) => cost.cpuFraction)).toFixed(4)),
    [`${name}_bytes_per_s`]: Math.round(Math.max(...costs.map((cost) => cost.bytesPerSecond))),
  };
}

/**
 * Makes the bounded figures, each the maximum over daemons, and the bytes by cause of the costliest
 * one.
 */
function makeFigures(
  costs: readonly EntryCost[],
  idleMemoryMb: readonly number[],
  loadedMemoryMb: readonly number[],
): Figures {
  const worst = costs.reduce((a, b) => (b.bytesPerSecond > a.bytesPerSecond ? b : a));
  const split = [...worst.causes].map(([cause, bytes]) => [`bytes_${cause}`, Math.round(bytes)]);
  const bare = Math.max(...idleMemoryMb);
  return {
    cpu_fraction: Number(Math.max(...costs.map((cost) => cost.cpuFraction)).toFixed(4)),
    added_mb: Number(
      Math.max(...loadedMemoryMb.map((mb, index) => mb - (idleMemoryMb[index] ?? bare))).toFixed(1),
    ),
    bytes_per_s: Math.round(worst.bytesPerSecond),
    total_mb: Number(Math.max(...loadedMemoryMb).toFixed(1)),
    bare_mb: Number(bare.toFixed(1)),
    ...Object.fromEntries(split),
  };
}

/** Runs the measurement with a fleet of the given size. */
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
    await waitMs(IDLE_DELAY_MS);
    const idleMemoryMb = await Promise.all(entries.map(({ pid }) => readMemory(pid)));
    const listed = entries.map((entry, index) => buildEntryInstance(entry, index, size));
    const fleet = [...buildWorkers(size), ...listed];
    pools.setInstances(fleet);
    await publishChange(logServer.address, size, 0, true);
    log('fleet published; waiting until the daemons have settled');
    await waitMs(SETTLE_DELAY_MS);
    const readAll = () => Promise.all(entries.map(readEntry));
    log('measuring without changes');
    const start = await readAll();
    await waitMs(WINDOW_MS);
    const middle = await readAll();
    log('measuring with changes');
    await runChanges(pools, fleet, logServer.address, size);
    const end = await readAll();
    const loadedMemoryMb = await Promise.all(entries.map(({ pid }) => readMemory(pid)));
    const unchanged = computeCosts(start, middle);
    const changing = computeCosts(middle, end);
    const ordinary = unchanged.flatMap((cost, index) => {
      const other = changing[index];
      return other === undefined ? [] : [makeOrdinaryCost(cost, other)];
    });
    log('measuring while a wave maintains instances of all pools');
    await publishChange(logServer.address, size, PUBLICATIONS + 1, false);
    await waitMs(WAVE_SETTLE_DELAY_MS);
    const waveStart = await readAll();
    await waitMs(WAVE_WINDOW_MS);
    const waveEnd = await readAll();
    return {
      ...makeFigures(ordinary, idleMemoryMb, loadedMemoryMb),
      ...makeWindowFigures('changes', changing),
      ...makeWindowFigures('wave', computeCosts(waveStart, waveEnd)),
    };
  } finally {
    await Promise.all(entries.map((entry) => entry.stop()));
    await Promise.all([logServer.close(), instances.close(), pools.close()]);
  }
}

/** The measurement `control`. */
export const CONTROL_MEASURE: Measure = {
  name: 'control',
  describe: 'processor, added memory and bytes that eight daemons spend on control at design size',
  run: (options) => measureControlAt(DESIGN_SIZE, options),
};
