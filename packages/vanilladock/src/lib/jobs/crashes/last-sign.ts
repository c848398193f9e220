/** When workers last gave a sign of life, and for how long their runs are known to have gone on. */
import type { Task, Worker } from '../state.js';

/** Finds the monotonic time in milliseconds at which a worker last answered a renewal or a start. */
export function findLastSign(worker: Worker, tasks: readonly Task[]): number {
  const confirmations = tasks.map(({ state }) =>
    state.kind === 'assigned' ? (state.confirmedMs ?? 0) : 0,
  );
  return Math.max(worker.lastReportMs, ...confirmations);
}

/** Computes for how long a confirmed run is known to have gone on, in whole milliseconds. */
export function computeAliveMs(confirmedMs: number, lastSignMs: number): number {
  return Math.max(0, Math.round(lastSignMs - confirmedMs));
}
