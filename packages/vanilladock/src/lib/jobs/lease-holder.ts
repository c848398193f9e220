/**
 * Workers that may hold leases, as a planner stores them for its successor. Leases are as long as
 * `LEASE_MS`, with one exception: a worker that has started again under its id takes orders that were
 * meant for its earlier incarnation, whose clock was ahead, and grants what they name up to the
 * longest lease. A successor that cannot call the worker has to wait for that.
 */
import { z } from 'zod';
import { computeEarliestWorkerMs, LEASE_MARGIN_MS, LEASE_MS } from './lease-clock.js';
import type { Worker } from './state.js';
import { hasRuns } from './worker-runs.js';

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

/** A worker that may hold leases, as messages and records state it. */
export const leaseHolderSchema = z.object({
  id: z.string(),
  bornMs: z.number(),
  longLeaseTasks: z.array(z.string()).readonly().optional(),
});

/**
 * Says whether a worker may hold a lease that is longer than orders to its present incarnation name,
 * at the monotonic time `nowMs`. Until its first report, one that may have got orders does.
 */
export function hasLongLease(worker: Worker, nowMs: number): boolean {
  const { clock, leaseUntilMs } = worker;
  if (clock === undefined) return hasRuns(worker);
  return leaseUntilMs > computeEarliestWorkerMs(clock, nowMs) + LEASE_MS + LEASE_MARGIN_MS;
}

/** Makes the record of a worker at the monotonic time `nowMs`. */
export function makeLeaseHolder(worker: Worker, nowMs: number): LeaseHolder {
  const { id, bornMs } = worker.entry;
  if (!hasLongLease(worker, nowMs)) return { id, bornMs };
  return { id, bornMs, longLeaseTasks: [...worker.tasks, ...worker.orphanedRuns.keys()] };
}

/** What a planner knows of its possible lease holders. */
export interface LeaseHolderSources {
  readonly workers: ReadonlyMap<string, Worker>;
  /** Says whether a worker has seemed to have ended and is only called again. */
  readonly hasSeemedEnded: (worker: Worker) => boolean;
  /** Workers that may still hold a lease of an earlier planner, as that one recorded them. */
  readonly unreported: readonly LeaseHolder[];
}

/**
 * Says whether a worker may hold a lease of this planner now or soon. One without starts that seems
 * to have ended holds none before it has reported.
 */
function isPossibleHolder(worker: Worker, { hasSeemedEnded }: LeaseHolderSources): boolean {
  const { clock, isListed } = worker;
  return clock !== undefined || hasRuns(worker) || (isListed && !hasSeemedEnded(worker));
}

/** Lists the possible lease holders at the monotonic time `nowMs`. */
export function listLeaseHolders(
  sources: LeaseHolderSources,
  nowMs: number,
): readonly LeaseHolder[] {
  const holders = new Map<string, LeaseHolder>();
  sources.workers.forEach((worker, id) => {
    if (isPossibleHolder(worker, sources)) holders.set(id, makeLeaseHolder(worker, nowMs));
  });
  sources.unreported.forEach((holder) => holders.set(holder.id, holder));
  return [...holders.values()];
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

/**
 * Says whether the stored records, by id, tell a successor all that the present ones would. Load
 * pattern: it is asked before each write to the store, and hardly ever has anything changed, so it
 * makes records to compare only of workers with long leases.
 */
export function hasStoredHolders(
  sources: LeaseHolderSources,
  stored: ReadonlyMap<string, LeaseHolder>,
  nowMs: number,
): boolean {
  const { workers, unreported } = sources;
  let count = unreported.length;
  if (!unreported.every((holder) => isCovered(holder, stored.get(holder.id)))) return false;
  const unreportedIds = new Set(unreported.map(({ id }) => id));
  for (const worker of workers.values()) {
    const { id, bornMs } = worker.entry;
    if (!unreportedIds.has(id) && isPossibleHolder(worker, sources)) {
      const holder = stored.get(id);
      const isSame = hasLongLease(worker, nowMs)
        ? isCovered(makeLeaseHolder(worker, nowMs), holder)
        : holder?.bornMs === bornMs && holder.longLeaseTasks === undefined;
      if (!isSame) return false;
      count += 1;
    }
  }
  return count === stored.size;
}
