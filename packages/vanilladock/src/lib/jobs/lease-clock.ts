/**
 * Estimates of a worker's monotonic clock, which may run fast or slow by a known share, and their
 * consequences for leases: when to renew them and when they have definitely expired.
 */
import type { WorkerClock } from './state.js';

/** Largest relative drift of a worker's clock. */
export const CLOCK_DRIFT = 0.02;

/** Length of the lease that each order to a worker carries. */
export const LEASE_MS = 4_000;

/** Estimates the worker's clock in milliseconds, assuming no drift; used to set lease ends. */
export function estimateWorkerMs(clock: WorkerClock, nowMs: number): number {
  return clock.workerMs + (nowMs - clock.lastReportMs);
}

/** Computes a lower bound of the worker's clock in milliseconds. */
export function computeEarliestWorkerMs(clock: WorkerClock, nowMs: number): number {
  return clock.workerMs + (nowMs - clock.lastReportMs) * (1 - CLOCK_DRIFT);
}

/** Says whether a lease that ends at a time on the worker's clock has definitely expired. */
export function hasLeaseExpired(
  clock: WorkerClock | undefined,
  leaseUntilMs: number,
  nowMs: number,
): boolean {
  if (clock === undefined) return false;
  return computeEarliestWorkerMs(clock, nowMs) > leaseUntilMs;
}
