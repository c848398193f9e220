/**
 * Planner of one pool: receives submissions, cancellations, the worker list and worker reports, and
 * decides what to start, stop and pace. It performs no input or output: a daemon executes the
 * actions and reports their outcomes. State that must survive the planner is returned as records to
 * store.
 */
import { createArrivalForecast } from '../lending/arrival-forecast.js';
import type { PoolDemand } from '../lending/plan-lending.js';
import type { OrderOutcome, WorkerEntry } from '../ports/task-workers.js';
import type { WorkerTasks } from '../waves/plan-wave.js';
import { admitJob, type Admission } from './admit-job.js';
import { closeJob } from './apply-ends.js';
import { refreshEjections } from './eject-workers.js';
import { computeWork } from './estimate.js';
import { createExclusionLog } from './exclusion-log.js';
import { createInheritance, type InheritanceOptions } from './inheritance.js';
import { dropFinishedJobs, openDueOccurrences } from './job-lifecycle.js';
import { observeStart, observeStop } from './observe-orders.js';
import { observeReport, type TimedReport } from './observe-report.js';
import { createMeanWork } from './mean-work.js';
import { planPaces, type PaceAction } from './pace.js';
import { createPlanSchedule } from './plan-scope.js';
import { createStartPlanner, type AdviseAction, type StartAction } from './plan-starts.js';
import { planStops, type StopAction } from './plan-stops.js';
import type { DecisionEvent, PoolContext } from './pool-context.js';
import { countWorkerTasks, computeDemand, computePoolLoad } from './pool-demand.js';
import type { Progress } from './progress.js';
import { renderStep } from './render-step.js';
import { isLastingJob, parseJobId, type JobPolicy, type JobRecord, type JobSpec } from './spec.js';
import type { Moment } from './state.js';
import { createStandingQueueWatch, type QueueFigures } from './standing-queue.js';
import { createStoreQueue, type StoreBatch } from './store-queue.js';
import { recordStoredEnds } from './stored-ends.js';
import { createTaskTable, type TaskTable } from './task-table.js';
import { createTicketRegistry, type TicketRegistry } from './tickets.js';
import { createWorkerIncarnations } from './worker-incarnations.js';
import { countExclusions, type ExclusionCounts } from './worker-exclusion.js';

/** Action for the daemon to execute. */
export type PoolAction = StartAction | StopAction | PaceAction | AdviseAction;

/** Status of a job as reported to its caller; an end counts only once it is stored. */
export type JobStatus = 'queued' | 'running' | 'completed' | 'failed' | 'cancelled' | 'unknown';

/** Options of a pool's planner. */
export interface PlannerOptions extends InheritanceOptions {
  /** Writes an entry of the decision log. */
  readonly report: (event: DecisionEvent) => void;
  /**
   * Earlier planners may have used run numbers up to this one. If it is above 0, loaded jobs count
   * as inherited.
   */
  readonly runBase: number;
  /** How long the status of finished jobs is kept, in milliseconds. */
  readonly statusMs: number;
}

/** Planner of one pool. */
export interface PoolPlanner {
  readonly table: TaskTable;
  readonly tickets: TicketRegistry;
  /** Adds a job that an earlier planner stored; `progress` is undefined if none was stored. */
  readonly loadJob: (record: JobRecord, progress: Progress | undefined, at: Moment) => void;
  /**
   * Decides on a submission; an admitted job is queued to be stored and starts only afterwards. A
   * job whose id is in the table is `known`, and its new specification is ignored.
   */
  readonly submit: (spec: JobSpec, policy: JobPolicy, at: Moment) => Admission | 'known';
  /** Ends an active job; `ended` if it had ended before. The change still has to be stored. */
  readonly cancel: (jobId: string, at: Moment) => 'cancelling' | 'ended' | 'unknown';
  /** Gets the stored status; `unknown` also for a job that ended longer than `statusMs` ago. */
  readonly getJobStatus: (jobId: string) => JobStatus;
  /** Says whether the job's current phase is stored; false for an unknown job. */
  readonly isStored: (jobId: string) => boolean;
  /** Counts the route's active, stored jobs of which no task has started. */
  readonly countPending: (route: string) => number;
  /** Applies the complete list of registered workers. */
  readonly observeWorkers: (entries: readonly WorkerEntry[], at: Moment) => void;
  /**
   * Applies a worker's report and returns the pace changes to order. Ignores a report of an unknown
   * worker, and one of another incarnation that may be an earlier one.
   */
  readonly observeReport: (
    workerId: string,
    timed: TimedReport,
    at: Moment,
  ) => readonly PaceAction[];
  /** Counts a report that was requested but not received; no effect on an unknown worker. */
  readonly observeMissedReport: (workerId: string, at: Moment) => void;
  /**
   * Drops a worker, and requeues its tasks, because another worker responds at the address of its
   * incarnation that started at `bornMs`; ignored if it has another incarnation by now.
   */
  readonly observeIncarnationEnd: (workerId: string, bornMs: number, at: Moment) => void;
  /**
   * Counts a notice that some incarnation of a worker has ended as a missed report: only a report,
   * or the end of its lease, shows whether that was the present one.
   */
  readonly observeEndNotice: (workerId: string, at: Moment) => void;
  /** Records that the preceding planner sends no orders after `at`. */
  readonly observePredecessorStopped: (at: Moment) => void;
  /** Says whether orders of earlier planners can no longer take effect. */
  readonly isSettled: (nowMs: number) => boolean;
  /** Applies the outcome of a start that `plan` returned. */
  readonly observeStart: (action: StartAction, outcome: OrderOutcome, at: Moment) => void;
  /** Applies the outcome of a stop that `plan` returned. */
  readonly observeStop: (action: StopAction, outcome: OrderOutcome, at: Moment) => void;
  /**
   * Keeps new tasks off a worker for a limited time and moves its lasting tasks. Returns the number
   * of tasks on the worker; undefined while it is unknown.
   */
  readonly evacuate: (workerId: string, at: Moment) => WorkerTasks | undefined;
  /**
   * Computes the pool's demand and the tasks on each worker; records the cores lending can provide.
   */
  readonly getDemand: (reachableCores: number, at: Moment) => PoolDemand;
  /** Records that a worker's ends up to `lastEnd` are stored; ignored for other incarnations. */
  readonly markEndsStored: (workerId: string, bornMs: number, lastEnd: number) => void;
  /** Returns the figures of the queue, and the number of workers by the reason of exclusion. */
  readonly getFigures: (nowMs: number) => QueueFigures & { readonly workers: ExclusionCounts };
  /** Plans starts, stops and queries, records them as sent, and opens due occurrences. */
  readonly plan: (at: Moment) => readonly PoolAction[];
  /** Removes and returns what has to be stored now; undefined if there is nothing. */
  readonly takeStoreBatch: () => StoreBatch | undefined;
  /** Drops submissions that the store refused and requeues the other jobs of the batch. */
  readonly dropUnstored: (batch: StoreBatch) => void;
  /** Lists the ids of workers that may hold leases now or soon. */
  readonly listLeaseHolders: () => readonly string[];
  /** Records that workers are stored as possible lease holders; until then they get no tasks. */
  readonly markWorkersRecorded: (ids: readonly string[]) => void;
}

/** How long the number of cores that lending can provide remains valid. */
const REACHABLE_CORES_TTL_MS = 3_000;

/** Share of these cores that admission counts on, because moving workers takes time. */
const REACHABLE_CORES_SHARE = 0.7;

/** Creates the planner of a pool. */
export function createPoolPlanner(pool: string, options: PlannerOptions): PoolPlanner {
  const table = createTaskTable();
  const tickets = createTicketRegistry((stepKey) => table.recordJobChange(parseJobId(stepKey)));
  const dirtyJobs = new Set<string>();
  const storeQueue = createStoreQueue(pool, table, dirtyJobs);
  const arrivals = createArrivalForecast();
  let reachable = { cores: 0, untilMs: 0 };
  const meanWork = createMeanWork();
  const context: PoolContext = { table, dirtyJobs, report: options.report };
  const inheritance = createInheritance(options);
  const incarnations = createWorkerIncarnations(context, inheritance);
  const exclusionLog = createExclusionLog(context);
  const standingQueue = createStandingQueueWatch(context);

  const schedule = createPlanSchedule();
  const startPlanner = createStartPlanner({ context, tickets, meanWork });
  /** Lists the workers that a plan looks at; on excluded ones, time alone makes a difference. */
  const listPlannedWorkers = (isFull: boolean): ReadonlySet<string> =>
    new Set([
      ...(isFull ? table.workers.keys() : exclusionLog.listExcluded()),
      ...table.getChanges().workerIds,
    ]);
  /** Applies what time alone has changed. */
  const applyTime = ({ nowMs, wallMs }: Moment, isFull: boolean) => {
    incarnations.releaseUnresponsive(listPlannedWorkers(isFull), nowMs);
    openDueOccurrences(table, wallMs);
    if (exclusionLog.listExcluded().length > 0) refreshEjections(table, nowMs);
    if (isFull) dropFinishedJobs(table, options.statusMs, nowMs);
  };
  return {
    table,
    tickets,
    loadJob: (record, progress, at) => {
      const storedPhase = progress?.phase ?? 'active';
      const job = table.addJob(record, { progress, runBase: options.runBase, storedPhase }, at);
      if (job.phase !== 'active') table.updateJob(record.spec.id, { finishedMs: at.nowMs });
      meanWork.addJob(job);
    },
    submit: (spec, policy, at) => {
      if (table.jobs.has(spec.id)) return 'known';
      const currentLoad = computePoolLoad(table, at.nowMs);
      const usableReachableCores =
        at.nowMs < reachable.untilMs ? reachable.cores * REACHABLE_CORES_SHARE : 0;
      const load = { ...currentLoad, cores: Math.max(currentLoad.cores, usableReachableCores) };
      if (!isLastingJob(spec)) arrivals.add({ coreSeconds: computeWork(spec), jobs: 1 }, at.nowMs);
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
      meanWork.addJob(job);
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
    getJobStatus: (jobId) => {
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
    observeWorkers: incarnations.observeEntries,
    observeReport: (workerId, timed, at) => {
      if (!incarnations.observeReporter(workerId, timed, at)) return [];
      const hasMissedReports = (table.workers.get(workerId)?.missedReports ?? 0) > 0;
      if (hasMissedReports) options.report({ event: 'worker-regained', worker: workerId });
      observeReport(context, workerId, timed, at);
      incarnations.recordReport(workerId, timed.sentMs);
      inheritance.recordReport(workerId, timed.sentMs);
      return planPaces(context, workerId, at);
    },
    observeMissedReport: incarnations.observeMissedReport,
    observeIncarnationEnd: incarnations.observeIncarnationEnd,
    observeEndNotice: incarnations.observeEndNotice,
    observePredecessorStopped: ({ nowMs }) => inheritance.observePredecessorStopped(nowMs),
    isSettled: (nowMs) => !inheritance.isUncertain(nowMs),
    observeStart: (action, outcome, at) => observeStart(context, tickets, action, outcome, at),
    observeStop: (action, outcome, at) => observeStop(context, action, outcome, at),
    evacuate: (workerId, at) => {
      const { nowMs } = at;
      incarnations.recordEvacuation(workerId, at);
      const worker = table.workers.get(workerId);
      const hasReported =
        worker?.clock !== undefined && !inheritance.listUnreported().includes(workerId);
      if (!hasReported && inheritance.isWithinUncertaintyWindow(nowMs)) return undefined;
      if (worker === undefined) return { lastingTasks: 0, batchTasks: 0 };
      return countWorkerTasks(table, worker);
    },
    getDemand: (reachableCores, { nowMs }) => {
      reachable = { cores: reachableCores, untilMs: nowMs + REACHABLE_CORES_TTL_MS };
      return {
        ...computeDemand(pool, table, nowMs),
        arrivalCores: arrivals.getRate(nowMs),
        expectedCores: arrivals.getExpectedRate(nowMs),
      };
    },
    markEndsStored: (workerId, bornMs, lastEnd) =>
      recordStoredEnds(table, { workerId, bornMs, lastEnd }),
    getFigures: (nowMs) => ({
      workers: countExclusions(table, nowMs),
      ...standingQueue.getFigures(nowMs),
    }),
    plan: (at) => {
      inheritance.expire(at.nowMs);
      const isInheritanceUncertain = inheritance.isUncertain(at.nowMs);
      const isFull = schedule.takeFullPlan(at.nowMs, isInheritanceUncertain);
      applyTime(at, isFull);
      const workerIds = listPlannedWorkers(isFull);
      const { jobIds } = table.takeChanges();
      exclusionLog.observeWorkers(workerIds, at.nowMs);
      const stops = planStops(context, { at, isInheritanceUncertain, workerIds });
      const inputs = { at, isInheritanceUncertain, scope: { isFull, jobIds, workerIds } };
      const { actions, reserved, ticketless, nextRetryMs } = startPlanner.plan(inputs);
      schedule.addDueTime(nextRetryMs);
      // What the plan itself has changed gives no task a worker that it had none on before.
      table.takeChanges();
      standingQueue.observePlan({
        nowMs: at.nowMs,
        starts: actions.filter(({ kind }) => kind === 'start').length,
        reserved,
        ticketless,
        isInheritanceUncertain,
        unreportedWorkers: inheritance.listUnreported().length,
        endedWorkers: incarnations.countEnded(at.nowMs),
      });
      return [...stops, ...actions];
    },
    takeStoreBatch: storeQueue.takeBatch,
    dropUnstored: storeQueue.dropUnstored,
    listLeaseHolders: incarnations.listLeaseHolders,
    markWorkersRecorded: (ids) =>
      ids
        .filter((id) => table.workers.get(id)?.isRecorded === false)
        .forEach((id) => table.updateWorker(id, { isRecorded: true })),
  };
}
