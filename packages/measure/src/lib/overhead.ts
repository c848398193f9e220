/**
 * Measurement `overhead`: an entry's throughput relative to a bare pass-through proxy in the same
 * runtime, and the latency that it adds at half of that throughput, relative to direct requests to
 * the upstreams. The three run alternately in each round; separate processes generate the load.
 */
import type { Measure, MeasureOptions } from './measure.js';
import type { LoadPlan, LoadResult } from './overhead-load.js';
import { startNodeProcess } from './processes.js';
import { FLEET_SERVICE, startRoutingFleet } from './routing-fleet.js';

const UPSTREAMS = 2;
const SLOTS = 64;
/** Number of load processes. */
const LOADERS = 3;
const ROUNDS = 3;
/** Number of connections of each load process. */
const CONNECTIONS = 5;
const SMALL_RUN_MS = 1_300;
const LARGE_RUN_MS = 1_000;
const FIXED_RATE_RUN_MS = 1_500;
const MIB_BYTES = 1_048_576;
const MS_PER_SECOND = 1000;
/** Share of a run that a load process measures, after its warm-up of 0.2. */
const MEASURED_SHARE = 0.8;

const LOAD_SCRIPT = new URL('./overhead-load.js', import.meta.url).pathname;
const BARE_SCRIPT = new URL('./overhead-bare.js', import.meta.url).pathname;

/** URLs under load, without the scheme: `ip:port/path`. */
type Target = readonly string[];

/** A value for each of the three routes to the upstreams. */
interface Routes<T> {
  readonly direct: T;
  readonly bare: T;
  readonly entry: T;
}

/** Combined results of all load processes; times are in milliseconds. */
interface LoadSummary {
  readonly perSecond: number;
  readonly failed: number;
  readonly p50Ms: number;
  readonly p99Ms: number;
}

/** Computes the median. */
function computeMedian(values: readonly number[]): number {
  const sorted = [...values].sort((a, b) => a - b);
  return sorted[Math.floor(sorted.length / 2)] ?? NaN;
}

/** Runs one plan in all load processes. */
async function runLoad(plan: LoadPlan): Promise<LoadSummary> {
  const runLoader = async () => {
    const loader = await startNodeProcess(LOAD_SCRIPT, [JSON.stringify(plan)]);
    const line = await loader.waitForEvent('result');
    await loader.exited;
    return line as unknown as LoadResult;
  };
  const results = await Promise.all(Array.from({ length: LOADERS }, runLoader));
  const answered = results.reduce((sum, result) => sum + result.answered, 0);
  return {
    perSecond: (answered * MS_PER_SECOND) / (plan.durationMs * MEASURED_SHARE),
    failed: results.reduce((sum, result) => sum + result.failed, 0),
    p50Ms: computeMedian(results.map((result) => result.p50Ms)),
    p99Ms: Math.max(...results.map((result) => result.p99Ms)),
  };
}

/** Runs the same load on the three routes, one after another, in each round. */
async function runRounds(
  targets: Routes<Target>,
  plan: Omit<LoadPlan, 'targets'>,
): Promise<readonly Routes<LoadSummary>[]> {
  const rounds: Routes<LoadSummary>[] = [];
  for (let round = 0; round < ROUNDS; round += 1) {
    const direct = await runLoad({ ...plan, targets: targets.direct });
    const bare = await runLoad({ ...plan, targets: targets.bare });
    const entry = await runLoad({ ...plan, targets: targets.entry });
    rounds.push({ direct, bare, entry });
  }
  return rounds;
}

/** Measures throughput with short and large answers, then the latency added at a fixed rate. */
async function measureOverhead(targets: Routes<Target>, { log }: MeasureOptions) {
  const closedLoop = { connections: CONNECTIONS, perSecond: 0 };
  log('throughput with short answers');
  const small = await runRounds(targets, {
    ...closedLoop,
    answerBytes: 0,
    durationMs: SMALL_RUN_MS,
  });
  log('throughput with answers of 1 MiB');
  const large = await runRounds(targets, {
    ...closedLoop,
    answerBytes: MIB_BYTES,
    durationMs: LARGE_RUN_MS,
  });
  const entryPerSecond = computeMedian(small.map(({ entry }) => entry.perSecond));
  const perSecond = Math.floor(entryPerSecond / 2 / LOADERS);
  log(`latency added at ${perSecond * LOADERS} requests a second`);
  const plan = {
    connections: CONNECTIONS,
    perSecond,
    answerBytes: 0,
    durationMs: FIXED_RATE_RUN_MS,
  };
  const fixedRate = await runRounds(targets, plan);
  const smallRatio = computeMedian(
    small.map(({ entry, bare }) => entry.perSecond / bare.perSecond),
  );
  const largeRatio = computeMedian(
    large.map(({ entry, bare }) => entry.perSecond / bare.perSecond),
  );
  const all = [...small, ...large, ...fixedRate];
  return {
    throughput_ratio: Math.min(smallRatio, largeRatio),
    small_ratio: smallRatio,
    large_ratio: largeRatio,
    entry_per_second: entryPerSecond,
    bare_per_second: computeMedian(small.map(({ bare }) => bare.perSecond)),
    direct_per_second: computeMedian(small.map(({ direct }) => direct.perSecond)),
    p50_added_ms: computeMedian(fixedRate.map(({ entry, direct }) => entry.p50Ms - direct.p50Ms)),
    p99_added_ms: computeMedian(fixedRate.map(({ entry, direct }) => entry.p99Ms - direct.p99Ms)),
    bare_p50_added_ms: computeMedian(
      fixedRate.map(({ bare, direct }) => bare.p50Ms - direct.p50Ms),
    ),
    bare_p99_added_ms: computeMedian(
      fixedRate.map(({ bare, direct }) => bare.p99Ms - direct.p99Ms),
    ),
    failed: all.reduce((sum, { entry }) => sum + entry.failed, 0),
  };
}

/** The measurement `overhead`. */
export const OVERHEAD_MEASURE: Measure = {
  name: 'overhead',
  describe:
    'throughput and added latency of the entry, against a bare pass-through and direct calls',
  run: async (options) => {
    const fleet = await startRoutingFleet({
      entries: 1,
      upstreams: UPSTREAMS,
      slots: SLOTS,
      hasProxies: false,
      hasRunLogs: false,
    });
    const upstreams = fleet.listUpstreams().map(({ process }) => process.address);
    const bare = await startNodeProcess(BARE_SCRIPT, [JSON.stringify(upstreams)]);
    const figures = await measureOverhead(
      {
        direct: upstreams.map((address) => `${address}/tray`),
        bare: [`${String(bare.started.address)}/tray`],
        entry: fleet
          .listEntries()
          .map(({ addresses }) => `${addresses.callers}/${FLEET_SERVICE}/tray`),
      },
      options,
    );
    await bare.stop();
    await fleet.close();
    return figures;
  },
};
