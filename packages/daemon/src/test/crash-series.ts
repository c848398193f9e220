/**
 * Tasks that crash their workers while the owners of their pool follow each other, in a simulation
 * of whole instances, and what has become of the jobs a while after the traffic has ended.
 */
import type { StepSpec } from 'vanilladock/lib/jobs/spec.js';
import type { LogFields } from '../lib/json-log.js';
import { POLICY, STEP } from './job-fixtures.js';
import { createInstanceSimulation, type InstanceSimulation } from './instance-simulation.js';
import { waitFor } from './memory-store.js';
import { createJobPhases } from './job-phases.js';
import { createMovingClock } from './moving-clock.js';

const POOL = 'stalls';

/** Time for the first claims. */
const CLAIM_MS = 2_000;

const TRAFFIC_MS = 26_000;
const SOUND_JOBS = 130;

/** Time from the end of the traffic at which jobs are asked for; the users' `finish_s`. */
const FINISH_MS = 14_000;

/** A job that could run and has nothing running for this long stands; the users' rule. */
const STANDING_MS = 3_000;

/** Time from the start of a deadly run to the crash of its worker. */
const CRASH_AFTER_MS = 100;

const WORKER_CORES = 64;
const TASK_CORES = 4;
const RUNS: RunLengths = { minMs: 300, maxMs: 1_500, estimateMs: STEP.estimateMs };
const MAX_TASKS = 8;
const MAX_SUBMIT_ATTEMPTS = 300;

/** Crashes under a task after which it may be started less than three times more. */
const COUNTED_CRASHES = 3;
const MAX_LATER_STARTS = 2;

/** How long runs of sound tasks go on, in milliseconds. */
export interface RunLengths {
  readonly minMs: number;
  readonly maxMs: number;
  readonly estimateMs: number;
}

/** Workers that fall silent, one after the other, and crash while they are. */
export interface SilenceSeries {
  readonly intervalMs: number;
  /** Shortest and longest time from the begin of a silence to the crash; 0 for a crash alone. */
  readonly minMs: number;
  readonly maxMs: number;
}

/** Faults of the owners of the pool, and of workers. */
export interface CrashSeries {
  readonly seed: number;
  readonly fault: 'none' | 'stop' | 'kill';
  /** The instance that is stopped or killed: the owner, or one after the other. */
  readonly who: 'owner' | 'in-turn';
  readonly faultIntervalMs: number;
  readonly deadlyIntervalMs: number;
  readonly workers: number;
  readonly silences?: SilenceSeries;
  readonly runs?: RunLengths;
  readonly handleLog?: (instance: string, fields: LogFields) => void;
}

/** What has become of the jobs. */
export interface CrashFinding {
  readonly deadlyJobs: number;
  /** Ids of the deadly jobs that have ended as failed. */
  readonly givenUp: readonly string[];
  readonly soundFailed: readonly string[];
  /** For each job that has ended as failed, the most crashes that were under one of its tasks. */
  readonly crashesOfFailed: ReadonlyMap<string, number>;
  /** Ids of the accepted jobs that have not ended. */
  readonly open: readonly string[];
  /** Ids of those of them that have had nothing running for longer than the rule allows. */
  readonly standing: readonly string[];
  /** Deadly tasks that were started too often after the crashes that count. */
  readonly overBudget: readonly string[];
  readonly violations: readonly string[];
}

const isDeadly = (name: string) => name.startsWith('deadly');

const listOverBudget = ({ crashes, startsMs }: InstanceSimulation['places']) =>
  [...startsMs].flatMap(([taskKey, starts]) => {
    const under = crashes.filter(({ taskKeys }) => taskKeys.includes(taskKey));
    const thirdMs = under[COUNTED_CRASHES - 1]?.atMs ?? Infinity;
    return starts.filter((atMs) => atMs > thirdMs).length > MAX_LATER_STARTS ? [taskKey] : [];
  });

/** Counts the crashes under the task of a job that had the most. */
const countJobCrashes = ({ crashes }: InstanceSimulation['places'], jobId: string) => {
  const counts = new Map<string, number>();
  crashes
    .flatMap(({ taskKeys }) => taskKeys.filter((key) => key.startsWith(`${jobId}.`)))
    .forEach((key) => counts.set(key, (counts.get(key) ?? 0) + 1));
  return Math.max(0, ...counts.values());
};

const scheduleSilences = (
  { pick, places }: InstanceSimulation,
  { workers, silences }: CrashSeries,
) => {
  if (silences === undefined) return;
  const { intervalMs, minMs, maxMs } = silences;
  const run = async () => {
    const index = pick(workers) - 1;
    places.setLost(index, 'orders');
    await waitFor(minMs + pick(maxMs - minMs + 1) - 1);
    places.setLost(index, 'none');
    places.crash(index);
  };
  for (let atMs = intervalMs; atMs <= TRAFFIC_MS; atMs += intervalMs) {
    setTimeout(() => void run(), atMs);
  }
};

const scheduleTraffic = (
  { pick, submit }: InstanceSimulation,
  { deadlyIntervalMs, runs = RUNS }: CrashSeries,
  accepted: Set<string>,
) => {
  const submitJob = async (id: string, steps: readonly StepSpec[]) => {
    const policy = { ...POLICY, maxAttempts: 3, stretch: 20, targetLatencyMs: 600 };
    if (await submit(POOL, id, steps, MAX_SUBMIT_ATTEMPTS, policy)) accepted.add(id);
  };
  const makeStep = (count: number, dependsOn: readonly number[]): StepSpec => ({
    ...STEP,
    count,
    dependsOn,
    estimateMs: runs.estimateMs,
    size: { cores: TASK_CORES, memoryMb: 1, accelerators: 0 },
  });
  for (let index = 0; index < SOUND_JOBS; index += 1) {
    const steps = Array.from({ length: pick(2) }, (_, step) =>
      makeStep(pick(MAX_TASKS), step === 0 ? [] : [step - 1]),
    );
    setTimeout(() => void submitJob(`sound${index}`, steps), pick(TRAFFIC_MS));
  }
  for (let atMs = deadlyIntervalMs; atMs <= TRAFFIC_MS; atMs += deadlyIntervalMs) {
    setTimeout(() => void submitJob(`deadly${atMs}`, [makeStep(1, [])]), atMs);
  }
};

const scheduleFaults = (simulation: InstanceSimulation, series: CrashSeries) => {
  const { fault, who, faultIntervalMs } = series;
  if (fault === 'none') return;
  const run = (round: number) => {
    const inTurn = round % simulation.countInstances();
    const index = who === 'in-turn' ? inTurn : (simulation.findOwner(POOL) ?? inTurn);
    if (fault === 'stop') void simulation.stopInstance(index);
    else void simulation.killInstance(index);
  };
  for (let round = 1; round * faultIntervalMs <= TRAFFIC_MS; round += 1) {
    setTimeout(() => run(round), round * faultIntervalMs);
  }
};

/** Draws how long a task runs; the same at each of its starts. */
const createDurations = ({ minMs, maxMs }: RunLengths) => {
  const durations = new Map<string, number>();
  let random = 7;
  return (taskKey: string) => {
    const known = durations.get(taskKey);
    if (known !== undefined) return known;
    random = (random * 48_271) % 2_147_483_647;
    const drawn = minMs + (random % (maxMs - minMs));
    durations.set(taskKey, drawn);
    return drawn;
  };
};

/** Runs a series and says what has become of the jobs. */
export const runCrashSeries = async (series: CrashSeries): Promise<CrashFinding> => {
  const clock = createMovingClock();
  try {
    const phases = createJobPhases(POOL);
    const simulation = createInstanceSimulation({
      seed: series.seed,
      pools: [POOL],
      workersPerPool: series.workers,
      behaviour: {
        cores: WORKER_CORES,
        getTaskCores: () => TASK_CORES,
        getDurationMs: createDurations(series.runs ?? RUNS),
        getCrashMs: (taskKey) => (isDeadly(taskKey) ? CRASH_AFTER_MS : Infinity),
      },
      handleStored: phases.observe,
      ...(series.handleLog === undefined ? {} : { handleLog: series.handleLog }),
    });
    const { places } = simulation;
    await clock.tickAsync(CLAIM_MS);
    const accepted = new Set<string>();
    scheduleTraffic(simulation, series, accepted);
    scheduleFaults(simulation, series);
    scheduleSilences(simulation, series);
    await clock.tickAsync(TRAFFIC_MS + FINISH_MS);
    const open = [...accepted].filter((id) => (phases.get(id) ?? 'active') === 'active');
    simulation.close();
    const failed = phases.list('failed');
    return {
      deadlyJobs: [...accepted].filter(isDeadly).length,
      givenUp: failed.filter(isDeadly),
      soundFailed: failed.filter((id) => !isDeadly(id)),
      crashesOfFailed: new Map(failed.map((id) => [id, countJobCrashes(places, id)])),
      open,
      standing: open.filter((id) => places.getStandingMs(id) > STANDING_MS),
      overBudget: listOverBudget(places),
      violations: simulation.violations,
    };
  } finally {
    clock.uninstall();
  }
};
