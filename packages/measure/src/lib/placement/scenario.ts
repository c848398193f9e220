/**
 * The simulated environment of the placement measurement: workers with drifting clocks, delayed or
 * lost commands and reports, and arrivals with floods. The faults are in `scenario-faults.ts`. Times
 * are in milliseconds of the simulation's clock.
 */
import { createWorkerCore } from '@vanilladock/stand-ins/lib/worker-core.js';
import type { TaskRun, WorkerCore } from '@vanilladock/stand-ins/lib/worker-model.js';
import { createRandom } from 'vanilladock';
import type { Random, WorkerCommand } from 'vanilladock';
import type { PoolView } from 'vanilladock/lib/placement/plan-input.js';
import type { PollReport, Scheduler, SendCommand, SentAnswer } from './scheduler.js';
import { scheduleFaults } from './scenario-faults.js';
import { MINUTE_MS, TIMELINE } from './timeline.js';
import { buildPools, createTaskSource, WORKER_CAPACITY } from './workload.js';
import type { WorkTask } from './workload.js';

const TICK_MS = 250;
const OUTAGE_STEP_MS = 2_000;
const ROUND_MS = 500;
const REPORT_MIN_MS = 3_000;
const OUTAGE_REPORT_MIN_MS = 6_000;
const REPORT_SPREAD_MS = 2_000;
const REPORT_DELAY_MIN_MS = 500;
const REPORT_DELAY_SPREAD_MS = 1_500;
const LOST_COMMAND_SHARE = 0.01;
const ANSWER_TIMEOUT_MS = 2_000;
const LATE_COMMAND_SHARE = 0.01;
/** Longest delay of a late command. */
const LATE_COMMAND_MS = 40_000;
const CLOCK_RATE_SPREAD = 0.004;
/** Number of pools that the flood of quick tasks goes to. */
const HOT_POOLS = 24;

/** Tasks submitted per second in normal operation, by urgency. */
const ARRIVALS_PER_SECOND = { quick: 20, heavy: 12, patient: 10 } as const;
/** Share of the usual arrivals that are submitted during the outage; all of them are refused. */
const OUTAGE_ARRIVALS_SHARE = 0.1;
/** Arrivals of the flooding urgency, as a multiple of the usual ones. */
const FLOOD_FACTOR = 10;

/** The records of one run, by which it is checked. Times are in milliseconds. */
export interface Outcome {
  /** Spans in which workers executed tasks. */
  readonly entries: readonly TaskRun[];
  readonly tasks: ReadonlyMap<string, WorkTask>;
  /** Time of each task's submission, by task id. */
  readonly submittedMs: ReadonlyMap<string, number>;
  /** Time of each task's first start, by task id. */
  readonly startedMs: ReadonlyMap<string, number>;
  /** Ids of cancelled tasks. */
  readonly cancelled: ReadonlySet<string>;
  /** Time since when each black hole fails every task, by worker id. */
  readonly failingSince: ReadonlyMap<string, number>;
  /** Refusals by urgency, kind of pool (`hot` or `other`) and code. */
  readonly refusals: ReadonlyMap<string, number>;
  readonly isAccepted: (taskId: string) => boolean;
  readonly endMs: number;
}

/** Creates the scheduler under measurement. */
export type CreateScheduler = (
  pools: readonly PoolView[],
  random: Random,
  send: SendCommand,
  poll: PollReport,
) => Scheduler;

/** Runs the timeline against a scheduler; the same seed gives the same arrivals and faults. */
export function runScenario(seed: number, createScheduler: CreateScheduler): Outcome {
  const workRandom = createRandom(seed);
  const faultRandom = createRandom(seed + 1);
  const transportRandom = createRandom(seed + 2);
  const pools = buildPools();
  const poolNames = pools.map(({ name }) => name);
  const hotNames = poolNames.slice(0, HOT_POOLS);
  const source = createTaskSource(workRandom);
  const tasks = new Map<string, WorkTask>();
  const submittedMs = new Map<string, number>();
  const startedMs = new Map<string, number>();
  const cancelled = new Set<string>();
  const failingSince = new Map<string, number>();
  const refusals = new Map<string, number>();
  const entries: TaskRun[] = [];
  const progress = new Map<string, number>();
  const workers = new Map<string, WorkerCore>();
  const stoppedWorkers = new Set<string>();
  const events = new Map<number, (() => void)[]>();
  let nowMs = 0;

  const isBetween = (from: number, to: number): boolean =>
    nowMs >= from * MINUTE_MS && nowMs < to * MINUTE_MS;

  const schedule = (atMs: number, run: () => void): void => {
    const key = Math.ceil(Math.max(atMs, nowMs + 1) / TICK_MS);
    const list = events.get(key);
    if (list) list.push(run);
    else events.set(key, [run]);
  };

  const applyCommand = (
    workerId: string,
    command: WorkerCommand,
    onAnswer: (answer: SentAnswer) => void,
  ): void => {
    const worker = workers.get(workerId);
    if (worker === undefined || stoppedWorkers.has(workerId)) return onAnswer('lost');
    if (worker.isPaused()) {
      return schedule(nowMs + TICK_MS, () => {
        applyCommand(workerId, command, onAnswer);
      });
    }
    return onAnswer(worker.apply(command, nowMs));
  };

  const send: SendCommand = (workerId, command, onAnswer) => {
    const draw = transportRandom();
    if (draw < LOST_COMMAND_SHARE) {
      schedule(nowMs + ANSWER_TIMEOUT_MS, () => {
        onAnswer('lost');
      });
      return;
    }
    if (draw < LOST_COMMAND_SHARE + LATE_COMMAND_SHARE) {
      schedule(nowMs + LATE_COMMAND_MS * transportRandom(), () => {
        applyCommand(workerId, command, () => undefined);
      });
      schedule(nowMs + ANSWER_TIMEOUT_MS, () => {
        onAnswer('lost');
      });
      return;
    }
    schedule(nowMs + 1, () => {
      applyCommand(workerId, command, onAnswer);
    });
  };

  pools.forEach(({ workers: poolWorkers }) =>
    poolWorkers.forEach(({ id }) => {
      const options = {
        workerId: id,
        capacity: WORKER_CAPACITY,
        clockRate: 1 + CLOCK_RATE_SPREAD * (faultRandom() * 2 - 1),
        getWork: (taskId: string) => {
          const task = tasks.get(taskId);
          if (task === undefined) throw new Error(`unknown task ${taskId}`);
          return task.work;
        },
        progress,
        onStart: (taskId: string, atMs: number) => {
          if (!startedMs.has(taskId)) startedMs.set(taskId, atMs);
        },
        onEnd: (entry: TaskRun) => entries.push(entry),
      };
      workers.set(id, createWorkerCore(options));
    }),
  );

  let scheduler: Scheduler;

  /** Creates a worker's report now and delivers it after a delay. */
  const sendReport = (workerId: string): void => {
    const worker = workers.get(workerId);
    if (worker === undefined || stoppedWorkers.has(workerId) || worker.isPaused()) return;
    const report = worker.report(nowMs);
    schedule(nowMs + REPORT_DELAY_MIN_MS + REPORT_DELAY_SPREAD_MS * transportRandom(), () => {
      scheduler.observeReport(workerId, report, nowMs);
    });
  };

  const pollWorker: PollReport = (workerId, delayMs) => {
    schedule(nowMs + delayMs, () => {
      sendReport(workerId);
    });
  };

  scheduler = createScheduler(pools, transportRandom, send, pollWorker);

  const reportWorker = (workerId: string): void => {
    const isInOutage = isBetween(TIMELINE.outage + 1, TIMELINE.recovery - 1);
    const intervalMs = isInOutage ? OUTAGE_REPORT_MIN_MS : REPORT_MIN_MS;
    schedule(nowMs + intervalMs + REPORT_SPREAD_MS * transportRandom(), () => {
      reportWorker(workerId);
    });
    sendReport(workerId);
  };

  const sendTask = (task: WorkTask): void => {
    tasks.set(task.taskId, task);
    submittedMs.set(task.taskId, nowMs);
    const refusal = scheduler.submitTask(task, nowMs);
    if (refusal === undefined) return;
    const poolGroup = hotNames.includes(task.pool) ? 'hot' : 'other';
    const key = `${task.urgency}/${poolGroup}/${refusal}`;
    refusals.set(key, (refusals.get(key) ?? 0) + 1);
  };

  const sendArrivals = (stepMs: number): void => {
    (['quick', 'heavy', 'patient'] as const).forEach((urgency) => {
      const isPatientFlood =
        urgency === 'patient' && isBetween(TIMELINE.patientFlood, TIMELINE.quickFlood);
      const isQuickFlood =
        urgency === 'quick' && isBetween(TIMELINE.quickFlood, TIMELINE.cancellations);
      const isInOutage = stepMs === OUTAGE_STEP_MS;
      const rate = ARRIVALS_PER_SECOND[urgency] * (isInOutage ? OUTAGE_ARRIVALS_SHARE : 1);
      const mean = (rate * stepMs) / 1_000;
      const extra = isPatientFlood || isQuickFlood ? mean * (FLOOD_FACTOR - 1) : 0;
      const count = Math.floor(mean + workRandom());
      const extraCount = Math.floor(extra + workRandom());
      for (let index = 0; index < count; index += 1) {
        sendTask(source.makeTask(urgency, poolNames));
      }
      for (let index = 0; index < extraCount; index += 1) {
        sendTask(source.makeTask(urgency, isQuickFlood ? hotNames : poolNames));
      }
    });
  };

  [...workers.keys()].forEach((workerId) => {
    schedule(REPORT_MIN_MS * transportRandom(), () => {
      reportWorker(workerId);
    });
  });
  const effects = { failingSince, stoppedWorkers, cancelled };
  const getNowMs = () => nowMs;
  const targets = { pools, workers, tasks, scheduler, schedule, getNowMs };
  scheduleFaults(targets, effects, faultRandom);
  const endMs = TIMELINE.end * MINUTE_MS;
  while (nowMs < endMs) {
    const isInOutage = isBetween(TIMELINE.outage + 1, TIMELINE.recovery - 1);
    const stepMs = isInOutage ? OUTAGE_STEP_MS : TICK_MS;
    for (let elapsedMs = 0; elapsedMs < stepMs; elapsedMs += TICK_MS) {
      nowMs += TICK_MS;
      const dueEvents = events.get(nowMs / TICK_MS) ?? [];
      events.delete(nowMs / TICK_MS);
      dueEvents.forEach((run) => run());
    }
    sendArrivals(stepMs);
    if (nowMs % ROUND_MS === 0) scheduler.runRound(nowMs);
  }
  workers.forEach((worker) => worker.stop(nowMs));
  const { isAccepted } = scheduler;
  return {
    entries,
    tasks,
    submittedMs,
    startedMs,
    cancelled,
    failingSince,
    refusals,
    isAccepted,
    endMs,
  };
}
