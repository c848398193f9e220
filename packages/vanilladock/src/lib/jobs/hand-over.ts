/**
 * What a planner that has stopped tells its successor of waits that are not over, and a holder of the
 * fleet duty of its orders. Each is given as
 * time that has passed or is left, measured by the clock of the one that tells it, so that waits
 * go on over successive holders instead of beginning anew with each.
 */
import { z } from 'zod';
import type { Inheritance } from './inheritance.js';
import { leaseHolderSchema, makeLeaseHolder, type LeaseHolder } from './lease-holder.js';
import type { Task, Worker } from './state.js';

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
  /** All workers that may run something, list ends that are not stored, or have not reported. */
  readonly leases: readonly HeldLease[];
  /** Runs of which a stop is on its way; absent in those of earlier versions. */
  readonly stoppedRuns?: readonly RunName[] | undefined;
  /**
   * Time in milliseconds since the fleet may last have carried out an order of this holder or of one
   * before it; negative if it still may for that long. Only the fleet duty tells it.
   */
  readonly fleetOrderAgoMs?: number | undefined;
  /** Token of a later planner that passes this on because it has not ordered anything. */
  readonly passedOnBy?: number | undefined;
}

/** A run of a task. */
export interface RunName {
  readonly taskKey: string;
  readonly run: number;
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
  stoppedRuns: z.array(z.object({ taskKey: z.string(), run: z.number() })).optional(),
  fleetOrderAgoMs: z.number().optional(),
  passedOnBy: z.number().optional(),
});

/** Sources of a hand-over. */
export interface HandOverSources {
  readonly token: number;
  readonly workers: ReadonlyMap<string, Worker>;
  readonly findTask: (taskKey: string) => Task | undefined;
  readonly inheritance: Pick<
    Inheritance,
    'listUnreported' | 'getLastOrderMs' | 'getPredecessorUntilMs'
  >;
}

/** Time in which an order that was sent has arrived or been given up, in milliseconds. */
export const ORDER_DELAY_MS = 1_000;

/**
 * Computes when an order of this planner may last have extended a worker's lease. An order to a
 * worker that has not reported may still be carried out by an incarnation that is not known yet.
 */
function computeOwnOrderMs(worker: Worker, nowMs: number): number {
  const { clock, lastReportMs, lastLeaseCallMs } = worker;
  if (clock === undefined) return nowMs;
  return Math.min(nowMs, Math.max(lastReportMs, lastLeaseCallMs) + ORDER_DELAY_MS);
}

/** Says whether a worker may run something, or lists ends that are not stored. */
function isToBeAsked({ tasks, orphanedRuns, lastEnd, storedEnd }: Worker): boolean {
  return tasks.size > 0 || orphanedRuns.size > 0 || lastEnd > storedEnd;
}

/** Merges what an earlier planner and this one know of a worker that has not reported. */
function mergeLeases(earlier: HeldLease, own: HeldLease | undefined): HeldLease {
  if (own === undefined) return earlier;
  const tasks = [...(earlier.longLeaseTasks ?? []), ...(own.longLeaseTasks ?? [])];
  return {
    ...earlier,
    longLeaseTasks: tasks.length === 0 ? undefined : tasks,
    orderedAgoMs: Math.min(earlier.orderedAgoMs, own.orderedAgoMs),
  };
}

/** Lists the workers that the next planner has to ask or to wait for. */
function listLeases({ workers, inheritance }: HandOverSources, nowMs: number): HeldLease[] {
  const leases = new Map<string, HeldLease>();
  workers.forEach((worker, id) => {
    if (!isToBeAsked(worker)) return;
    const orderedAgoMs = nowMs - computeOwnOrderMs(worker, nowMs);
    leases.set(id, { ...makeLeaseHolder(worker, nowMs), orderedAgoMs });
  });
  inheritance.listUnreported().forEach((holder) => {
    const earlier = { ...holder, orderedAgoMs: nowMs - inheritance.getLastOrderMs(holder.id) };
    leases.set(holder.id, mergeLeases(earlier, leases.get(holder.id)));
  });
  return [...leases.values()];
}

/** Lists the runs whose stop was ordered and whose end is not known. */
function listStoppedRuns({ workers, findTask }: HandOverSources): RunName[] {
  const taskKeys = [...workers.values()].flatMap(({ tasks }) => [...tasks]);
  return taskKeys.flatMap((taskKey) => {
    const state = findTask(taskKey)?.state;
    const isStopping = state?.kind === 'assigned' && state.phase === 'stopping';
    return isStopping ? [{ taskKey, run: state.run }] : [];
  });
}

/** Makes the hand-over of a planner that stops at the monotonic time `nowMs`. */
export function makeHandOver(sources: HandOverSources, nowMs: number): HandOver {
  const untilMs = sources.inheritance.getPredecessorUntilMs();
  return {
    token: sources.token,
    earlierOrdersMs: Math.max(0, untilMs - nowMs),
    leases: listLeases(sources, nowMs),
    stoppedRuns: listStoppedRuns(sources),
  };
}

/** Brings the times of a hand-over to the monotonic time `nowMs`. */
export function refreshHandOver({ handOver, atMs }: TimedHandOver, nowMs: number): HandOver {
  const elapsedMs = nowMs - atMs;
  return {
    ...handOver,
    ...(handOver.fleetOrderAgoMs === undefined
      ? {}
      : { fleetOrderAgoMs: handOver.fleetOrderAgoMs + elapsedMs }),
    earlierOrdersMs: Math.max(0, handOver.earlierOrdersMs - elapsedMs),
    leases: handOver.leases.map((lease) => ({
      ...lease,
      orderedAgoMs: lease.orderedAgoMs + elapsedMs,
    })),
  };
}
