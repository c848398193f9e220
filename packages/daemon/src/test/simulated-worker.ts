/**
 * A worker in memory whose incarnations follow each other under one id, with a slow clock, leases,
 * a fence and the ends of its runs. Orders that name the worker reach whichever incarnation is up.
 */
import type {
  EndedTask,
  OrderOutcome,
  RenewOrder,
  RenewOutcome,
  RunEnd,
  StartOrder,
} from 'vanilladock/lib/ports/task-workers.js';
import { waitFor } from './memory-store.js';

/** Speed of the worker's clock. */
const CLOCK_RATE = 0.98;

/** Time after which runs are ended whose lease has expired. */
const LAPSE_DELAY_MS = 40;

/** Longest lease that is granted. */
const MAX_LEASE_MS = 10_000;

const POLL_INTERVAL_MS = 25;

const FULL_PERCENT = 100;

/** A run makes a checkpoint this often. */
const CHECKPOINT_MS = 200;

/** A run that goes on. */
export interface Run {
  readonly taskKey: string;
  readonly run: number;
  readonly startedMs: number;
  /** `Infinity` for a run that lasts until it is stopped. */
  readonly durationMs: number;
}

/** Observer of what happens on all workers. */
export interface RunObserver {
  readonly handleStart: (taskKey: string, run: number, order: StartOrder) => void;
  /** Called when the planner has confirmed that the end of a run is stored. */
  readonly handleAcknowledged: (end: EndedTask) => void;
}

/** One incarnation of a worker. */
export type Incarnation = ReturnType<typeof createIncarnation>;

/** Makes the checkpoint that a run has at a time; empty before the first. */
function makeCheckpoint({ taskKey, run, startedMs }: Run, nowMs: number): string {
  const count = Math.floor((nowMs - startedMs) / CHECKPOINT_MS);
  return count === 0 ? '' : `${taskKey}/${run}/${count}`;
}

/** Creates an incarnation that starts now; `getDurationMs` says how long a task runs. */
export function createIncarnation(
  bornMs: number,
  getDurationMs: (taskKey: string) => number,
  observer: RunObserver,
) {
  const startedMs = performance.now();
  const runs = new Map<string, Run>();
  const highestEndedRuns = new Map<string, number>();
  let ended: readonly EndedTask[] = [];
  let endCount = 0;
  let fence = 0;
  let leaseUntilMs = 0;

  const readClockMs = () => Math.round((performance.now() - startedMs) * CLOCK_RATE);
  const closeRun = (closed: Run, how: RunEnd) => {
    const { taskKey, run } = closed;
    const checkpoint = makeCheckpoint(closed, performance.now());
    endCount += 1;
    runs.delete(taskKey);
    highestEndedRuns.set(taskKey, Math.max(run, highestEndedRuns.get(taskKey) ?? 0));
    ended = [...ended, { number: endCount, taskKey, run, how, checkpoint }];
  };
  const closeDue = () => {
    const nowMs = performance.now();
    const lapseMs = startedMs + leaseUntilMs / CLOCK_RATE + LAPSE_DELAY_MS;
    runs.forEach((run) => {
      const endMs = run.startedMs + run.durationMs;
      if (endMs <= Math.min(nowMs, lapseMs)) closeRun(run, 'done');
      else if (lapseMs < nowMs) closeRun(run, 'lapsed');
    });
  };
  const renewLease = (untilMs: number) => {
    leaseUntilMs = Math.max(leaseUntilMs, Math.min(untilMs, readClockMs() + MAX_LEASE_MS));
  };
  /** Says whether an order is from a planner that was superseded. */
  const isFenced = (token: number) => {
    closeDue();
    if (token < fence) return true;
    fence = token;
    return false;
  };
  const dropAcknowledged = (lastSeenEnd: number) => {
    ended.filter(({ number }) => number <= lastSeenEnd).forEach(observer.handleAcknowledged);
    ended = ended.filter(({ number }) => number > lastSeenEnd);
  };
  return {
    bornMs,
    hasRun: (taskKey: string) => {
      closeDue();
      return runs.has(taskKey);
    },
    listRuns: (): readonly Run[] => {
      closeDue();
      return [...runs.values()];
    },
    /** Says whether a task has run to its end here, and no planner has confirmed that it is stored. */
    listsDone: (taskKey: string) =>
      ended.some((end) => end.taskKey === taskKey && end.how === 'done'),
    /** Ends a run as one whose gang was broken up. */
    stopRun: (run: Run) => closeRun(run, 'broken'),
    /** Ends a run that goes on as one that has failed. */
    failRun: (run: Run) => closeRun(run, 'failed'),
    start: (order: StartOrder): OrderOutcome => {
      const { taskKey, run } = order;
      if (isFenced(order.fencingToken)) return { kind: 'rejected', why: 'fenced' };
      if (runs.get(taskKey)?.run === run) return { kind: 'accepted', clockMs: readClockMs() };
      if (run <= (highestEndedRuns.get(taskKey) ?? 0)) return { kind: 'rejected', why: 'old-run' };
      if (order.leaseUntilMs <= readClockMs()) return { kind: 'rejected', why: 'late' };
      renewLease(order.leaseUntilMs);
      observer.handleStart(taskKey, run, order);
      const durationMs = getDurationMs(taskKey);
      runs.set(taskKey, { taskKey, run, startedMs: performance.now(), durationMs });
      return { kind: 'accepted', clockMs: readClockMs() };
    },
    stop: ({
      taskKey,
      run,
      fencingToken,
    }: Pick<StartOrder, 'taskKey' | 'run' | 'fencingToken'>): OrderOutcome => {
      if (isFenced(fencingToken)) return { kind: 'rejected', why: 'fenced' };
      const known = runs.get(taskKey);
      if (known !== undefined && known.run <= run) closeRun(known, 'stopped');
      highestEndedRuns.set(taskKey, Math.max(run, highestEndedRuns.get(taskKey) ?? 0));
      return { kind: 'accepted', clockMs: readClockMs() };
    },
    renew: async (order: RenewOrder): Promise<RenewOutcome> => {
      if (isFenced(order.fencingToken)) return { kind: 'rejected', why: 'fenced' };
      if (order.leaseUntilMs !== undefined) renewLease(order.leaseUntilMs);
      dropAcknowledged(order.lastSeenEnd);
      const untilMs = performance.now() + order.waitMs;
      while (ended.length === 0 && performance.now() < untilMs) {
        await waitFor(POLL_INTERVAL_MS);
        closeDue();
      }
      const running = [...runs.values()].map((known) => {
        const { taskKey, run, ...times } = known;
        const checkpoint = makeCheckpoint(known, performance.now());
        const share = (performance.now() - times.startedMs) / times.durationMs;
        const percent = times.durationMs === Infinity ? FULL_PERCENT : share * FULL_PERCENT;
        return { taskKey, run, checkpoint, percent, load: 0 };
      });
      return { kind: 'report', report: { bornMs, clockMs: readClockMs(), running, ended } };
    },
  };
}
