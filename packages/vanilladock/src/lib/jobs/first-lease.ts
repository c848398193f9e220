/** Bounds the lease that a worker may hold when it first reports to a planner. */
import type { Inheritance } from './inheritance.js';
import { CLOCK_DRIFT, MAX_LEASE_MS } from './lease-clock.js';
import type { TimedReport } from './observe-report.js';
import type { Worker } from './state.js';

/**
 * Says whether a call that named a lease end for an earlier incarnation, whose clock was ahead, may
 * have reached the one that reports for the first time: a task is assigned there, or the last such
 * call was not answered before this incarnation started.
 */
function hasEarlierLease(worker: Worker, { report, sentMs, receivedMs }: TimedReport): boolean {
  const startedMs = receivedMs - report.clockMs / (1 - CLOCK_DRIFT);
  return worker.tasks.size > 0 || worker.lastLeaseCallMs >= Math.min(startedMs, sentMs);
}

/**
 * Computes the latest end of a lease that a worker may hold when it first reports: from then on it
 * rejects the orders of earlier planners.
 */
export function computeFirstLease(
  inheritance: Pick<Inheritance, 'computeForeignLeaseMs'>,
  worker: Worker,
  timed: TimedReport,
): number {
  const { id, bornMs } = worker.entry;
  const longestMs = hasEarlierLease(worker, timed)
    ? MAX_LEASE_MS
    : inheritance.computeForeignLeaseMs(id, bornMs);
  return timed.report.clockMs + longestMs;
}
