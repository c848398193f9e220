/**
 * The timeline of the placement measurement and its simulated environment: workers with drifting
 * clocks, delayed or lost commands and reports, floods, black holes (workers that fail every task),
 * pauses, the loss of a rack, mass cancellations and a store outage of one hour. Times are in
 * milliseconds of the simulation's clock.
 */
import { createWorkerCore } from '@vanilladock/stand-ins/lib/worker-core.js';
import type { TaskRun, WorkerCore } from '@vanilladock/stand-ins/lib/worker-model.js';
import { createRandom } from 'vanilladock';
import type { Random, WorkerCommand } from 'vanilladock';
import type { PoolView } from 'vanilladock/lib/placement/plan-input.js';
import type { PollReport, Scheduler, SendCommand, SentAnswer } from './scheduler.js';
import { buildPools, createTaskSource, pickItem, WORKER_CAPACITY } from './workload.js';
import type { WorkTask } from './workload.js';

const TICK_MS = 250;
const OUTAGE_STEP_MS = 2_000;
const ROUND_MS = 500;
const MINUTE_MS = 60_000;
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
const BLACK_HOLES = 20;
const PAUSED_WORKERS = 30;
const PAUSED_ENTRIES = 4;
/** Number of pools that the flood of quick tasks goes to. */
const HOT_POOLS = 24;
const CANCELLED_SHARE = 0.3;

/** Start of each phase, and the end of the run, in minutes of the simulation's clock. */
export const TIMELINE = {
  patientFlood: 1,
  quickFlood: 2,
  cancellations: 3,
  rackLoss: 3.25,
  outage: 4.25,
  recovery: 64.25,
  end: 66,
} as const;

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

  const scheduleFaults = (): void => {
    const ids = [...workers.keys()];
    Array.from({ length: BLACK_HOLES }).forEach(() => {
      const workerId = pickItem(faultRandom, ids);
      schedule(MINUTE_MS * (0.75 + 2.5 * faultRandom()), () => {
        if (failingSince.has(workerId)) return;
        failingSince.set(workerId, nowMs);
        workers.get(workerId)?.setBehaviour({ isFailing: true, isPaused: false }, nowMs);
      });
    });
    Array.from({ length: PAUSED_WORKERS }).forEach(() => {
      const workerId = pickItem(faultRandom, ids);
      const atMs = MINUTE_MS * (0.75 + 3.5 * faultRandom());
      const isFailing = (): boolean => failingSince.has(workerId);
      schedule(atMs, () => {
        workers.get(workerId)?.setBehaviour({ isFailing: isFailing(), isPaused: true }, nowMs);
      });
      schedule(atMs + MINUTE_MS * (0.2 + 1.3 * faultRandom()), () => {
        workers.get(workerId)?.setBehaviour({ isFailing: isFailing(), isPaused: false }, nowMs);
      });
    });
    Array.from({ length: PAUSED_ENTRIES }).forEach((_, index) => {
      const atMs = MINUTE_MS * (0.8 + 0.8 * index);
      schedule(atMs, () => {
        scheduler.pauseEntry(index, nowMs, nowMs + MINUTE_MS);
      });
    });
    const rack = pools
      .flatMap(({ workers: poolWorkers }) => poolWorkers)
      .filter(({ location }) => location.rack === 'rack-17');
    schedule(MINUTE_MS * TIMELINE.rackLoss, () => {
      rack.forEach(({ id }) => {
        workers.get(id)?.stop(nowMs);
        stoppedWorkers.add(id);
      });
    });
    schedule(MINUTE_MS * TIMELINE.recovery, () =>
      rack.forEach(({ id }) => stoppedWorkers.delete(id)),
    );
    schedule(MINUTE_MS * TIMELINE.cancellations, () => {
      tasks.forEach((_task, taskId) => {
        if (faultRandom() >= CANCELLED_SHARE) return;
        cancelled.add(taskId);
        scheduler.cancelTask(taskId, nowMs);
      });
    });
    schedule(MINUTE_MS * TIMELINE.outage, () => scheduler.setStoreAvailable(false, nowMs));
    schedule(MINUTE_MS * TIMELINE.recovery, () => scheduler.setStoreAvailable(true, nowMs));
  };

  [...workers.keys()].forEach((workerId) => {
    schedule(REPORT_MIN_MS * transportRandom(), () => {
      reportWorker(workerId);
    });
  });
  scheduleFaults();
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
