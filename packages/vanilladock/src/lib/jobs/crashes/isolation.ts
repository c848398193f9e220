/**
 * Gives suspects of a crash a worker of their own, so that another crash there names one job. Load
 * pattern: a crash makes a dozen tasks of several jobs wait at once, in a pool of a few workers that
 * is full. The most suspicious jobs go first: once one of them has crashed again, the others are
 * cleared. At most a share of the pool is used for it, at least one worker.
 */
import { chooseIsolatedWorker } from './choose-isolated-worker.js';
import { isAcceptingTasks, isEligible } from '../choose-worker.js';
import { isSuspect, isToBeIsolated, PROVEN_RUN_MS } from './crash-evidence.js';
import { hasFreeCapacity } from '../free-capacity.js';
import { createIsolationWaitLog } from './isolation-wait-log.js';
import { addResources, isWithin } from '../../placement/resources.js';
import { makeRequest, type PlacementRequest } from '../placement-request.js';
import type { PoolContext } from '../pool-context.js';
import { listReadySteps } from '../ready-steps.js';
import { sumLastingUse } from '../reservations.js';
import { makeStepKey } from '../spec.js';
import type { Task, Worker } from '../state.js';
import { listWorkerTasks } from '../worker-loss.js';
import type { WorkerEntry } from '../../ports/task-workers.js';

/** Isolation of a pool's suspects. */
export interface Isolation {
  /**
   * Opens the workers that are not needed any more, isolates others for waiting suspects, and marks
   * those that are clear of other jobs. `nowMs` is monotonic.
   */
  readonly refresh: (nowMs: number) => void;
}

/** Dependencies of the isolation. */
export interface IsolationOptions {
  readonly context: PoolContext;
  /** Says whether a machine has crashed lately without runs of a job. */
  readonly hasCrashedWithout: (entry: WorkerEntry, jobId: string, nowMs: number) => boolean;
  /** Finds the ticket of a step on a worker; undefined when there is none or it has expired. */
  readonly findTicket: (stepKey: string, workerId: string, nowMs: number) => string | undefined;
}

/** Share of the accepting workers that is isolated at once at most, rounded up. */
const MAX_ISOLATED_SHARE = 0.5;

/** Says whether a run has gone on for long enough not to be the cause of a crash. */
function isProven({ state }: Task, nowMs: number): boolean {
  if (state.kind !== 'assigned' || state.confirmedMs === undefined) return false;
  return nowMs - state.confirmedMs >= PROVEN_RUN_MS;
}

/** Creates the isolation of a pool; no worker is isolated at first. */
export function createIsolation(options: IsolationOptions): Isolation {
  const { context, hasCrashedWithout, findTicket } = options;
  const { table, report } = context;
  const isolatedIds = new Set<string>();
  const waitLog = createIsolationWaitLog(context);

  const isClearFor = (worker: Worker, jobId: string, nowMs: number) =>
    worker.orphanedRuns.size === 0 &&
    listWorkerTasks(context, worker).every((task) => task.jobId === jobId || isProven(task, nowMs));
  const hasRunningSuspect = (worker: Worker, nowMs: number) =>
    listWorkerTasks(context, worker).some((task) => isSuspect(task) && !isProven(task, nowMs));
  const setIsolation = (worker: Worker, jobId: string, nowMs: number) => {
    const { id } = worker.entry;
    const isClear = isClearFor(worker, jobId, nowMs);
    if (worker.isolation?.jobId === jobId && worker.isolation.isClear === isClear) return;
    if (worker.isolation?.jobId !== jobId) {
      report({ event: 'worker-isolated', worker: id, job: jobId, tasks: worker.tasks.size });
    }
    isolatedIds.add(id);
    table.updateWorker(id, { isolation: { jobId, isClear } });
    table.recordJobChange(jobId);
  };
  const openWorker = (workerId: string) => {
    isolatedIds.delete(workerId);
    const job = table.workers.get(workerId)?.isolation?.jobId;
    if (job === undefined) return;
    report({ event: 'worker-opened', worker: workerId, job });
    table.updateWorker(workerId, { isolation: undefined });
  };
  const isReady = ({ jobId, occurrence: number, stepIndex }: Task) => {
    const job = table.activeJobs.get(jobId);
    const occurrence = job?.occurrences.get(number);
    if (job === undefined || occurrence === undefined) return false;
    return listReadySteps(job.record.spec, occurrence).includes(stepIndex);
  };
  const listSuspects = (nowMs: number): readonly Task[] =>
    [...table.crashedTaskKeys]
      .flatMap((key) => table.findTask(key) ?? [])
      .filter((task) => task.state.kind !== 'done')
      .filter((task) => isToBeIsolated(task, table.findStep(task), nowMs));
  /** Says whether a task would start now if it had a worker. */
  const isWaiting = (task: Task) => {
    const job = table.activeJobs.get(task.jobId);
    const isStored = job !== undefined && job.storedCrashVersion >= job.crashVersion;
    return isStored && task.state.kind === 'waiting' && isReady(task);
  };
  /** Says whether the advisor, if the task needs one, allows it on a worker. */
  const hasTicket = ({ jobId, occurrence, stepIndex }: Task, workerId: string, nowMs: number) => {
    if (table.jobs.get(jobId)?.record.policy.advice === undefined) return true;
    return findTicket(makeStepKey(jobId, occurrence, stepIndex), workerId, nowMs) !== undefined;
  };
  /** Orders suspects: lasting ones first, as they run at all times, then by suspicion. */
  const compareSuspects = (a: Task, b: Task) =>
    Number(table.findStep(b).isLasting) - Number(table.findStep(a).isLasting) ||
    b.crashes.length - a.crashes.length ||
    Number(b.crashes.at(-1)?.suspicion === 'recent') -
      Number(a.crashes.at(-1)?.suspicion === 'recent');
  /** Keeps the isolated workers whose suspects run there or wait for them; opens the others. */
  const refreshIsolated = (waiting: readonly Task[], nowMs: number) =>
    [...isolatedIds].forEach((id) => {
      const worker = table.workers.get(id);
      const jobId = worker?.isolation?.jobId;
      const isWanted = waiting.some((task) => task.jobId === jobId && hasTicket(task, id, nowMs));
      const isKept =
        worker !== undefined &&
        (hasRunningSuspect(worker, nowMs) || (isWanted && isAcceptingTasks(worker, nowMs)));
      if (isKept && jobId !== undefined) setIsolation(worker, jobId, nowMs);
      else openWorker(id);
    });
  /** Isolates the workers on which suspects run that an earlier planner has started. */
  const handleRunning = (suspects: readonly Task[], nowMs: number) =>
    suspects.forEach((task) => {
      if (task.state.kind !== 'assigned' || isProven(task, nowMs)) return;
      const worker = table.workers.get(task.state.workerId);
      if (worker !== undefined && worker.isolation === undefined) {
        setIsolation(worker, task.jobId, nowMs);
      }
    });
  /** Says whether another worker may be isolated; those that have crashed since do not count. */
  const isAnotherAllowed = (nowMs: number) => {
    const accepting = [...table.workers.values()].filter((worker) =>
      isAcceptingTasks(worker, nowMs),
    );
    const isolated = accepting.filter(({ isolation }) => isolation !== undefined);
    return isolated.length < Math.ceil(accepting.length * MAX_ISOLATED_SHARE);
  };
  /** Lists the workers that are isolated for the job of a task and can take it once they are clear. */
  const listOwnWorkers = (request: PlacementRequest, nowMs: number): readonly Worker[] =>
    [...isolatedIds]
      .flatMap((id) => table.workers.get(id) ?? [])
      .filter(({ isolation }) => isolation?.jobId === request.task.jobId)
      .filter(({ entry }) => hasTicket(request.task, entry.id, nowMs))
      .filter(
        (worker) =>
          worker.isolation?.isClear === false ||
          (hasFreeCapacity(worker, request.footprint) && isEligible(worker, request)),
      );
  const chooseWorker = (request: PlacementRequest, isCandidate: (worker: Worker) => boolean) => {
    const { task, nowMs } = request;
    const workers = [...table.workers.values()].filter(
      (worker) =>
        isCandidate(worker) &&
        hasTicket(task, worker.entry.id, nowMs) &&
        isWithin(
          addResources(sumLastingUse(table, worker), request.footprint),
          worker.entry.capacity,
        ),
    );
    return chooseIsolatedWorker(workers, request, {
      crashedMachines: new Set(task.crashes.map(({ machine }) => machine)),
      hasCrashedWithout: (entry) => hasCrashedWithout(entry, task.jobId, nowMs),
    });
  };
  const handleWaiting = (task: Task, nowMs: number) => {
    const request = makeRequest(context, task, nowMs);
    const own = listOwnWorkers(request, nowMs);
    const hasOwn = own.length > 0;
    if (
      own.some((worker) => worker.isolation?.isClear === true || hasRunningSuspect(worker, nowMs))
    )
      return;
    if (!hasOwn && !isAnotherAllowed(nowMs)) return;
    const isClear = (worker: Worker) => isClearFor(worker, task.jobId, nowMs);
    const worker = chooseWorker(request, hasOwn ? isClear : () => true);
    if (worker === undefined) return;
    // One that is clear takes the place of one that still has to drain.
    own.forEach(({ entry }) => openWorker(entry.id));
    setIsolation(worker, task.jobId, nowMs);
  };
  return {
    refresh: (nowMs) => {
      if (table.crashedTaskKeys.size === 0 && isolatedIds.size === 0) return;
      const suspects = listSuspects(nowMs);
      const waiting = suspects.filter(isWaiting);
      refreshIsolated(waiting, nowMs);
      handleRunning(suspects, nowMs);
      const firstByJob = new Map<string, Task>();
      [...waiting].sort(compareSuspects).forEach((task) => {
        if (!firstByJob.has(task.jobId)) firstByJob.set(task.jobId, task);
      });
      firstByJob.forEach((task) => handleWaiting(task, nowMs));
      waitLog.observeWaiting(waiting, nowMs);
    },
  };
}
