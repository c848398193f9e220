/**
 * What a planner that has stopped tells its successor of waits that are not over. Each is given as
 * time that has passed or is left, measured by the clock of the planner that tells it, so that waits
 * go on over successive planners instead of beginning anew with each.
 */
import { z } from 'zod';
import type { Inheritance } from './inheritance.js';
import { leaseHolderSchema, makeLeaseHolder, type LeaseHolder } from './lease-holder.js';
import type { Worker } from './state.js';

/** A worker that may run something, with the time since its lease may last have been extended. */
export interface HeldLease extends LeaseHolder {
  /** In milliseconds; negative if earlier planners may still extend the lease for that long. */
  readonly orderedAgoMs: number;
}

/** What a planner tells; it sends no orders any more. */
export interface HandOver {
  /** Fencing token of the planner. */
  readonly token: number;
  /** Time in milliseconds for which planners before it may still send orders. */
  readonly earlierOrdersMs: number;
  /** All workers that may run something, or hold a lease of an earlier planner. */
  readonly leases: readonly HeldLease[];
}

/** A hand-over with the monotonic time in milliseconds to which its times refer. */
export interface TimedHandOver {
  readonly handOver: HandOver;
  readonly atMs: number;
}

/** A hand-over, as messages and records state it. */
export const handOverSchema = z.object({
  token: z.number(),
  earlierOrdersMs: z.number().nonnegative(),
  leases: z.array(leaseHolderSchema.extend({ orderedAgoMs: z.number() })),
});

/** Sources of a hand-over. */
export interface HandOverSources {
  readonly token: number;
  readonly workers: ReadonlyMap<string, Worker>;
  readonly inheritance: Pick<
    Inheritance,
    'listUnreported' | 'getLastOrderMs' | 'getPredecessorUntilMs'
  >;
}

/** Time in which an order that was sent has arrived or been given up, in milliseconds. */
export const ORDER_DELAY_MS = 1_000;

/** Computes when an order of this planner may last have extended a worker's lease. */
function computeOwnOrderMs({ lastReportMs, lastLeaseCallMs }: Worker, nowMs: number): number {
  return Math.min(nowMs, Math.max(lastReportMs, lastLeaseCallMs) + ORDER_DELAY_MS);
}

/** Makes the hand-over of a planner that stops at the monotonic time `nowMs`. */
export function makeHandOver(sources: HandOverSources, nowMs: number): HandOver {
  const { token, workers, inheritance } = sources;
  const leases = new Map<string, HeldLease>();
  workers.forEach((worker, id) => {
    if (worker.tasks.size === 0 && worker.orphanedRuns.size === 0) return;
    const orderedAgoMs = nowMs - computeOwnOrderMs(worker, nowMs);
    leases.set(id, { ...makeLeaseHolder(worker, nowMs), orderedAgoMs });
  });
  inheritance.listUnreported().forEach((holder) => {
    const orderedAgoMs = nowMs - inheritance.getLastOrderMs(holder.id);
    const ownAgoMs = leases.get(holder.id)?.orderedAgoMs ?? orderedAgoMs;
    leases.set(holder.id, { ...holder, orderedAgoMs: Math.min(orderedAgoMs, ownAgoMs) });
  });
  const earlierOrdersMs = Math.max(0, inheritance.getPredecessorUntilMs() - nowMs);
  return { token, earlierOrdersMs, leases: [...leases.values()] };
}

/** Brings the times of a hand-over to the monotonic time `nowMs`. */
export function refreshHandOver({ handOver, atMs }: TimedHandOver, nowMs: number): HandOver {
  const elapsedMs = nowMs - atMs;
  return {
    ...handOver,
    earlierOrdersMs: Math.max(0, handOver.earlierOrdersMs - elapsedMs),
    leases: handOver.leases.map((lease) => ({
      ...lease,
      orderedAgoMs: lease.orderedAgoMs + elapsedMs,
    })),
  };
}
