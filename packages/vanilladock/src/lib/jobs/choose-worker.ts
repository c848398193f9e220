/**
 * Chooses a worker for a task. Load pattern: peaks of many small batch tasks beside a few lasting
 * tasks, on a pool that grows and shrinks with its demand. Lasting tasks of one step are spread over
 * workers and racks, so that a loss affects few of them; those of different steps share workers, as
 * a worker with a lasting task can hardly be lent. Batch tasks go to the fullest worker that fits,
 * near their data if there is free capacity, so that workers become idle and can be lent after the
 * peak. Tasks that slow each other down are kept apart while another worker fits.
 */
import { isToBeIsolated } from './crashes/crash-evidence.js';
import { computeUsedCoreShare, hasFreeCapacity } from './free-capacity.js';
import { getMachine } from './crashes/machine-crashes.js';
import type { PlacementRequest } from './placement-request.js';
import type { StepRun, Task, Worker } from './state.js';
import { explainExclusion } from './worker-exclusion.js';

/** Cost of running on another rack than the data; 1 corresponds to the load of a full worker. */
const REMOTE_PENALTY = 0.5;

/**
 * Cost of a worker on which the task failed, stalled or was lost before; chosen only if no other
 * worker fits.
 */
const AVOIDED_PENALTY = 10;

/** For lasting tasks, cost of each task of the same step on the worker. */
const SIBLING_PENALTY = 2;

/** For lasting tasks, cost of each task of the same step on the worker's rack. */
const RACK_SIBLING_PENALTY = 0.05;

/** For lasting tasks, cost of a worker that has none yet; above that of any load. */
const FIRST_LASTING_PENALTY = 1.5;

/** For a suspect of a crash, cost of each other suspect on the worker; above that of any load. */
const SUSPECT_PENALTY = 2;

/** Cost of each job with a failed task on the worker since the last success there. */
const FAILED_JOB_PENALTY = 0.3;

/** Says whether a worker accepts new tasks at all, whatever its free capacity. */
export function isAcceptingTasks(worker: Worker, nowMs: number): boolean {
  return explainExclusion(worker, nowMs) === undefined;
}

/** Counts the runs of a step on a worker, those included that no task waits for any more. */
function countOnWorker({ assigned, key }: StepRun, { entry, orphanedRuns }: Worker): number {
  let count = 0;
  assigned.forEach((id) => {
    if (id === entry.id) count += 1;
  });
  orphanedRuns.forEach(({ stepKey }) => {
    if (stepKey === key) count += 1;
  });
  return count;
}

/** Says whether a worker may get another task of a step by the step's spread. */
export function isWithinSpread(
  worker: Worker,
  { step, stepRun }: Pick<PlacementRequest, 'step' | 'stepRun'>,
): boolean {
  return step.maxPerWorker === undefined || countOnWorker(stepRun, worker) < step.maxPerWorker;
}

/** Says whether label and spread rules allow a task of the step on a worker. */
export function isAllowed(worker: Worker, request: PlacementRequest): boolean {
  const { requiredLabel } = request.step;
  const hasLabel = requiredLabel === undefined || worker.entry.labels.includes(requiredLabel);
  return hasLabel && isWithinSpread(worker, request);
}

/** Says whether a worker is open to a task: some are isolated for the suspects of one job. */
function isOpen({ isolation }: Worker, { task, step, nowMs }: PlacementRequest): boolean {
  const isSuspect = isToBeIsolated(task, step, nowMs);
  if (isolation === undefined) return !isSuspect;
  return isSuspect && isolation.isClear && isolation.jobId === task.jobId;
}

/** Says whether a task may run on a worker, whatever its load. */
export function isEligible(worker: Worker, request: PlacementRequest): boolean {
  return isAllowed(worker, request) && isOpen(worker, request);
}

/** Says whether a worker accepts tasks, and has free capacity for this one, and its rules allow it. */
export function isFitting(worker: Worker, request: PlacementRequest): boolean {
  return (
    isAcceptingTasks(worker, request.nowMs) &&
    hasFreeCapacity(worker, request.footprint) &&
    isEligible(worker, request)
  );
}

/**
 * Computes the part of the cost that keeps lasting tasks together or apart. Tasks with a target for
 * their tail latency stay apart, as they slow each other down.
 */
function computeLastingCost(worker: Worker, { step, stepRun, siblingsByRack }: PlacementRequest) {
  const isFirst = worker.lastingTasks === 0 && step.tailTargetMs === undefined;
  return (
    (isFirst ? FIRST_LASTING_PENALTY : 0) +
    SIBLING_PENALTY * countOnWorker(stepRun, worker) +
    RACK_SIBLING_PENALTY * (siblingsByRack.get(worker.entry.rack ?? '') ?? 0)
  );
}

/** Says whether a task failed or stalled on a worker, or was lost with its machine. */
function isAvoided({ avoidedWorkerIds, crashes }: Task, { entry }: Worker): boolean {
  return (
    avoidedWorkerIds.includes(entry.id) ||
    crashes.some(({ machine }) => machine === getMachine(entry))
  );
}

/** Computes the cost of running a task on a worker; the worker with the lowest cost is chosen. */
function computeCost(worker: Worker, request: PlacementRequest): number {
  const { task, step, rack, suspectsByWorker } = request;
  const preferredRack = rack ?? step.dataRack;
  const isRemote = preferredRack !== undefined && worker.entry.rack !== preferredRack;
  const coreShare = computeUsedCoreShare(worker);
  return (
    (step.isLasting ? coreShare : 1 - coreShare) +
    (isRemote ? REMOTE_PENALTY : 0) +
    (isAvoided(task, worker) ? AVOIDED_PENALTY : 0) +
    (step.isLasting ? computeLastingCost(worker, request) : 0) +
    SUSPECT_PENALTY * (suspectsByWorker.get(worker.entry.id) ?? 0) +
    request.estimateEffect(worker).cost +
    FAILED_JOB_PENALTY * worker.failures.jobs.length
  );
}

/**
 * Chooses the eligible worker with the lowest cost that accepts tasks and has free capacity.
 * Undefined if there is none; reserves nothing.
 */
export function chooseWorker(
  workers: Iterable<Worker>,
  request: PlacementRequest,
): Worker | undefined {
  let best: Worker | undefined;
  let bestCost = Infinity;
  for (const worker of workers) {
    const cost = isFitting(worker, request) ? computeCost(worker, request) : Infinity;
    if (cost < bestCost) {
      best = worker;
      bestCost = cost;
    }
  }
  return best;
}
