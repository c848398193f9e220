/**
 * Watches for a standing queue: tasks wait, and no plan starts any of them. The log line has what
 * is needed to tell the causes apart: exclusion of the workers, no free capacity, spread
 * rules, reservations, missing tickets, an uncertain inheritance, or no workers.
 */
import { isWithinSpread } from './choose-worker.js';
import { computeFootprint, computeFreeCapacity, hasFreeCapacity } from './free-capacity.js';
import type { PoolContext } from './pool-context.js';
import type { Resources } from '../ports/workers.js';
import type { Job, Worker } from './state.js';
import { listStartableSteps, type StartableStep } from './waiting-tasks.js';
import { countExclusions, explainExclusion } from './worker-exclusion.js';

/** What a plan did and what it could not use. */
export interface PlanSummary {
  readonly nowMs: number;
  /** Number of starts that were planned. */
  readonly starts: number;
  /** Number of workers reserved for lasting tasks that fit nowhere yet. */
  readonly reserved: number;
  /** Number of steps for which no accepting worker has a ticket of the advisor. */
  readonly ticketless: number;
  readonly isInheritanceUncertain: boolean;
  /** Number of workers that may hold leases from an earlier planner and have not reported. */
  readonly unreportedWorkers: number;
  /** Number of inherited tasks that may run under a long lease on one of these. */
  readonly unseenTasks: number;
  /** Number of registered workers that are ignored because their incarnation has ended. */
  readonly endedWorkers: number;
}

/** Figures of a queue for the metrics. */
export interface QueueFigures {
  /** Number of tasks of stored jobs that could start, in a retry delay or not. */
  readonly waitingTasks: number;
  /** How long tasks have waited without a planned start; 0 if none wait. */
  readonly standingMs: number;
}

/** Watch of one pool's queue. */
export interface StandingQueueWatch {
  /** Takes in a plan; logs while the queue stands, and once when it moves again. */
  readonly observePlan: (summary: PlanSummary) => void;
  readonly getFigures: (nowMs: number) => QueueFigures;
}

/** A queue stands if no start was planned for this long though tasks wait. */
export const STANDING_AFTER_MS = 2_000;

/** Minimum time between two lines about the same standing queue. */
const LOG_INTERVAL_MS = 2_000;

/** Minimum time between two counts of the waiting tasks. */
const CHECK_INTERVAL_MS = 250;

/** A job with tasks that could start. */
interface WaitingJob {
  readonly job: Job;
  readonly steps: readonly StartableStep[];
}

/** Lists the stored, active jobs with tasks that could start. */
function listWaitingJobs({ table }: PoolContext): readonly WaitingJob[] {
  return [...table.activeJobs.values()]
    .filter((job) => job.storedPhase !== 'none')
    .map((job) => ({ job, steps: listStartableSteps(job) }))
    .filter(({ steps }) => steps.length > 0);
}

/** Counts the waiting tasks of steps. */
function countTasks(steps: readonly StartableStep[]): number {
  return steps.reduce((sum, { stepRun }) => sum + stepRun.waiting.size, 0);
}

/** Compares footprints by cores, then by memory. */
function compareFootprints(a: Resources, b: Resources): number {
  return a.cores - b.cores || a.memoryMb - b.memoryMb;
}

/** Makes the log fields of the waiting tasks. */
function makeWaitingFields(
  jobs: readonly WaitingJob[],
  accepting: readonly Worker[],
  nowMs: number,
) {
  const steps = jobs.flatMap((waiting) => waiting.steps);
  const [oldest] = jobs.map(({ job }) => job).sort((a, b) => a.arrivedMs - b.arrivedMs);
  const [smallest] = steps.map(({ step }) => computeFootprint(step)).sort(compareFootprints);
  const listFitting = ({ step }: StartableStep) =>
    accepting.filter((worker) => hasFreeCapacity(worker, computeFootprint(step)));
  const isFitting = (startable: StartableStep) => listFitting(startable).length > 0;
  const isSpreadFull = (startable: StartableStep) =>
    isFitting(startable) &&
    listFitting(startable).every((worker) => !isWithinSpread(worker, startable));
  return {
    waitingTasks: countTasks(steps),
    waitingJobs: jobs.length,
    waitingSteps: steps.length,
    waitingGangs: steps.filter(({ step }) => step.isGang).length,
    fittingSteps: steps.filter(isFitting).length,
    spreadSteps: steps.filter(isSpreadFull).length,
    smallest,
    job: oldest?.record.spec.id,
    route: oldest?.record.spec.route,
    ageMs: oldest === undefined ? undefined : Math.round(nowMs - oldest.arrivedMs),
  };
}

/** Makes the log fields of the workers and the capacity of the pool. */
function makeWorkerFields({ table }: PoolContext, accepting: readonly Worker[], nowMs: number) {
  const workers = [...table.workers.values()];
  const [freest] = accepting
    .map(computeFreeCapacity)
    .sort((a, b) => b.cores - a.cores || b.memoryMb - a.memoryMb);
  return {
    workers: countExclusions(table, nowMs),
    freeCores: freest?.cores,
    freeMemoryMb: freest?.memoryMb,
    usedCores: workers.reduce((sum, worker) => sum + worker.used.cores, 0),
    cores: workers.reduce((sum, worker) => sum + worker.entry.capacity.cores, 0),
    orphanedRuns: workers.reduce((sum, worker) => sum + worker.orphanedRuns.size, 0),
    unstoredEnds: Math.max(0, ...workers.map((worker) => worker.lastEnd - worker.storedEnd)),
  };
}

/** Creates the watch of a pool. */
export function createStandingQueueWatch(context: PoolContext): StandingQueueWatch {
  const { table, report } = context;
  /** When tasks were first seen to wait since the last planned start; undefined if none wait. */
  let sinceMs: number | undefined;
  /** When the last line about the present standing was written. */
  let loggedMs: number | undefined;
  let checkedMs = -Infinity;

  const closeStanding = ({ nowMs, starts }: PlanSummary) => {
    if (sinceMs !== undefined && loggedMs !== undefined) {
      report({ event: 'queue-moves', standingMs: Math.round(nowMs - sinceMs), starts });
    }
    sinceMs = undefined;
    loggedMs = undefined;
  };
  const logStanding = (summary: PlanSummary, jobs: readonly WaitingJob[], standingMs: number) => {
    const { nowMs, reserved, ticketless, isInheritanceUncertain } = summary;
    const accepting = [...table.workers.values()].filter(
      (worker) => explainExclusion(worker, nowMs) === undefined,
    );
    report({
      event: 'queue-stands',
      standingMs: Math.round(standingMs),
      ...makeWaitingFields(jobs, accepting, nowMs),
      ...makeWorkerFields(context, accepting, nowMs),
      reserved,
      ticketless,
      isInheritanceUncertain,
      unreportedWorkers: summary.unreportedWorkers,
      unseenTasks: summary.unseenTasks,
      endedWorkers: summary.endedWorkers,
    });
  };
  return {
    observePlan: (summary) => {
      const { nowMs, starts } = summary;
      if (starts > 0) {
        closeStanding(summary);
        return;
      }
      if (nowMs - checkedMs < CHECK_INTERVAL_MS) return;
      checkedMs = nowMs;
      const jobs = listWaitingJobs(context);
      if (jobs.length === 0) {
        closeStanding(summary);
        return;
      }
      sinceMs ??= nowMs;
      const standingMs = nowMs - sinceMs;
      const isLogDue = loggedMs === undefined || nowMs - loggedMs >= LOG_INTERVAL_MS;
      if (standingMs < STANDING_AFTER_MS || !isLogDue) return;
      loggedMs = nowMs;
      logStanding(summary, jobs, standingMs);
    },
    getFigures: (nowMs) => ({
      waitingTasks: countTasks(listWaitingJobs(context).flatMap(({ steps }) => steps)),
      standingMs: sinceMs === undefined ? 0 : nowMs - sinceMs,
    }),
  };
}
