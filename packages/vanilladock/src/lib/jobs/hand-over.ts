/**
 * What a planner that has stopped tells its successor of waits that are not over, and a holder of the
 * fleet duty of its orders. Each is given as time that has passed or is left, measured by the clock
 * of the one that tells it, so that waits go on over successive holders instead of beginning anew
 * with each.
 */
import { z } from 'zod';
import { resourcesSchema } from '../placement/resources.js';
import { toldAllotmentsSchema, type ToldAllotments } from '../teams/team-budget.js';
import { addTeamUse, sumTeamUse, type TeamUse } from '../teams/team-usage.js';
import type { Inheritance } from './inheritance.js';
import { LEASE_MS } from './lease-clock.js';
import {
  hasLongLease,
  leaseHolderSchema,
  makeLeaseHolder,
  type LeaseHolder,
} from './lease-holder.js';
import type { Job, Task, Worker } from './state.js';
import {
  addElapsedToCrashes,
  toldCrashesSchema,
  type ToldCrashes,
} from './crashes/told-crashes.js';
import { addElapsed, toldWorkerSchema, type ToldWorker } from './told-workers.js';
import { hasRuns } from './worker-runs.js';

/** A worker that may run something, with the time since its lease may last have been extended. */
export interface HeldLease extends LeaseHolder {
  /** In milliseconds; negative if earlier planners may still extend the lease for that long. */
  readonly orderedAgoMs: number;
  /**
   * What teams may use there at most, of a worker that does not answer; absent if it is not known,
   * and in hand-overs of earlier versions.
   */
  readonly teamUse?: TeamUse | undefined;
}

/** What a planner tells; it sends no orders any more. */
export interface HandOver {
  /** Fencing token of the planner. */
  readonly token: number;
  /** Time in milliseconds for which planners before it may still send orders. */
  readonly earlierOrdersMs: number;
  /** All workers that may run something, list ends that are not stored, or have not reported. */
  readonly leases: readonly HeldLease[];
  /**
   * Ends of leases that are longer than orders name, of workers that have reported; absent in those
   * of earlier versions.
   */
  readonly longLeases?: readonly LeaseEnd[] | undefined;
  /** Runs of which a stop is on its way; absent in those of earlier versions. */
  readonly stoppedRuns?: readonly StoppedRun[] | undefined;
  /**
   * Time in milliseconds since the fleet may last have carried out an order of this holder or of one
   * before it; negative if it still may for that long. Only the fleet duty tells it.
   */
  readonly fleetOrderAgoMs?: number | undefined;
  /**
   * What teams were allotted; absent in what is stored, as it may be read late, and in hand-overs of
   * earlier versions.
   */
  readonly allotments?: ToldAllotments | undefined;
  /**
   * What may run on workers, and on which of them; of a worker in `leases` that is missing here it is
   * not known, as in hand-overs of earlier versions.
   */
  readonly workers?: readonly ToldWorker[] | undefined;
  /** Crashes of workers; absent in those of earlier versions. */
  readonly crashes?: ToldCrashes | undefined;
  /** Token of a later planner that passes this on because it has not ordered anything. */
  readonly passedOnBy?: number | undefined;
}

/** Latest end of a worker's lease, on the clock of its incarnation, in milliseconds. */
export interface LeaseEnd {
  readonly id: string;
  /** Start of the incarnation, in milliseconds since 1970. */
  readonly bornMs: number;
  readonly leaseUntilMs: number;
}

/** A run of a task. */
export interface RunName {
  readonly taskKey: string;
  readonly run: number;
}

/** Run of which a stop is on its way. */
export interface StoppedRun extends RunName {
  /** Present if its task may have another run; absent in what earlier versions tell. */
  readonly isOrphaned?: true | undefined;
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
  leases: z.array(
    leaseHolderSchema.extend({
      orderedAgoMs: z.number(),
      teamUse: z.record(z.string(), resourcesSchema).optional(),
    }),
  ),
  longLeases: z
    .array(z.object({ id: z.string(), bornMs: z.number(), leaseUntilMs: z.number() }))
    .optional(),
  stoppedRuns: z
    .array(
      z.object({
        taskKey: z.string(),
        run: z.number(),
        isOrphaned: z.literal(true).optional(),
      }),
    )
    .optional(),
  fleetOrderAgoMs: z.number().optional(),
  allotments: toldAllotmentsSchema.optional(),
  workers: z.array(toldWorkerSchema).optional(),
  crashes: toldCrashesSchema.optional(),
  passedOnBy: z.number().optional(),
});

/** Sources of a hand-over. */
export interface HandOverSources {
  readonly token: number;
  readonly workers: ReadonlyMap<string, Worker>;
  readonly findTask: (taskKey: string) => Task | undefined;
  readonly inheritance: Pick<
    Inheritance,
    | 'listUnreported'
    | 'findLeaseEnd'
    | 'computeForeignLeaseMs'
    | 'listStoppedRuns'
    | 'getLastOrderMs'
    | 'getPredecessorUntilMs'
    | 'getTeamUse'
  >;
  readonly jobs: ReadonlyMap<string, Job>;
  readonly allotments: ToldAllotments | undefined;
  /** What is told of workers with runs. */
  readonly toldWorkers: readonly ToldWorker[];
  readonly toldCrashes: ToldCrashes;
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
function isToBeAsked(worker: Worker): boolean {
  return hasRuns(worker) || worker.lastEnd > worker.storedEnd;
}

/** Makes what this planner knows of a worker; the incarnation of a long lease may run more. */
function makeOwnLease(sources: HandOverSources, worker: Worker, nowMs: number): HeldLease {
  const holder = makeLeaseHolder(worker, nowMs);
  const orderedAgoMs = nowMs - computeOwnOrderMs(worker, nowMs);
  const isAnswering = worker.clock !== undefined && worker.missedReports === 0;
  if (isAnswering || holder.longLeaseTasks !== undefined) return { ...holder, orderedAgoMs };
  const hasTeams = [...sources.jobs.values()].some(({ record }) => record.team !== undefined);
  if (!hasTeams) return { ...holder, orderedAgoMs };
  const teamUse = Object.fromEntries(sumTeamUse(worker, sources.jobs));
  return { ...holder, orderedAgoMs, teamUse };
}

/** Merges what an earlier planner and this one know of a worker that has not reported. */
function mergeLeases(earlier: HeldLease, own: HeldLease | undefined): HeldLease {
  if (own === undefined) return earlier;
  const tasks = [...(earlier.longLeaseTasks ?? []), ...(own.longLeaseTasks ?? [])];
  const isUseKnown = earlier.teamUse !== undefined && own.teamUse !== undefined;
  return {
    ...earlier,
    longLeaseTasks: tasks.length === 0 ? undefined : tasks,
    orderedAgoMs: Math.min(earlier.orderedAgoMs, own.orderedAgoMs),
    teamUse: isUseKnown ? addTeamUse(earlier.teamUse, own.teamUse) : undefined,
  };
}

/** Lists the workers that the next planner has to ask or to wait for. */
function listLeases(sources: HandOverSources, nowMs: number): HeldLease[] {
  const { workers, inheritance } = sources;
  const leases = new Map<string, HeldLease>();
  workers.forEach((worker, id) => {
    if (!isToBeAsked(worker)) return;
    leases.set(id, makeOwnLease(sources, worker, nowMs));
  });
  inheritance.listUnreported().forEach((holder) => {
    const orderedAgoMs = nowMs - inheritance.getLastOrderMs(holder.id);
    const earlier = { ...holder, orderedAgoMs, teamUse: inheritance.getTeamUse(holder.id) };
    leases.set(holder.id, mergeLeases(earlier, leases.get(holder.id)));
  });
  return [...leases.values()];
}

/** Lists the orphaned runs that the next planner could take for those of their tasks. */
function listOrphanedRuns(
  workers: HandOverSources['workers'],
  findTask: HandOverSources['findTask'],
): StoppedRun[] {
  const isOpen = (taskKey: string) => (findTask(taskKey)?.state.kind ?? 'done') !== 'done';
  return [...workers.values()]
    .flatMap(({ orphanedRuns }) => [...orphanedRuns])
    .filter(([taskKey]) => isOpen(taskKey))
    .map(([taskKey, { assignment }]) => ({ taskKey, run: assignment.run, isOrphaned: true }));
}

/**
 * Lists the runs whose stop was ordered and whose end is not known, by this planner or by one before
 * it, as long as no report has shown this one where they are.
 */
function listStoppedRuns({ workers, findTask, inheritance }: HandOverSources): StoppedRun[] {
  const isUnseen = ({ taskKey, run, isOrphaned }: StoppedRun) => {
    const state = findTask(taskKey)?.state;
    const hasOtherRun = state?.kind === 'assigned' && state.run !== run;
    return state?.kind === 'waiting' || (isOrphaned === true && hasOtherRun);
  };
  const unseen = inheritance.listStoppedRuns().filter(isUnseen);
  const taskKeys = [...workers.values()].flatMap(({ tasks }) => [...tasks]);
  const own = taskKeys.flatMap((taskKey) => {
    const state = findTask(taskKey)?.state;
    const isStopping = state?.kind === 'assigned' && state.phase === 'stopping';
    return isStopping ? [{ taskKey, run: state.run }] : [];
  });
  return [...unseen, ...own, ...listOrphanedRuns(workers, findTask)];
}

/**
 * Lists the ends of long leases that are known to this planner or to those before it, also of leases
 * that are no longer long while the stored record may say so.
 */
function listLongLeases({ workers, inheritance }: HandOverSources, nowMs: number): LeaseEnd[] {
  return [...workers.values()].flatMap((worker) => {
    const { id, bornMs } = worker.entry;
    if (worker.clock === undefined) return inheritance.findLeaseEnd(id, bornMs) ?? [];
    const isRecorded = inheritance.computeForeignLeaseMs(id, bornMs) > LEASE_MS;
    const isTold = isRecorded || hasLongLease(worker, nowMs);
    return isTold ? [{ id, bornMs, leaseUntilMs: worker.leaseUntilMs }] : [];
  });
}

/** Makes the hand-over of a planner that stops at the monotonic time `nowMs`. */
export function makeHandOver(sources: HandOverSources, nowMs: number): HandOver {
  const untilMs = sources.inheritance.getPredecessorUntilMs();
  return {
    token: sources.token,
    earlierOrdersMs: Math.max(0, untilMs - nowMs),
    leases: listLeases(sources, nowMs),
    longLeases: listLongLeases(sources, nowMs),
    stoppedRuns: listStoppedRuns(sources),
    allotments: sources.allotments,
    workers: sources.toldWorkers,
    crashes: sources.toldCrashes,
  };
}

/** Brings the times of a hand-over to the monotonic time `nowMs`. */
export function refreshHandOver({ handOver, atMs }: TimedHandOver, nowMs: number): HandOver {
  const elapsedMs = nowMs - atMs;
  const { allotments, fleetOrderAgoMs } = handOver;
  return {
    ...handOver,
    fleetOrderAgoMs: fleetOrderAgoMs === undefined ? undefined : fleetOrderAgoMs + elapsedMs,
    allotments: allotments && { ...allotments, validMs: allotments.validMs - elapsedMs },
    earlierOrdersMs: Math.max(0, handOver.earlierOrdersMs - elapsedMs),
    leases: handOver.leases.map((lease) => ({
      ...lease,
      orderedAgoMs: lease.orderedAgoMs + elapsedMs,
    })),
    workers: handOver.workers?.map((told) => addElapsed(told, elapsedMs)),
    crashes: handOver.crashes && addElapsedToCrashes(handOver.crashes, elapsedMs),
  };
}
