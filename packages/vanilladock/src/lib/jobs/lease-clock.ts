/**
 * Estimates of a worker's monotonic clock, which may run fast or slow by a known share, and their
 * consequences for leases: when to renew them and when they have definitely expired.
 */
import type { WorkerClock } from './state.js';

/** Largest drift of a worker's clock against the planner's, as a share of the elapsed time. */
export const CLOCK_DRIFT = 0.02;

/** Length in milliseconds of the lease that each order to a worker carries. */
export const LEASE_MS = 4_000;

/** Longest lease in milliseconds that a worker grants, whatever an order names. */
export const MAX_LEASE_MS = 10_000;

/**
 * Time in milliseconds by which a lease may end later than computed: clocks are reported in whole
 * milliseconds, an estimate of a clock is ahead by its drift since the last report, and a worker
 * ends its runs by a timer that can be late.
 */
export const LEASE_MARGIN_MS = 100;

/**
 * Longest time in milliseconds by which the answer to an order is older than a report that is applied
 * before it: the time of a long poll and of an order.
 */
const MAX_OVERTAKING_MS = 1_500;

/**
 * Estimates the worker's clock in milliseconds at `nowMs` on the planner's monotonic clock,
 * assuming no drift; used to set lease ends.
 */
export function estimateWorkerMs(clock: WorkerClock, nowMs: number): number {
  return clock.workerMs + (nowMs - clock.lastReportMs);
}

/**
 * Computes a lower bound of the worker's clock at `nowMs` on the planner's monotonic clock, in
 * milliseconds.
 */
export function computeEarliestWorkerMs(clock: WorkerClock, nowMs: number): number {
  return clock.workerMs + (nowMs - clock.lastReportMs) * (1 - CLOCK_DRIFT);
}

/**
 * Says whether a start with a lease that ends at `leaseUntilMs` on the worker's clock would be
 * rejected as late at `nowMs` on the planner's monotonic clock; false while the worker's clock is
 * unknown.
 */
export function isStartLate(
  clock: WorkerClock | undefined,
  leaseUntilMs: number,
  nowMs: number,
): boolean {
  return clock !== undefined && computeEarliestWorkerMs(clock, nowMs) > leaseUntilMs;
}

/**
 * Says whether a lease that ends at `leaseUntilMs` on the worker's clock has definitely expired, and
 * its runs have ended, at `nowMs` on the planner's monotonic clock; false while the worker's clock
 * is unknown.
 */
export function hasLeaseExpired(
  clock: WorkerClock | undefined,
  leaseUntilMs: number,
  nowMs: number,
): boolean {
  return isStartLate(clock, leaseUntilMs + LEASE_MARGIN_MS, nowMs);
}

/**
 * Says whether an answer that gives the worker's clock as `clockMs` is of a later incarnation than
 * the one whose clock is known: clocks never go back, but for answers and reports that overtake
 * each other.
 */
export function hasClockRestarted(clock: WorkerClock, clockMs: number): boolean {
  return clockMs < clock.workerMs - MAX_OVERTAKING_MS;
}
