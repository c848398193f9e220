/**
 * Measurement `planner-cost`: processor time of the planner of one pool as the pool and its queue
 * grow. Load pattern: the pool is full, all waiting jobs fit nowhere, and one worker after another
 * reports; then the pool is filled from empty.
 */
import {
  createPoolPlanner,
  type PoolAction,
  type PoolPlanner,
} from 'vanilladock/lib/jobs/pool-planner.js';
import type { JobPolicy, JobSpec, StepSpec } from 'vanilladock/lib/jobs/spec.js';
import type { WorkerEntry } from 'vanilladock/lib/ports/task-workers.js';
import type { Figures, Measure } from './measure.js';

const POOL = 'pool';
const WALL_MS = 1_800_000_000_000;
const CORES = 32;
const MEMORY_MB = 65_536;
const TASK_CORES = 4;
const TASKS_PER_WORKER = CORES / TASK_CORES;
const TASKS_PER_JOB = 16;

/** Time between two reports, after each of which a plan is made, in milliseconds. */
const REPORT_GAP_MS = 4;
const WARM_UP_PLANS = 500;
const MEASURED_PLANS = 2_000;
const STATUS_MS = 120_000;
const MICROSECONDS_PER_MS = 1_000;

/** A pool and its queue. */
interface PoolSize {
  readonly workers: number;
  readonly waitingJobs: number;
}

const SMALL: PoolSize = { workers: 25, waitingJobs: 10 };
const LARGE: PoolSize = { workers: 400, waitingJobs: 160 };

const POLICY: JobPolicy = {
  priority: 0,
  maxAttempts: 3,
  stretch: 1.6,
  targetLatencyMs: 600,
  advice: undefined,
};

/** Makes a step of batch tasks. */
function makeStep(count: number): StepSpec {
  return {
    count,
    size: { cores: TASK_CORES, memoryMb: MEMORY_MB / CORES, accelerators: 0 },
    estimateMs: 800,
    dependsOn: [],
    isCheckpointing: false,
    isGang: false,
    isSameRack: false,
    requiredLabel: undefined,
    dataRack: undefined,
    maxPerWorker: undefined,
    isSpeculative: false,
    isLasting: false,
    image: '',
    tailTargetMs: undefined,
    isFilling: false,
    maxUnavailable: undefined,
  };
}

/** Makes a job of one step. */
function makeJob(id: string): JobSpec {
  return {
    id,
    route: 'route',
    payload: '',
    steps: [makeStep(TASKS_PER_JOB)],
    repeatCount: 0,
    startAtMs: 0,
    intervalMs: 0,
  };
}

/** Makes the entry of a worker. */
function makeEntry(id: string): WorkerEntry {
  return {
    id,
    bornMs: 1,
    address: '10.0.0.1:1',
    pool: POOL,
    instance: id,
    rack: 'rack',
    labels: [],
    capacity: { cores: CORES, memoryMb: MEMORY_MB, accelerators: 0 },
    phase: 'ready',
  };
}

/** A planner with the clock that drives it. */
interface Replay {
  readonly planner: PoolPlanner;
  /** Applies a report of a worker that lists its tasks as running. */
  readonly report: (workerId: string) => void;
  /** Submits jobs and stores them. */
  readonly submit: (prefix: string, count: number) => void;
  /** Advances the time by one gap and plans; returns the actions. */
  readonly plan: () => readonly PoolAction[];
}

/** Creates a replay with reporting workers and no jobs. */
function createReplay(workerCount: number): Replay {
  let nowMs = 0;
  const readMoment = () => ({ nowMs, wallMs: WALL_MS + nowMs });
  const planner = createPoolPlanner(POOL, {
    report: () => {},
    runBase: 0,
    inheritedWorkers: [],
    claimedMs: 0,
    statusMs: STATUS_MS,
  });
  planner.observePredecessorStopped(nowMs);
  const ids = Array.from({ length: workerCount }, (_, index) => `w${index}`);
  const listRunning = (workerId: string) =>
    [...(planner.table.workers.get(workerId)?.tasks ?? [])].map((taskKey) => ({
      taskKey,
      run: 1,
      checkpoint: '',
      percent: Math.floor(nowMs),
      load: TASK_CORES,
    }));
  const report = (workerId: string) => {
    const running = listRunning(workerId);
    const timed = {
      report: { bornMs: 1, clockMs: nowMs, running, ended: [] },
      sentMs: nowMs,
      receivedMs: nowMs,
    };
    planner.observeReport(workerId, timed, readMoment());
  };
  planner.observeWorkers(ids.map(makeEntry), readMoment());
  planner.markWorkersRecorded(ids);
  ids.forEach(report);
  return {
    planner,
    report,
    submit: (prefix, count) => {
      Array.from({ length: count }, (_, index) => makeJob(`${prefix}${index}`)).forEach((job) =>
        planner.submit(job, POLICY, readMoment()),
      );
      planner.takeStoreBatch()?.handleStored();
    },
    plan: () => {
      nowMs += REPORT_GAP_MS;
      return planner.plan(readMoment());
    },
  };
}

/** Submits jobs until all workers are full; returns the time of a start in microseconds. */
function measureStarts({ planner, plan, submit }: Replay, workerCount: number): number {
  const jobs = Math.ceil((workerCount * TASKS_PER_WORKER) / TASKS_PER_JOB);
  submit('running', jobs);
  const startedMs = performance.now();
  const actions = plan();
  const elapsedMs = performance.now() - startedMs;
  actions.forEach((action) => {
    if (action.kind !== 'start') return;
    const at = { nowMs: 0, wallMs: WALL_MS };
    planner.observeStart(action, { kind: 'accepted', clockMs: 0 }, at);
  });
  return (elapsedMs * MICROSECONDS_PER_MS) / Math.max(1, actions.length);
}

/** Measures the mean time of a plan after a report, in milliseconds; the first plans warm up. */
function measurePlans({ plan, report }: Replay, workerCount: number): number {
  let sumMs = 0;
  for (let round = 0; round < WARM_UP_PLANS + MEASURED_PLANS; round += 1) {
    report(`w${round % workerCount}`);
    const startedMs = performance.now();
    plan();
    if (round >= WARM_UP_PLANS) sumMs += performance.now() - startedMs;
  }
  return sumMs / MEASURED_PLANS;
}

/** Measures a pool of one size. */
function measureSize({ workers, waitingJobs }: PoolSize) {
  measureStarts(createReplay(workers), workers);
  const replay = createReplay(workers);
  const startMicroseconds = measureStarts(replay, workers);
  replay.submit('waiting', waitingJobs);
  return { startMicroseconds, planMs: measurePlans(replay, workers) };
}

/** Rounds a figure. */
function formatFigure(value: number): number {
  return Number(value.toPrecision(3));
}

/** Measures both sizes; the replay is the same for each seed. */
export function measurePlannerCost(): Figures {
  const small = measureSize(SMALL);
  const large = measureSize(LARGE);
  return {
    plan_small_ms: formatFigure(small.planMs),
    plan_large_ms: formatFigure(large.planMs),
    plan_ratio: formatFigure(large.planMs / small.planMs),
    start_small_us: formatFigure(small.startMicroseconds),
    start_large_us: formatFigure(large.startMicroseconds),
  };
}

/** The measurement `planner-cost`. */
export const PLANNER_COST_MEASURE: Measure = {
  name: 'planner-cost',
  describe: 'processor time of a plan and of a start, at two sizes of a pool and its queue',
  run: () => Promise.resolve(measurePlannerCost()),
};
