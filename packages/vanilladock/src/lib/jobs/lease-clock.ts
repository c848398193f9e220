/**
 * Bounds on a worker's steady clock, which may run fast or slow by a known share, and what follows for
 * leases: when to renew, and when a lease has surely passed.
 */
import type { WorkerClock } from './state.js';

/** Largest relative error of a worker's clock. */
export const CLOCK_DRIFT = 0.02;

/** Length of the lease that each order to a worker carries. */
export const LEASE_MS = 4_000;

/** Estimates the worker's clock without drift, for lease ends. */
export function estimateWorkerMs(clock: WorkerClock, nowMs: number): number {
  return clock.workerMs + (nowMs - clock.heardMs);
}

/** Computes a lower bound of the worker's clock. */
export function computeEarliestWorkerMs(clock: WorkerClock, nowMs: number): number {
  return clock.workerMs + (nowMs - clock.heardMs) * (1 - CLOCK_DRIFT);
}

/** Says whether a lease end on the worker's clock has surely passed. */
export function hasLeasePassed(
  clock: WorkerClock | undefined,
  leaseUntilMs: number,
  nowMs: number,
): boolean {
  if (clock === undefined) return false;
  return computeEarliestWorkerMs(clock, nowMs) > leaseUntilMs;
}
