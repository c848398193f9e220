/**
 * Planner of one pool: receives submissions, cancellations, the worker list and worker reports, and
 * decides what to start, stop and pace. It performs no input or output: a daemon executes the
 * actions and reports their outcomes. State that must survive the planner is returned as records to
 * store.
 */
import { createArrivalForecast } from '../lending/arrival-forecast.js';
import { refreshEjections } from './eject-workers.js';
import { createCancelTombstones } from './cancel-tombstones.js';
import { createCrashWatch } from './crashes/crash-watch.js';
import { createIsolation } from './crashes/isolation.js';
import { createExclusionLog } from './exclusion-log.js';
import { createInheritance } from './inheritance.js';
import { createInheritedRuns } from './inherited-runs.js';
import { createJobIntake } from './job-intake.js';
import { dropFinishedJobs, openDueOccurrences, openLoadedOccurrences } from './job-lifecycle.js';
import { observeStart, observeStop } from './observe-orders.js';
import { observeReport } from './observe-report.js';
import { createMeanWork } from './mean-work.js';
import { planPaces } from './pace.js';
import { createPlannerHandOver } from './planner-hand-over.js';
import { createPlanSchedule } from './plan-scope.js';
import { createStartPlanner } from './plan-starts.js';
import { planStops } from './plan-stops.js';
import type { PoolContext } from './pool-context.js';
import { countWorkerTasks, computeDemand } from './pool-demand.js';
import type { PlannerOptions, PoolPlanner } from './planner-types.js';
import { parseJobId } from './spec.js';
import type { Moment } from './state.js';
import { createSpreadLog } from './spread-log.js';
import { createStandingQueueWatch } from './standing-queue.js';
import { createPoolTeams } from '../teams/pool-teams.js';
import type { TeamSources } from '../teams/team-budget.js';
import { createPoolInterference } from '../interference/pool-interference.js';
import { createStoreQueue } from './store-queue.js';
import { recordStoredEnds } from './stored-ends.js';
import { createTaskTable } from './task-table.js';
import { createTicketRegistry } from './tickets.js';
import { createWorkerIncarnations } from './worker-incarnations.js';
import { countExclusions } from './worker-exclusion.js';

export type { JobStatus, PlannerOptions, PoolAction, PoolPlanner } from './planner-types.js';

/** How long the number of cores that lending can provide remains valid. */
const REACHABLE_CORES_TTL_MS = 3_000;

/** Share of these cores that admission counts on, because moving workers takes time. */
const REACHABLE_CORES_SHARE = 0.7;

/** Jobs that ended long ago are dropped, and their records removed, this often. */
const DROP_INTERVAL_MS = 1_000;

const NO_TEAMS: TeamSources = {
  getDirectory: () => undefined,
  countPools: () => 1,
  limitTolerance: 0,
};

/** Creates the planner of a pool. */
export function createPoolPlanner(pool: string, options: PlannerOptions): PoolPlanner {
  const table = createTaskTable();
  const tickets = createTicketRegistry((stepKey) => table.recordJobChange(parseJobId(stepKey)));
  const dirtyJobs = new Set<string>();
  const tombstones = createCancelTombstones();
  const storeQueue = createStoreQueue(pool, table, dirtyJobs, tombstones);
  const arrivals = createArrivalForecast();
  let reachable = { cores: 0, untilMs: 0 };
  const meanWork = createMeanWork();
  const baseContext: PoolContext = { table, dirtyJobs, report: options.report };
  const interference = createPoolInterference(baseContext);
  const context: PoolContext = { ...baseContext, interference };
  /** Says whether a worker has not been called yet, or not been listed as no worker has. */
  const isAwaited = (workerId: string) => {
    const worker = table.workers.get(workerId);
    if (worker === undefined) return table.workers.size === 0;
    return worker.isListed && worker.clock === undefined && worker.missedReports === 0;
  };
  const inheritedRuns = createInheritedRuns();
  const inheritance = createInheritance(options, isAwaited, inheritedRuns);
  const crashWatch = createCrashWatch(context, inheritedRuns);
  const incarnations = createWorkerIncarnations(context, inheritance, crashWatch);
  const isolation = createIsolation({
    context,
    hasCrashedWithout: crashWatch.hasCrashedWithout,
    findTicket: tickets.findTicket,
  });
  const teams = createPoolTeams({
    table,
    sources: options.teams ?? NO_TEAMS,
    inheritance,
    inheritedCeilings: options.teamCeilings ?? {},
    planner: options.runBase,
    report: options.report,
  });
  const handOver = createPlannerHandOver({
    context,
    inheritance,
    inheritedRuns,
    crashWatch,
    incarnations,
    teams,
  });
  const intake = createJobIntake({
    context,
    arrivals,
    meanWork,
    teams,
    storeQueue,
    tombstones,
    getReachableCores: (nowMs) =>
      nowMs < reachable.untilMs ? reachable.cores * REACHABLE_CORES_SHARE : 0,
  });
  const exclusionLog = createExclusionLog(context);
  const standingQueue = createStandingQueueWatch(context);
  const spreadLog = createSpreadLog(context);

  let nextDropMs = 0;
  const schedule = createPlanSchedule();
  const startPlanner = createStartPlanner({ context, tickets, meanWork, teams });
  /** Lists the workers that a plan looks at; on excluded ones, time alone makes a difference. */
  const listPlannedWorkers = (isFull: boolean): ReadonlySet<string> =>
    new Set([
      ...(isFull ? table.workers.keys() : exclusionLog.listExcluded()),
      ...table.getChanges().workerIds,
    ]);
  /** Applies what time alone has changed. */
  const applyTime = (at: Moment, isFull: boolean) => {
    const { nowMs, wallMs } = at;
    incarnations.releaseUnresponsive(listPlannedWorkers(isFull), at);
    crashWatch.giveUpJobs(at);
    isolation.refresh(nowMs);
    openDueOccurrences(table, wallMs);
    if (exclusionLog.listExcluded().length > 0) refreshEjections(table, nowMs);
    if (isFull && nowMs >= nextDropMs) {
      nextDropMs = nowMs + DROP_INTERVAL_MS;
      storeQueue.addRemoved(dropFinishedJobs(table, options.statusMs, nowMs));
      storeQueue.addRemoved(tombstones.dropExpired(nowMs, options.statusMs));
    }
  };
  return {
    table,
    tickets,
    loadJob: (record, progress, at) => {
      const storedPhase = progress?.phase ?? 'active';
      const job = table.addJob(record, { progress, runBase: options.runBase, storedPhase }, at);
      openLoadedOccurrences(table, job, progress, at);
      meanWork.addJob(job);
      crashWatch.observeLoadedJob(record.spec.id, at);
    },
    loadTombstone: (tombstone, { nowMs }) => tombstones.load(tombstone, nowMs),
    submit: intake.submit,
    cancel: intake.cancel,
    isCancelled: tombstones.blocks,
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
      return job === undefined ? tombstones.isStored(jobId) : job.storedPhase === job.phase;
    },
    countPending: ({ route, queue }) => {
      let count = 0;
      table.activeJobs.forEach(({ record, hasStarted, storedPhase }) => {
        const isOfQueue =
          queue === undefined || record.queue === undefined
            ? record.spec.route === route
            : record.queue === queue;
        if (!hasStarted && storedPhase !== 'none' && isOfQueue) count += 1;
      });
      return count;
    },
    listQueues: () => {
      const queues = new Set<string>();
      const ofJobs = [...table.jobs.values()].map(({ record }) => record.queue);
      for (const queue of [...ofJobs, ...tombstones.listQueues()]) {
        if (queue === undefined) return undefined;
        queues.add(queue);
      }
      return queues;
    },
    observeWorkers: incarnations.observeEntries,
    observeReport: (workerId, timed, at) => {
      if (!incarnations.observeReporter(workerId, timed, at)) return [];
      const hasMissedReports = (table.workers.get(workerId)?.missedReports ?? 0) > 0;
      if (hasMissedReports) options.report({ event: 'worker-regained', worker: workerId });
      observeReport(context, inheritance, workerId, timed, at);
      spreadLog.observeRunning(workerId, timed.report.running);
      const reporter = table.workers.get(workerId);
      if (reporter !== undefined) {
        crashWatch.observeAnswer(reporter.entry);
        crashWatch.dropDisproved(reporter, at.nowMs);
      }
      incarnations.recordReport(workerId, timed.sentMs);
      inheritance.recordReport(workerId, timed.sentMs);
      interference.observeReport(workerId, at.nowMs);
      return planPaces(context, workerId, at);
    },
    observeMissedReport: incarnations.observeMissedReport,
    observeIncarnationEnd: incarnations.observeIncarnationEnd,
    observeEndNotice: incarnations.observeEndNotice,
    observePredecessorStopped: inheritance.observePredecessorStopped,
    observeHandOver: handOver.observe,
    computeEarlierOrdersMs: (nowMs) => Math.max(0, inheritance.getPredecessorUntilMs() - nowMs),
    makeHandOver: handOver.make,
    explainWaits: inheritance.explainWaits,
    observeStart: (action, outcome, at) => observeStart(context, tickets, action, outcome, at),
    observeStop: (action, outcome, at) => observeStop(context, action, outcome, at),
    evacuate: (workerId, at) => {
      const { nowMs } = at;
      incarnations.recordEvacuation(workerId, at);
      const worker = table.workers.get(workerId);
      const isUnreported = inheritance.listUnreported().some(({ id }) => id === workerId);
      const hasReported = worker?.clock !== undefined && !isUnreported;
      if (!hasReported && inheritance.mayHoldLease(workerId, nowMs)) return undefined;
      if (worker === undefined) return { lastingTasks: 0, batchTasks: 0 };
      return countWorkerTasks(table, worker);
    },
    getDemand: (reachableCores, { nowMs }) => {
      reachable = { cores: reachableCores, untilMs: nowMs + REACHABLE_CORES_TTL_MS };
      return {
        ...computeDemand(pool, table, nowMs, teams.isHeldBack),
        arrivalCores: arrivals.getRate(nowMs),
        expectedCores: arrivals.getExpectedRate(nowMs),
      };
    },
    applyAllotments: (message, { nowMs }) => teams.applyMessage(message, nowMs),
    markEndsStored: (workerId, bornMs, lastEnd) =>
      recordStoredEnds(table, { workerId, bornMs, lastEnd }),
    getFigures: (nowMs) => ({
      workers: countExclusions(table, nowMs),
      teams: teams.listFigures(),
      interference: interference.getFigures(nowMs),
      ...standingQueue.getFigures(nowMs),
    }),
    plan: (at) => {
      inheritance.expire(at.nowMs);
      const isInheritanceUncertain = inheritance.isUncertain(at.nowMs);
      const isFull = schedule.takeFullPlan(at.nowMs, isInheritanceUncertain);
      applyTime(at, isFull);
      teams.refresh(at.nowMs);
      const workerIds = listPlannedWorkers(isFull);
      const { jobIds } = table.takeChanges();
      exclusionLog.observeWorkers(workerIds, at.nowMs);
      const stops = planStops(context, { at, isInheritanceUncertain, workerIds });
      const inputs = {
        at,
        isInheritanceUncertain,
        mayRunUnseen: (taskKey: string) => inheritance.mayRunUnseen(taskKey, at.nowMs),
        scope: { isFull, jobIds, workerIds },
      };
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
        unseenTasks: inheritance.countUnseen(at.nowMs),
        endedWorkers: incarnations.countEnded(at.nowMs),
      });
      return [...stops, ...actions];
    },
    removeStored: storeQueue.addRemoved,
    takeStoreBatch: storeQueue.takeBatch,
    dropUnstored: storeQueue.dropUnstored,
    listLeaseHolders: incarnations.listLeaseHolders,
    hasStoredHolders: incarnations.hasStoredHolders,
    planTeamCeilings: teams.planCeilings,
    observeCeilingsWrite: teams.observeCeilingsWrite,
    markWorkersRecorded: (ids) =>
      ids
        .filter((id) => table.workers.get(id)?.isRecorded === false)
        .forEach((id) => table.updateWorker(id, { isRecorded: true })),
  };
}
