/** One pass over the queue: places the waiting tasks of jobs, and marks them as assigned. */
import { createCandidates, type Candidates } from './candidates.js';
import { chooseCheckpoint } from './checkpoints.js';
import { chooseWorker, isEligible, isFitting } from './choose-worker.js';
import { isToBeIsolated } from './crashes/crash-evidence.js';
import { releaseNeededWorkers } from './eject-workers.js';
import { computeFootprint, hasFreeCapacity } from './free-capacity.js';
import { estimateWorkerMs, LEASE_MS } from './lease-clock.js';
import { makeRequest, type PlacementRequest } from './placement-request.js';
import type { PlanScope } from './plan-scope.js';
import type { AdviseAction, StartAction } from './plan-starts.js';
import type { PoolContext } from './pool-context.js';
import type { Resources } from '../ports/workers.js';
import type { Reservations } from './reservations.js';
import { makeAssignment, type Moment, type Task, type Worker } from './state.js';
import { computeMultiple } from '../placement/resources.js';
import type { PoolTeams } from '../teams/pool-teams.js';
import type { TicketRegistry } from './tickets.js';
import type { WaitingJob } from './waiting-jobs.js';
import { makeStartableKey, selectWaitingTasks, type StartableStep } from './waiting-tasks.js';
import { isEjected, recordTrialTask } from './worker-failures.js';

/** Inputs of one pass. */
export interface StartPassOptions {
  readonly context: PoolContext;
  readonly tickets: TicketRegistry;
  readonly reservations: Reservations;
  readonly teams: Pick<PoolTeams, 'hasRoom'>;
  /** Says whether a task may run on a worker that this planner cannot call. */
  readonly mayRunUnseen: (taskKey: string) => boolean;
  readonly at: Moment;
  readonly scope: PlanScope;
}

/** Result of one pass. */
export interface StartPassResult {
  readonly actions: readonly (StartAction | AdviseAction)[];
  /** Ids of the jobs of which tasks were assigned. */
  readonly startedJobIds: ReadonlySet<string>;
  /** Number of steps that were tried on all workers and have no ticket for an accepting one. */
  readonly ticketless: number;
  /** Monotonic time at which the next retry delay of a task that was looked at ends. */
  readonly nextRetryMs: number;
}

/** A pass over the queue. */
export interface StartPass {
  /** As the bound of the candidates, over the changed workers alone. */
  readonly getChangedBound: () => Resources;
  /** Assigns as many waiting tasks of a job as fit; jobs are to be placed in queue order. */
  readonly placeJob: (waiting: WaitingJob) => void;
  readonly getPlan: () => StartPassResult;
}

/** Says whether the next task like this one may go to the same worker without another choice. */
function isRepeatable(task: Task): boolean {
  return task.avoidedWorkerIds.length === 0 && task.crashes.length === 0;
}

/**
 * Says whether the worker that the task before went to takes this one too; it is then the best one
 * again, as it has become fuller and batch tasks go to the fullest worker.
 */
function isBestAgain(worker: Worker, request: PlacementRequest): boolean {
  return isRepeatable(request.task) && isFitting(worker, request);
}

/** Creates a pass. */
export function createStartPass(options: StartPassOptions): StartPass {
  const { context, tickets, reservations, teams, at, scope } = options;
  const { table } = context;
  const starts: StartAction[] = [];
  const advice: AdviseAction[] = [];
  const startedJobIds = new Set<string>();
  let ticketless = 0;
  let nextRetryMs = Infinity;
  let allWorkers: Candidates | undefined;
  let hasEjected: boolean | undefined;

  const listAll = () => {
    allWorkers ??= createCandidates(table, table.workers.keys(), at.nowMs);
    return allWorkers;
  };
  const changedWorkers = scope.isFull
    ? listAll()
    : createCandidates(table, scope.workerIds, at.nowMs);
  /** Says whether a job has to be tried on all workers, and not only on changed ones. */
  const isForAllWorkers = (jobId: string) => scope.isFull || scope.jobIds.has(jobId);
  const isAnyEjected = () => {
    hasEjected ??= [...table.workers.values()].some((worker) => isEjected(worker, at.nowMs));
    return hasEjected;
  };
  const findStepTicket = (stepKey: string, worker: Worker) =>
    tickets.findTicket(stepKey, worker.entry.id, at.nowMs);
  const queryAdvisor = (stepKey: string, workers: readonly Worker[]) => {
    const ids = workers.map(({ entry }) => entry.id);
    const workerIds = tickets.takeQuery(stepKey, ids, at.nowMs);
    if (workerIds.length > 0) advice.push({ kind: 'advise', stepKey, workerIds });
  };
  /** Selects the candidates that a step may use by reservations and tickets. */
  const selectCandidates = (startable: StartableStep, from: Candidates): Candidates => {
    const needsTicket = startable.job.record.policy.advice !== undefined;
    if (!needsTicket && reservations.count() === 0) return from;
    const stepKey = makeStartableKey(startable);
    const open = from.list().filter(({ entry }) => reservations.isOpenTo(entry.id, stepKey));
    const hasTicket = (worker: Worker) => findStepTicket(stepKey, worker) !== undefined;
    if (needsTicket && from === listAll()) {
      queryAdvisor(stepKey, open);
      if (open.length > 0 && !open.some(hasTicket)) ticketless += 1;
    }
    const selected = needsTicket ? open.filter(hasTicket) : open;
    const ids = selected.map(({ entry }) => entry.id);
    return createCandidates(table, ids, at.nowMs);
  };
  /** Prepares for a later plan in which a task that no candidate has capacity for may start. */
  const handleUnplaced = (startable: StartableStep, request: PlacementRequest) => {
    if (isAnyEjected()) releaseNeededWorkers(table, request);
    if (startable.job.record.policy.advice === undefined) return;
    const stepKey = makeStartableKey(startable);
    const others = listAll()
      .list()
      .filter(
        (worker) =>
          hasFreeCapacity(worker, request.footprint) &&
          isEligible(worker, request) &&
          findStepTicket(stepKey, worker) === undefined,
      );
    queryAdvisor(stepKey, others);
  };
  const makeLease = ({ clock }: Worker) =>
    Math.round(
      estimateWorkerMs(clock ?? { workerMs: 0, lastReportMs: at.nowMs }, at.nowMs) + LEASE_MS,
    );
  const assignTask = (
    startable: StartableStep,
    task: Task,
    worker: Worker,
    { run, checkpoint }: Pick<StartAction, 'run' | 'checkpoint'>,
  ): StartAction => {
    const { id, address } = worker.entry;
    const leaseUntilMs = makeLease(worker);
    const state = makeAssignment(id, run, {
      phase: 'starting',
      leaseUntilMs,
      lastProgressMs: at.nowMs,
    });
    table.moveTask(task, state, { lastRun: run });
    table.updateWorker(id, {
      leaseUntilMs: Math.max(worker.leaseUntilMs, leaseUntilMs),
      lastLeaseCallMs: at.nowMs,
      ...(startable.step.isLasting
        ? {}
        : { failures: recordTrialTask(worker, task.key, at.nowMs) }),
    });
    allWorkers?.refreshWorker(id);
    changedWorkers.refreshWorker(id);
    return {
      kind: 'start',
      worker: { id, address },
      taskKey: task.key,
      run,
      payload: startable.job.record.spec.payload,
      leaseUntilMs,
      checkpoint,
      ticket: findStepTicket(makeStartableKey(startable), worker),
    };
  };
  const listTasks = (startable: StartableStep) => {
    const waiting = selectWaitingTasks(table, startable, at.nowMs, options.mayRunUnseen);
    nextRetryMs = Math.min(nextRetryMs, waiting.nextRetryMs);
    return waiting.tasks;
  };
  const releaseGang = (members: readonly Task[]) =>
    members.forEach((member) => {
      const assigned = table.findTask(member.key);
      if (assigned?.state.kind !== 'assigned') return;
      const { workerId } = assigned.state;
      table.moveTask(assigned, member.state, { lastRun: member.lastRun }, 'ended');
      allWorkers?.refreshWorker(workerId);
      changedWorkers.refreshWorker(workerId);
    });
  /** Logs a task that is placed beside one that it slows down, as far as is known. */
  const logEffect = (task: Task, worker: Worker, request: PlacementRequest) => {
    const { cost, worst } = request.estimateEffect(worker);
    if (cost === 0) return;
    const { id } = worker.entry;
    context.report({ event: 'placed-beside', task: task.key, worker: id, cost, ...worst });
  };
  /** Assigns all tasks of a gang, or none if one of them fits nowhere. */
  const placeGang = (startable: StartableStep) => {
    const waiting = listTasks(startable);
    if (waiting.length < startable.step.count) return;
    const gangSize = computeMultiple(startable.step.size, waiting.length);
    if (!teams.hasRoom(startable.job, gangSize)) return;
    const run = Math.max(...waiting.map((task) => task.lastRun)) + 1;
    const checkpoint = chooseCheckpoint(waiting);
    const candidates = selectCandidates(startable, listAll());
    const planned: StartAction[] = [];
    for (const task of waiting) {
      const request = makeRequest(context, task, at.nowMs);
      const worker = chooseWorker(candidates.list(), request);
      if (worker === undefined) {
        handleUnplaced(startable, request);
        releaseGang(waiting);
        return;
      }
      planned.push(assignTask(startable, task, worker, { run, checkpoint }));
      candidates.refreshWorker(worker.entry.id);
    }
    starts.push(...planned);
  };
  /**
   * Assigns tasks of a step until one does not fit; returns that one. Stops when the limit of the
   * team is reached, which no other worker would change.
   */
  const placeTasks = (
    startable: StartableStep,
    tasks: readonly Task[],
    candidates: Candidates,
  ): Task | undefined => {
    let lastId: string | undefined;
    for (const task of tasks) {
      if (!teams.hasRoom(startable.job, startable.step.size)) return undefined;
      const request = makeRequest(context, task, at.nowMs);
      const last = lastId === undefined ? undefined : table.workers.get(lastId);
      const worker =
        last !== undefined && isBestAgain(last, request)
          ? last
          : chooseWorker(candidates.list(), request);
      if (worker === undefined) return task;
      logEffect(task, worker, request);
      const checkpoint = chooseCheckpoint([task]);
      starts.push(assignTask(startable, task, worker, { run: task.lastRun + 1, checkpoint }));
      candidates.refreshWorker(worker.entry.id);
      const { isLasting, isFilling } = startable.step;
      const mayRepeat = !isLasting && !isFilling && isRepeatable(task);
      lastId = mayRepeat ? worker.entry.id : undefined;
    }
    return undefined;
  };
  /** Assigns tasks of a step that is no gang; one that fits nowhere may get a reservation. */
  const placeStep = (startable: StartableStep, usesAllWorkers: boolean) => {
    const { step } = startable;
    const from = usesAllWorkers ? listAll() : changedWorkers;
    const mayFit = from.mayFit(computeFootprint(step));
    const needsOthers = step.isLasting || startable.job.record.policy.advice !== undefined;
    if (!mayFit && !(usesAllWorkers && (needsOthers || isAnyEjected()))) return;
    const tasks = listTasks(startable);
    if (tasks.length === 0) return;
    const candidates = selectCandidates(startable, from);
    const stepKey = makeStartableKey(startable);
    const isolated = tasks.filter((task) => isToBeIsolated(task, step, at.nowMs));
    isolated.forEach((task) => placeTasks(startable, [task], candidates));
    const others = tasks.filter((task) => !isolated.includes(task));
    const unplaced = placeTasks(startable, others, candidates);
    if (unplaced === undefined) {
      reservations.remove(stepKey);
      return;
    }
    from.refreshBound();
    if (!usesAllWorkers) return;
    const request = makeRequest(context, unplaced, at.nowMs);
    handleUnplaced(startable, request);
    if (step.isLasting) reservations.add(stepKey, candidates.list(), request);
  };
  return {
    getChangedBound: changedWorkers.getBound,
    placeJob: ({ job, steps }) => {
      const { id } = job.record.spec;
      const startsBefore = starts.length;
      const usesAllWorkers = isForAllWorkers(id);
      steps.forEach((startable) => {
        if (!startable.step.isGang) placeStep(startable, usesAllWorkers);
        else if (usesAllWorkers || changedWorkers.list().length > 0) placeGang(startable);
      });
      if (starts.length === startsBefore) return;
      startedJobIds.add(id);
      if (!job.hasStarted) table.updateJob(id, { hasStarted: true });
    },
    getPlan: () => ({
      actions: [...starts, ...advice],
      startedJobIds,
      ticketless,
      nextRetryMs,
    }),
  };
}
