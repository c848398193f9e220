/**
 * Watches for workers that crash: a worker stops to answer, and another incarnation shows that the
 * one that had the runs has ended without an order.
 */
import type { PoolContext } from './pool-context.js';
import type { Moment, Worker } from './state.js';
import { createWorkerSilences, type Silence } from './worker-silences.js';

/** Watch over the workers of a pool. */
export interface CrashWatch {
  /** Records that a worker has not answered. */
  readonly observeSilence: (worker: Worker, at: Moment) => void;
  /** Records that an incarnation answers. */
  readonly observeAnswer: (worker: Worker) => void;
  /** Records that a worker's incarnation has ended; to be called while its runs are assigned. */
  readonly observeEnd: (worker: Worker, at: Moment) => void;
}

/** Number of runs that one line of the log names. */
const MAX_LOGGED_RUNS = 24;

/** Creates the watch of a pool. */
export function createCrashWatch(context: PoolContext): CrashWatch {
  const silences = createWorkerSilences(context);
  /** Number of crashes under each task that is in the table. */
  const crashCounts = new Map<string, number>();

  const logCrash = ({ entry }: Worker, silence: Silence, nowMs: number) => {
    const runs = [...silence.runs].sort((a, b) => a.aliveMs - b.aliveMs);
    context.report({
      event: 'worker-crashed',
      worker: entry.id,
      bornMs: entry.bornMs,
      instance: entry.instance,
      rack: entry.rack,
      silentForMs: Math.round(nowMs - silence.atMs),
      coincident: silences.countCoincident(silence),
      runs: runs.slice(0, MAX_LOGGED_RUNS).map(({ taskKey, run, aliveMs }) => ({
        task: taskKey,
        run,
        aliveMs,
        crashes: crashCounts.get(taskKey),
      })),
      moreRuns: Math.max(0, runs.length - MAX_LOGGED_RUNS),
    });
  };
  return {
    observeSilence: (worker, { nowMs }) => {
      silences.add(worker, nowMs);
    },
    observeAnswer: ({ entry }) => silences.drop(entry.id, entry.bornMs),
    observeEnd: (worker, { nowMs }) => {
      const silence = silences.add(worker, nowMs);
      silence.runs.forEach(({ taskKey }) =>
        crashCounts.set(taskKey, (crashCounts.get(taskKey) ?? 0) + 1),
      );
      if (silence.runs.length > 0) logCrash(worker, silence, nowMs);
    },
  };
}
