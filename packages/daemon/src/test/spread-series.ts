/**
 * Steps that are wider than their pool and spread over its workers, while workers stop to answer for
 * longer than a lease and run on, in a simulation of whole instances.
 */
import type { LogFields } from '../lib/json-log.js';
import { POLICY, STEP } from './job-fixtures.js';
import { createInstanceSimulation, type InstanceSimulation } from './instance-simulation.js';
import { createJobPhases } from './job-phases.js';
import { createMovingClock } from './moving-clock.js';
import { createSeededPick } from './seeded-pick.js';

const POOL = 'stalls';
const WORKERS = 4;
const WORKER_CORES = 64;

/** Time for the first claims. */
const CLAIM_MS = 2_000;

const TRAFFIC_MS = 24_000;

/** Time from the end of the traffic until all jobs have to have ended. */
const FINISH_MS = 26_000;

const JOBS = 24;
const MIN_TASKS = 4;
const MAX_TASKS = 11;
const MIN_TASK_MS = 800;
const MAX_TASK_MS = 4_000;

/** A worker stops to answer this often, for a time between these limits. */
const SILENCE_INTERVAL_MS = 1_500;
const MIN_SILENCE_MS = 3_500;
const MAX_SILENCE_MS = 7_000;

/** Of the silent workers one in so many still carries out the orders that it does not answer. */
const UNANSWERED_SHARE = 4;

const MAX_SUBMIT_ATTEMPTS = 300;

/** What happens to the owner of the pool beside the silences. */
export interface SpreadSeries {
  readonly seed: number;
  readonly fault: 'none' | 'stop' | 'kill';
  readonly faultIntervalMs: number;
  readonly handleLog?: (instance: string, fields: LogFields) => void;
}

/** What was wrong at the workers, and what has become of the jobs. */
export interface SpreadFinding {
  readonly violations: readonly string[];
  /** Number of the jobs whose submission was accepted. */
  readonly accepted: number;
  /** Ids of those of them that have not ended. */
  readonly open: readonly string[];
  /** Number of starts at workers. */
  readonly starts: number;
}

/** Draws how long a task runs; the same at each of its starts. */
const createDurations = (pick: (max: number) => number) => {
  const durations = new Map<string, number>();
  return (taskKey: string) => {
    const drawn = durations.get(taskKey) ?? MIN_TASK_MS + pick(MAX_TASK_MS - MIN_TASK_MS);
    durations.set(taskKey, drawn);
    return drawn;
  };
};

const scheduleSilences = ({ places, pick }: InstanceSimulation) => {
  const silentUntilMs = new Map<number, number>();
  const startSilence = () => {
    const index = pick(WORKERS) - 1;
    if ((silentUntilMs.get(index) ?? 0) > performance.now()) return;
    const forMs = MIN_SILENCE_MS + pick(MAX_SILENCE_MS - MIN_SILENCE_MS);
    silentUntilMs.set(index, performance.now() + forMs);
    places.setLost(index, pick(UNANSWERED_SHARE) === 1 ? 'answers' : 'orders');
    setTimeout(() => places.setLost(index, 'none'), forMs);
  };
  for (let atMs = SILENCE_INTERVAL_MS; atMs <= TRAFFIC_MS; atMs += SILENCE_INTERVAL_MS) {
    setTimeout(startSilence, atMs);
  }
};

const scheduleFaults = (
  simulation: InstanceSimulation,
  { fault, faultIntervalMs }: SpreadSeries,
) => {
  if (fault === 'none') return;
  const run = () => {
    const index = simulation.findOwner(POOL) ?? 0;
    if (fault === 'stop') void simulation.stopInstance(index);
    else void simulation.killInstance(index);
  };
  for (let atMs = faultIntervalMs; atMs <= TRAFFIC_MS; atMs += faultIntervalMs) {
    setTimeout(run, atMs);
  }
};

const scheduleTraffic = (
  { pick, submit }: InstanceSimulation,
  handleAccepted: (jobId: string) => void,
) => {
  const submitJob = async (id: string, count: number) => {
    const step = { ...STEP, count, maxPerWorker: 1 };
    const policy = { ...POLICY, maxAttempts: 3, stretch: 20, targetLatencyMs: 600 };
    if (await submit(POOL, id, [step], MAX_SUBMIT_ATTEMPTS, policy)) handleAccepted(id);
  };
  for (let index = 0; index < JOBS; index += 1) {
    const count = MIN_TASKS + pick(MAX_TASKS - MIN_TASKS + 1) - 1;
    setTimeout(() => void submitJob(`wide${index}`, count), pick(TRAFFIC_MS));
  }
};

/** Runs a series and says what was wrong. */
export const runSpreadSeries = async (series: SpreadSeries): Promise<SpreadFinding> => {
  const clock = createMovingClock();
  try {
    const accepted: string[] = [];
    const phases = createJobPhases(POOL);
    const { handleLog } = series;
    const simulation = createInstanceSimulation({
      seed: series.seed,
      pools: [POOL],
      workersPerPool: WORKERS,
      behaviour: {
        cores: WORKER_CORES,
        getDurationMs: createDurations(createSeededPick(series.seed)),
        getMaxPerWorker: () => 1,
      },
      handleStored: phases.observe,
      ...(handleLog === undefined ? {} : { handleLog }),
    });
    const { places, violations } = simulation;
    await clock.tickAsync(CLAIM_MS);
    scheduleTraffic(simulation, (jobId) => accepted.push(jobId));
    scheduleSilences(simulation);
    scheduleFaults(simulation, series);
    await clock.tickAsync(TRAFFIC_MS + FINISH_MS);
    const starts = [...places.startsMs.values()].reduce((sum, list) => sum + list.length, 0);
    simulation.close();
    const open = accepted.filter((id) => (phases.get(id) ?? 'active') === 'active');
    return { violations, accepted: accepted.length, open, starts };
  } finally {
    clock.uninstall();
  }
};
