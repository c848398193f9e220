/**
 * Workers that may hold leases, as a planner stores them for its successor. Leases are as long as
 * `LEASE_MS`, with one exception: a worker that has started again under its id takes orders that were
 * meant for its earlier incarnation, whose clock was ahead, and grants what they name up to the
 * longest lease. A successor that cannot call the worker has to wait for that.
 */
import { computeEarliestWorkerMs, LEASE_MARGIN_MS, LEASE_MS } from './lease-clock.js';
import type { Worker } from './state.js';

/** A worker that may hold leases. */
export interface LeaseHolder {
  readonly id: string;
  /** Start of the incarnation that orders were meant for, in ms since 1970; 0 if it is unknown. */
  readonly bornMs: number;
  /**
   * Keys of the tasks that may run there under a lease longer than `LEASE_MS`; undefined if no lease
   * of that incarnation is longer.
   */
  readonly longLeaseTasks?: readonly string[] | undefined;
}

/**
 * Says whether a worker may hold a lease that is longer than orders to its present incarnation name,
 * at the monotonic time `nowMs`. Until its first report, one that may have got orders does.
 */
export function hasLongLease({ clock, leaseUntilMs, tasks }: Worker, nowMs: number): boolean {
  if (clock === undefined) return tasks.size > 0;
  return leaseUntilMs > computeEarliestWorkerMs(clock, nowMs) + LEASE_MS + LEASE_MARGIN_MS;
}

/** Makes the record of a worker at the monotonic time `nowMs`. */
function makeLeaseHolder(worker: Worker, nowMs: number): LeaseHolder {
  const { id, bornMs } = worker.entry;
  if (!hasLongLease(worker, nowMs)) return { id, bornMs };
  return { id, bornMs, longLeaseTasks: [...worker.tasks, ...worker.orphanedRuns.keys()] };
}

/**
 * Lists the workers that may hold a lease of this planner now or soon, and those that may still hold
 * one of an earlier planner, as that one recorded them. A worker without starts that seems to have
 * ended and is only called again holds none before it has reported.
 */
export function listLeaseHolders(
  workers: readonly Worker[],
  hasSeemedEnded: (worker: Worker) => boolean,
  unreported: readonly LeaseHolder[],
  nowMs: number,
): readonly LeaseHolder[] {
  const present = workers
    .filter((worker) => {
      const { clock, isListed, tasks } = worker;
      return clock !== undefined || tasks.size > 0 || (isListed && !hasSeemedEnded(worker));
    })
    .map((worker) => makeLeaseHolder(worker, nowMs));
  const holders = [...present, ...unreported];
  return [...new Map(holders.map((holder) => [holder.id, holder])).values()];
}

/** Says whether a stored record tells a successor all that the present one would. */
export function isCovered(present: LeaseHolder, stored: LeaseHolder | undefined): boolean {
  if (stored === undefined || stored.bornMs !== present.bornMs) return false;
  const { longLeaseTasks } = stored;
  if (present.longLeaseTasks === undefined || longLeaseTasks === undefined) {
    return present.longLeaseTasks === longLeaseTasks;
  }
  return present.longLeaseTasks.every((key) => longLeaseTasks.includes(key));
}
