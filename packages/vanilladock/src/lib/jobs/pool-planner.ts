/**
 * Planner of one pool: takes in submissions, cancels, workers and their reports, and decides what to
 * start, stop and pace. It does no input or output; a daemon carries the actions out and tells their
 * outcomes. What must survive the planner is handed out as records to store.
 */
import type { PoolDemand } from '../lending/plan-lending.js';
import type { OrderOutcome, WorkerEntry } from '../ports/task-workers.js';
import type { WorkerContent } from '../waves/plan-wave.js';
import { admitJob, type Admission } from './admit-job.js';
import { closeJob } from './apply-ends.js';
import { computeWork } from './estimate.js';
import { observeStart, observeStop } from './observe-orders.js';
import { observeReport, type TimedReport } from './observe-report.js';
import { planPaces, type PaceAction } from './pace.js';
import { planStarts, type AdviseAction, type StartAction } from './plan-starts.js';
import { planStops, type StopAction } from './plan-stops.js';
import type { DecisionEvent, PoolContext } from './pool-context.js';
import { computeContent, computeDemand, computePoolLoad } from './pool-figures.js';
import type { Progress } from './progress.js';
import { createRateMeter } from './rate-meter.js';
import { renderStep } from './render-step.js';
import { isLastingJob, type JobPolicy, type JobRecord, type JobSpec } from './spec.js';
import type { Job, Moment } from './state.js';
import { createStoreQueue, type StoreBatch } from './store-queue.js';
import { createTaskTable, type TaskTable } from './task-table.js';
import { createTicketBook, type TicketBook } from './tickets.js';
import { createWorkerLives, type LifeEnd, type LivesOptions } from './worker-lives.js';

/** Something for the daemon to carry out. */
export type PoolAction = StartAction | StopAction | PaceAction | AdviseAction;

/** State of a job as told to its caller. */
export type JobAnswer = 'queued' | 'running' | 'completed' | 'failed' | 'cancelled' | 'unknown';

/** A pool's settings that planning depends on. */
export interface PlannerOptions extends LivesOptions {
  readonly report: (event: DecisionEvent) => void;
  /** Runs up to this number may have been used by earlier planners. */
  readonly runBase: number;
  /** How long finished jobs are remembered. */
  readonly statusMs: number;
}

/** The planner of one pool. */
export interface PoolPlanner {
  readonly table: TaskTable;
  readonly tickets: TicketBook;
  readonly loadJob: (record: JobRecord, progress: Progress | undefined, at: Moment) => void;
  /** Decides on a submission and, when admitted, takes it in as not stored yet. */
  readonly submit: (spec: JobSpec, policy: JobPolicy, at: Moment) => Admission | 'known';
  readonly cancel: (jobId: string, at: Moment) => 'cancelling' | 'ended' | 'unknown';
  readonly getAnswer: (jobId: string) => JobAnswer;
  readonly isStored: (jobId: string) => boolean;
  readonly countPending: (route: string) => number;
  readonly observeWorkers: (entries: readonly WorkerEntry[], at: Moment) => void;
  readonly observeReport: (
    workerId: string,
    timed: TimedReport,
    at: Moment,
  ) => readonly PaceAction[];
  readonly observeMiss: (workerId: string, at: Moment) => void;
  readonly observeLifeEnd: (workerId: string, why: LifeEnd) => void;
  /** Notes that the planner before this one gives no more orders. */
  readonly observePredecessorStopped: (at: Moment) => void;
  /** Says whether no order of an earlier planner can take effect any more. */
  readonly isSettled: (nowMs: number) => boolean;
  readonly observeStart: (action: StartAction, outcome: OrderOutcome, at: Moment) => void;
  readonly observeStop: (action: StopAction, outcome: OrderOutcome, at: Moment) => void;
  /** Keeps new tasks off a worker for a moment, moves its lasting ones, and says what it has, once that is known. */
  readonly evacuate: (workerId: string, at: Moment) => WorkerContent | undefined;
  /** Tells the pool's demand and what each of its workers has; takes in what lending can bring. */
  readonly getDemand: (reachableCores: number, at: Moment) => PoolDemand;
  readonly markEndsStored: (workerId: string, bornMs: number, lastEnd: number) => void;
  readonly plan: (at: Moment) => readonly PoolAction[];
  readonly takeStoreBatch: () => StoreBatch | undefined;
  /** Forgets submissions that the store has refused, and keeps the rest of the batch to store. */
  readonly dropUnstored: (batch: StoreBatch) => void;
  /** Lists the workers that may hold leases, or are about to. */
  readonly listLeaseHolders: () => readonly string[];
  readonly markWorkersRecorded: (ids: readonly string[]) => void;
}

/** A worker that failed tasks of several jobs is tried again after this time. */
const BARRED_MS = 4_000;

/** What lending can bring is known for this long. */
const REACHABLE_MS = 3_000;

/** Part of it that admission counts on, as moves take their time. */
const REACHABLE_PART = 0.7;

/** Creates the planner of a pool. */
export function createPoolPlanner(pool: string, options: PlannerOptions): PoolPlanner {
  const table = createTaskTable();
  const tickets = createTicketBook();
  const dirtyJobs = new Set<string>();
  const storeQueue = createStoreQueue(pool, table, dirtyJobs);
  const arrivals = createRateMeter();
  let reachable = { cores: 0, untilMs: 0 };
  const meanWork = new Map<string, { readonly sum: number; readonly count: number }>();
  const context: PoolContext = { table, dirtyJobs, report: options.report };
  const lives = createWorkerLives(context, options);

  const recordWork = (job: Job) => {
    const { route } = job.record.spec;
    const known = meanWork.get(route) ?? { sum: 0, count: 0 };
    meanWork.set(route, { sum: known.sum + job.workCoreSeconds, count: known.count + 1 });
  };
  const getMeanWork = (route: string) => {
    const known = meanWork.get(route);
    return known === undefined ? 1 : known.sum / known.count;
  };
  const openDueOccurrences = (wallMs: number) => {
    table.jobs.forEach((job) => {
      const { id, repeatCount, startAtMs, intervalMs } = job.record.spec;
      if (job.phase !== 'active' || repeatCount === 0) return;
      const dueCount = Math.floor((wallMs - startAtMs) / Math.max(1, intervalMs)) + 1;
      for (let number = 0; number < Math.min(dueCount, repeatCount); number += 1) {
        if (!job.finishedOccurrences.has(number)) table.openOccurrence(id, number);
      }
    });
  };
  const dropFinished = (nowMs: number) => {
    table.jobs.forEach((job, id) => {
      const isOld = job.finishedMs !== undefined && nowMs - job.finishedMs > options.statusMs;
      if (isOld && job.storedPhase === job.phase) table.dropJob(id);
    });
  };
  return {
    table,
    tickets,
    loadJob: (record, progress, at) => {
      const storedPhase = progress?.phase ?? 'active';
      const job = table.addJob(record, { progress, runBase: options.runBase, storedPhase }, at);
      if (job.phase !== 'active') table.updateJob(record.spec.id, { finishedMs: at.nowMs });
      recordWork(job);
    },
    submit: (spec, policy, at) => {
      if (table.jobs.has(spec.id)) return 'known';
      const open = computePoolLoad(table, at.nowMs);
      const lent = at.nowMs < reachable.untilMs ? reachable.cores * REACHABLE_PART : 0;
      const load = { ...open, cores: Math.max(open.cores, lent) };
      if (!isLastingJob(spec)) arrivals.add(computeWork(spec), at.nowMs);
      const admission = admitJob(spec, policy, load);
      options.report({
        event: admission.kind === 'admitted' ? 'job-admitted' : 'job-refused',
        job: spec.id,
        route: spec.route,
        steps: spec.steps.map(renderStep),
        ...(admission.kind === 'refused' ? admission : {}),
        backlogCoreSeconds: Math.round(load.backlogCoreSeconds),
        cores: load.cores,
      });
      if (admission.kind === 'refused') return admission;
      const record: JobRecord = { spec, policy, acceptedAtMs: at.wallMs };
      const job = table.addJob(
        record,
        { progress: undefined, runBase: 0, storedPhase: 'none' },
        at,
      );
      recordWork(job);
      storeQueue.addNew(spec.id);
      return admission;
    },
    cancel: (jobId, at) => {
      const job = table.jobs.get(jobId);
      if (job === undefined) return 'unknown';
      if (job.phase !== 'active') return 'ended';
      closeJob(context, jobId, 'cancelled', at);
      return 'cancelling';
    },
    getAnswer: (jobId) => {
      const job = table.jobs.get(jobId);
      if (job === undefined) return 'unknown';
      const { storedPhase } = job;
      if (storedPhase === 'none' || storedPhase === 'active') {
        return job.hasStarted ? 'running' : 'queued';
      }
      return storedPhase;
    },
    isStored: (jobId) => {
      const job = table.jobs.get(jobId);
      return job !== undefined && job.storedPhase === job.phase;
    },
    countPending: (route) => {
      let count = 0;
      table.jobs.forEach((job) => {
        const isPending = job.phase === 'active' && !job.hasStarted && job.storedPhase !== 'none';
        if (isPending && job.record.spec.route === route) count += 1;
      });
      return count;
    },
    observeWorkers: lives.observeEntries,
    observeReport: (workerId, timed, at) => {
      const worker = table.workers.get(workerId);
      if (worker === undefined) return [];
      const { bornMs } = timed.report;
      if (bornMs !== undefined && bornMs !== worker.entry.bornMs) {
        lives.observeNewLife(worker, bornMs);
        return [];
      }
      if (worker.misses > 0) options.report({ event: 'worker-regained', worker: workerId });
      observeReport(context, workerId, timed, at);
      lives.markHeard(workerId, timed.sentMs);
      return planPaces(context, workerId, at);
    },
    observeMiss: lives.observeMiss,
    observeLifeEnd: lives.observeLifeEnd,
    observePredecessorStopped: ({ nowMs }) => lives.observePredecessorStopped(nowMs),
    isSettled: (nowMs) => !lives.isInheritanceDoubtful(nowMs),
    observeStart: (action, outcome, at) => observeStart(context, tickets, action, outcome, at),
    observeStop: (action, outcome, at) => observeStop(context, action, outcome, at),
    evacuate: (workerId, at) => {
      const { nowMs } = at;
      lives.markLeaving(workerId, at);
      const worker = table.workers.get(workerId);
      const isHeard = worker !== undefined && worker.clock !== undefined;
      if (!isHeard && lives.isWithinDoubt(nowMs)) return undefined;
      if (worker === undefined) return { lastingTasks: 0, batchTasks: 0 };
      return computeContent(table, worker);
    },
    getDemand: (reachableCores, { nowMs }) => {
      reachable = { cores: reachableCores, untilMs: nowMs + REACHABLE_MS };
      return computeDemand(pool, table, arrivals.getRate(nowMs), nowMs);
    },
    markEndsStored: (workerId, bornMs, lastEnd) => {
      const worker = table.workers.get(workerId);
      if (worker === undefined || worker.entry.bornMs !== bornMs) return;
      table.updateWorker(workerId, { storedEnd: Math.max(worker.storedEnd, lastEnd) });
    },
    plan: (at) => {
      lives.releaseSilent(at.nowMs);
      openDueOccurrences(at.wallMs);
      dropFinished(at.nowMs);
      table.workers.forEach((worker, id) => {
        const isPast = at.nowMs - worker.answeredMs > BARRED_MS && worker.tasks.size === 0;
        if (worker.failedJobs.length > 0 && isPast) table.updateWorker(id, { failedJobs: [] });
      });
      const isInheritanceDoubtful = lives.isInheritanceDoubtful(at.nowMs);
      const stops = planStops(context, { at, isInheritanceDoubtful });
      const starts = planStarts(context, {
        at,
        isInheritanceDoubtful,
        getMeanWork,
        tickets,
      });
      return [...stops, ...starts];
    },
    takeStoreBatch: storeQueue.takeBatch,
    dropUnstored: storeQueue.dropUnstored,
    listLeaseHolders: lives.listLeaseHolders,
    markWorkersRecorded: (ids) => ids.forEach((id) => table.updateWorker(id, { isRecorded: true })),
  };
}
