/** Bounds the lease that a worker may hold when it first reports to a planner. */
import type { Inheritance } from './inheritance.js';
import { CLOCK_DRIFT, LEASE_MS, MAX_LEASE_MS } from './lease-clock.js';
import type { TimedReport } from './observe-report.js';
import type { Worker } from './state.js';
import { hasRuns } from './worker-runs.js';

/**
 * Says whether a call that named a lease end for an earlier incarnation, whose clock was ahead, may
 * have reached the one that reports for the first time: something may run there, or the last such
 * call was not answered before this incarnation started.
 */
function hasEarlierLease(worker: Worker, { report, sentMs, receivedMs }: TimedReport): boolean {
  const startedMs = receivedMs - report.clockMs / (1 - CLOCK_DRIFT);
  return hasRuns(worker) || worker.lastLeaseCallMs >= Math.min(startedMs, sentMs);
}

/**
 * Computes the latest end of a lease that a worker may hold when it first reports: from then on it
 * rejects the orders of earlier planners.
 */
export function computeFirstLease(
  inheritance: Pick<Inheritance, 'computeForeignLeaseMs' | 'findLeaseEnd'>,
  worker: Worker,
  timed: TimedReport,
): number {
  const { id, bornMs } = worker.entry;
  const { clockMs } = timed.report;
  const longestMs = clockMs + MAX_LEASE_MS;
  if (hasEarlierLease(worker, timed)) return longestMs;
  // Since its report to the planner that tells, orders of those before have had no effect; this end is
  // the latest that any order has named.
  const told = inheritance.findLeaseEnd(id, bornMs);
  if (told !== undefined) {
    return Math.min(longestMs, Math.max(told.leaseUntilMs, clockMs + LEASE_MS));
  }
  return clockMs + inheritance.computeForeignLeaseMs(id, bornMs);
}
