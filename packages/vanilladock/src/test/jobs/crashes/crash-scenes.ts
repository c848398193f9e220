/** Scenes of workers that crash: a pool under steady traffic, and what became of its jobs. */
import type { DecisionEvent } from '../../../lib/jobs/pool-context.js';
import type { JobSpec, StepSpec } from '../../../lib/jobs/spec.js';
import { makeEntry, makeJob, makeStep, POLICY } from '../planner-harness.js';
import {
  createPoolSimulation,
  type PlannedEnd,
  type PoolSimulation,
  type SimulatedAdvisor,
} from '../pool-simulation.js';

/** Options of a scene. */
export interface CrashSceneOptions {
  readonly workers: number;
  /** Says whether a task crashes each worker that starts it. */
  readonly isDeadly: (taskKey: string) => boolean;
  /** Time from the start of such a task to the crash. */
  readonly crashAfterMs?: number;
  readonly downMs?: number;
  /** Number of jobs a second, each of six tasks that run for a second on a core. */
  readonly jobsPerSecond?: number;
  /** Number of lasting jobs, each of five tasks on different workers. */
  readonly lastingJobs?: number;
  /** Advisor that the jobs need tickets from; none by default. */
  readonly advisor?: SimulatedAdvisor;
}

/** A scene that can be advanced. */
export interface CrashScene extends Omit<PoolSimulation, 'submit'> {
  readonly events: readonly DecisionEvent[];
  /** Advances the time, with traffic. */
  readonly play: (untilMs: number) => void;
  /** Advances the time without new jobs. */
  readonly drain: (forMs: number) => void;
  readonly submit: (spec: JobSpec) => void;
  readonly listJobs: (status: string) => readonly string[];
  /** Counts the crashes under a task. */
  readonly countCrashes: (taskKey: string) => number;
}

const WORKER_CORES = 12;
const WORKER_MEMORY_MB = 64_000;
const TASK_MS = 1_000;
const TASKS = 6;
const SECOND_MS = 1_000;
const TICKET_VALID_MS = 30_000;

export const BATCH_STEP: StepSpec = makeStep({ count: TASKS, estimateMs: TASK_MS });

export const LASTING_STEP: StepSpec = makeStep({ count: 5, isLasting: true, maxPerWorker: 1 });

/** Makes the workers of a pool; four are in a rack. */
export const makeWorkers = (count: number) =>
  Array.from({ length: count }, (_, index) => {
    const rack = `r1-${Math.floor(index / 4)}`;
    return makeEntry(`w${index}`, {
      address: `10.0.0.${index}:1`,
      rack,
      labels: ['a', rack],
      capacity: { cores: WORKER_CORES, memoryMb: WORKER_MEMORY_MB, accelerators: 0 },
    });
  });

/** Opens a scene. */
export function openCrashScene(options: CrashSceneOptions): CrashScene {
  const { isDeadly, crashAfterMs = 10, jobsPerSecond = 4, lastingJobs = 0 } = options;
  const events: DecisionEvent[] = [];
  const jobIds: string[] = [];
  const decideEnd = ({ taskKey }: { readonly taskKey: string }): PlannedEnd | undefined => {
    if (isDeadly(taskKey)) return { how: 'crash', afterMs: crashAfterMs };
    return taskKey.startsWith('lasting') ? undefined : { how: 'done', afterMs: TASK_MS };
  };
  const simulation = createPoolSimulation({
    workers: makeWorkers(options.workers),
    decideEnd,
    isInGang: (key) => key.startsWith('gang'),
    report: (event) => events.push(event),
    ...(options.downMs === undefined ? {} : { downMs: options.downMs }),
    ...(options.advisor === undefined ? {} : { advisor: options.advisor }),
  });
  const advice =
    options.advisor === undefined ? undefined : { ...options.advisor, validMs: TICKET_VALID_MS };
  const submit = (spec: JobSpec) => {
    jobIds.push(spec.id);
    simulation.submit(spec, { ...POLICY, stretch: 20, advice });
  };
  for (let index = 0; index < lastingJobs; index += 1) {
    submit(makeJob(`lasting-${index}`, [LASTING_STEP]));
  }
  let jobCount = 0;
  return {
    ...simulation,
    events,
    submit,
    play: (untilMs) => {
      while (simulation.getNowMs() < untilMs) {
        submit(makeJob(`batch-${jobCount}`, [BATCH_STEP]));
        jobCount += 1;
        simulation.runUntil(simulation.getNowMs() + SECOND_MS / jobsPerSecond);
      }
    },
    drain: (forMs) => simulation.runUntil(simulation.getNowMs() + forMs),
    listJobs: (status) =>
      jobIds.filter((id) => simulation.harness.planner.getJobStatus(id) === status),
    countCrashes: (taskKey) =>
      simulation.crashes.filter(({ taskKeys }) => taskKeys.includes(taskKey)).length,
  };
}
