/**
 * Chooses a worker for a task. Load pattern: peaks of many small batch tasks beside a few lasting
 * ones, on a pool that grows and shrinks with its demand. Lasting tasks are spread, so that the loss of
 * a worker costs few of them; batch tasks go to the fullest worker that fits, near their data where that
 * has room, so that workers fall empty and can be lent when the peak is over.
 */
import type { Resources } from '../ports/workers.js';
import { computeCoreShare, hasRoom } from './room.js';
import type { StepSpec } from './spec.js';
import type { StepRun, Task, Worker } from './state.js';

/** Weight of running far from the data, as a share of a worker's load. */
const REMOTE_PENALTY = 0.5;

/** Weight of a worker on which the task failed before; taken only when no other fits. */
const AVOIDED_PENALTY = 10;

/** Weight of each task of the same step on the worker, for lasting tasks. */
const SIBLING_PENALTY = 2;

/** Failing tasks of this many different jobs without a success bar a worker from new work. */
export const BARRED_AFTER_JOBS = 4;

/** Weight of each job that failed on the worker since its last success. */
const FAILED_JOB_PENALTY = 0.3;

/** What a choice of worker depends on. */
export interface PlaceRequest {
  readonly task: Task;
  readonly step: StepSpec;
  readonly stepRun: StepRun;
  readonly footprint: Resources;
  /** Rack of the step's other tasks, for steps that must share one. */
  readonly rack: string | undefined;
  readonly nowMs: number;
}

/** Says whether a worker takes new tasks at all. */
export function isOpen(worker: Worker, nowMs: number): boolean {
  return (
    worker.isListed &&
    worker.isRecorded &&
    worker.entry.phase === 'ready' &&
    worker.clock !== undefined &&
    worker.misses === 0 &&
    worker.evacuateUntilMs <= nowMs &&
    worker.noStartBeforeMs <= nowMs &&
    worker.failedJobs.length < BARRED_AFTER_JOBS
  );
}

/** Counts the tasks of a step that a worker has. */
export function countOnWorker(stepRun: StepRun, workerId: string): number {
  let count = 0;
  stepRun.assigned.forEach((id) => {
    if (id === workerId) count += 1;
  });
  return count;
}

/** Says whether a worker may run a task of the step, whatever its load. */
export function isEligible(worker: Worker, request: PlaceRequest): boolean {
  const { step, stepRun } = request;
  if (step.requiredLabel !== undefined && !worker.entry.labels.includes(step.requiredLabel)) {
    return false;
  }
  return (
    step.maxPerWorker === undefined || countOnWorker(stepRun, worker.entry.id) < step.maxPerWorker
  );
}

/** Computes the cost of a worker for a task; the lowest wins. */
function computeCost(worker: Worker, request: PlaceRequest): number {
  const { task, step, stepRun, rack } = request;
  const wantedRack = rack ?? step.dataRack;
  const isRemote = wantedRack !== undefined && worker.entry.rack !== wantedRack;
  const coreShare = computeCoreShare(worker);
  return (
    (step.isLasting ? coreShare : 1 - coreShare) +
    (isRemote ? REMOTE_PENALTY : 0) +
    (task.avoid.includes(worker.entry.id) ? AVOIDED_PENALTY : 0) +
    (step.isLasting ? SIBLING_PENALTY * countOnWorker(stepRun, worker.entry.id) : 0) +
    FAILED_JOB_PENALTY * worker.failedJobs.length
  );
}

/** Chooses the worker with the lowest cost that is open, eligible and has room. */
export function chooseWorker(workers: Iterable<Worker>, request: PlaceRequest): Worker | undefined {
  let best: Worker | undefined;
  let bestCost = Infinity;
  for (const worker of workers) {
    const fits =
      isOpen(worker, request.nowMs) &&
      hasRoom(worker, request.footprint) &&
      isEligible(worker, request);
    const cost = fits ? computeCost(worker, request) : Infinity;
    if (cost < bestCost) {
      best = worker;
      bestCost = cost;
    }
  }
  return best;
}
