/**
 * Series of stops in a simulation of whole instances, and the check of how long lasting tasks are
 * without a run in them. Prints the lives of the planners of a pool in the first series that fails
 * without a worker that is cut off.
 */
import * as assert from 'uvu/assert';
import { createInstanceSimulation, POOLS } from './instance-simulation.js';
import { createMovingClock } from './moving-clock.js';
import { formatLife, LIFE_HEADER } from './planner-lives.js';
import type { TaskGap } from './worker-places.js';

const SECOND_MS = 1_000;
const SEEDS = [1, 2, 3] as const;
export const INSTANCES = [0, 1, 2, 3] as const;

/** Lasting jobs that keep every worker busy, and few enough for some to be idle. */
const JOB_COUNTS = [30, 12] as const;

/** Times between two stops, in milliseconds. */
const STOP_INTERVALS_MS = [1_300, 2_000] as const;

/** Time between two stops of all instances, in which each lives for less than a lease. */
const TOGETHER_INTERVAL_MS = 4_500;

const SERIES_MS = 28 * SECOND_MS;

/** Longest time of a lasting task without a run. */
export const GAP_LIMIT_MS = 9 * SECOND_MS;

/** Time that a worker without calls may hold on to its tasks, which is allowed in addition. */
const LEASE_MS = 4_300;

/** Time for the first claims. */
export const CLAIM_MS = 2 * SECOND_MS;

/** Time before the first stop, in which everything is started. */
const CALM_MS = 5 * SECOND_MS;

/** Time after the last stop. */
const RECOVERY_MS = 14 * SECOND_MS;

const BATCH_INTERVAL_MS = 700;

/** When the calls to a worker are cut off, after the first stop. */
const CUT_AT_MS = 8 * SECOND_MS;

/** When the workers of the first pool restart, after the first stop, and for how long each is down. */
const RESTARTS_AT_MS = [2_000, 3_500, 5_000, 6_500] as const;
const RESTART_MS = 800;

/** A stop at a time after the calm start. */
interface Stop {
  readonly atMs: number;
  readonly instance: number;
}

/** A series of stops. */
interface Series {
  readonly seed: number;
  readonly jobs: number;
  readonly stops: readonly Stop[];
  /** Whether a worker answers no calls from `CUT_AT_MS` on. */
  readonly isWorkerCut: boolean;
  /** Whether the workers of the first pool restart one after the other. */
  readonly hasRestarts?: boolean;
}

/** What a series has led to. */
interface Finding {
  readonly gaps: readonly TaskGap[];
  readonly violations: readonly string[];
  /** Lives of the planners of each pool, as lines of a table. */
  readonly lives: ReadonlyMap<string, readonly string[]>;
}

/** Lists stops of the instances in turn. */
const listStopsInTurn = (intervalMs: number): readonly Stop[] =>
  Array.from({ length: Math.ceil(SERIES_MS / intervalMs) }, (_, index) => ({
    atMs: index * intervalMs,
    instance: index % INSTANCES.length,
  }));

/** Lists stops of all instances in a drawn order, two rounds at a time. */
const listRounds = (seed: number): readonly Stop[] => {
  let random = seed * 7_919;
  const listShuffled = () => {
    const keyed = INSTANCES.map((instance) => {
      random = (random * 48_271) % 2_147_483_647;
      return { instance, key: random };
    });
    return keyed.sort((a, b) => a.key - b.key).map(({ instance }) => instance);
  };
  return [0, 9 * SECOND_MS, 18 * SECOND_MS]
    .flatMap((startMs) => [startMs, startMs + 200])
    .flatMap((startMs) =>
      listShuffled().map((instance, index) => ({ atMs: startMs + index * 1_100, instance })),
    );
};

/** Lists stops of all instances at the same moment, again and again. */
const listStopsTogether = (intervalMs: number): readonly Stop[] =>
  Array.from(
    { length: Math.ceil(SERIES_MS / intervalMs) },
    (_, index) => index * intervalMs,
  ).flatMap((atMs) => INSTANCES.map((instance) => ({ atMs, instance })));

const runSeries = async ({ seed, jobs, stops, ...faults }: Series): Promise<Finding> => {
  const clock = createMovingClock();
  try {
    const simulation = createInstanceSimulation({ seed });
    const { places, violations } = simulation;
    await clock.tickAsync(CLAIM_MS);
    void simulation.submitLasting(jobs);
    await clock.tickAsync(CALM_MS);
    const endMs = Math.max(...stops.map(({ atMs }) => atMs));
    stops.forEach(({ atMs, instance }) =>
      setTimeout(() => void simulation.stopInstance(instance), atMs),
    );
    for (let atMs = 0; atMs < endMs; atMs += BATCH_INTERVAL_MS) {
      setTimeout(() => void simulation.submitBatch(), atMs);
    }
    const { isWorkerCut, hasRestarts = false } = faults;
    const restartsAtMs = hasRestarts ? RESTARTS_AT_MS : [];
    restartsAtMs.forEach((atMs, index) =>
      setTimeout(() => void places.restart(index, RESTART_MS, 100), atMs),
    );
    if (isWorkerCut) setTimeout(() => places.setLost(0, 'orders'), CUT_AT_MS);
    await clock.tickAsync(endMs + RECOVERY_MS);
    const gaps = places.listGaps();
    const all = simulation.lives.list();
    const listLines = (pool: string) =>
      all.filter((life) => life.pool === pool).map((life) => formatLife(life, performance.now()));
    const lives = new Map(POOLS.map((pool) => [pool, listLines(pool)]));
    simulation.close();
    return { gaps, violations, lives };
  } finally {
    clock.uninstall();
  }
};

const reportLives = ({ lives }: Finding, { workerId }: TaskGap) => {
  const pool = POOLS.find((name) => workerId?.startsWith(name)) ?? POOLS[0];
  [`Planners of ${pool}; times in ms`, LIFE_HEADER, ...(lives.get(pool) ?? [])].forEach((line) =>
    process.stdout.write(`${line}\n`),
  );
};

/** Runs each series; returns what was violated, and the tasks without a run for too long. */
export const listFaults = async (
  named: ReadonlyMap<string, Series>,
): Promise<readonly string[]> => {
  const faults: string[] = [];
  for (const [name, series] of named) {
    const finding = await runSeries(series);
    const cutWorkerId = series.isWorkerCut ? `${POOLS[0]}-w0` : undefined;
    const isTooLong = ({ longestMs, workerId }: TaskGap) =>
      longestMs > GAP_LIMIT_MS + (workerId === cutWorkerId ? LEASE_MS : 0);
    const tooLong = finding.gaps.filter(isTooLong);
    const [longest] = tooLong;
    finding.violations.forEach((violation) => faults.push(`${name}: ${violation}`));
    assert.is(finding.gaps.length, 2 * series.jobs, `${name}: lasting tasks under watch`);
    if (longest === undefined) continue;
    if (faults.length === 0 && !series.isWorkerCut) reportLives(finding, longest);
    const { taskKey, longestMs, fromMs } = longest;
    faults.push(
      `${name}: ${tooLong.length} tasks, longest ${taskKey} for ${Math.round(longestMs)} ms` +
        ` from ${Math.round(fromMs)} ms`,
    );
  }
  return faults;
};

export const listSeriesInTurn = (isWorkerCut: boolean): ReadonlyMap<string, Series> =>
  new Map(
    STOP_INTERVALS_MS.flatMap((intervalMs) =>
      JOB_COUNTS.flatMap((jobs) =>
        SEEDS.map((seed): [string, Series] => [
          `stops each ${intervalMs} ms, ${jobs} jobs, seed ${seed}`,
          { seed, jobs, stops: listStopsInTurn(intervalMs), isWorkerCut },
        ]),
      ),
    ),
  );

export const listSeriesWithRestarts = (): ReadonlyMap<string, Series> =>
  new Map(
    [...listSeriesInTurn(false)].map(([name, series]) => [name, { ...series, hasRestarts: true }]),
  );

export const listSeriesOfRounds = (isWorkerCut: boolean): ReadonlyMap<string, Series> =>
  new Map(
    JOB_COUNTS.flatMap((jobs) =>
      SEEDS.map((seed): [string, Series] => [
        `two rounds at a time, ${jobs} jobs, seed ${seed}`,
        { seed, jobs, stops: listRounds(seed), isWorkerCut },
      ]),
    ),
  );

export const listSeriesTogether = (isWorkerCut: boolean): ReadonlyMap<string, Series> =>
  new Map(
    SEEDS.map((seed): [string, Series] => {
      const stops = listStopsTogether(TOGETHER_INTERVAL_MS);
      return [`all at once, seed ${seed}`, { seed, jobs: JOB_COUNTS[0], stops, isWorkerCut }];
    }),
  );
