/** Figures of a pool: its backlog for admission, and its demand for lending. */
import type { PoolDemand } from '../lending/plan-lending.js';
import type { WorkerContent } from '../waves/plan-wave.js';
import type { PoolLoad } from './admit-job.js';
import { isOpen } from './place.js';
import { isOnTime } from './queue-order.js';
import { computeWorkLeft, countDone, listReadySteps } from './ready-steps.js';
import type { Resources } from '../ports/workers.js';
import { computeFootprint, NO_RESOURCES } from './room.js';
import type { JobSpec, StepSpec } from './spec.js';
import type { Job, Occurrence, Worker } from './state.js';
import type { TaskTable } from './task-table.js';
import { listPlaces, listWaiting, type StepPlace } from './waiting-tasks.js';

/** Batch jobs after which a pool's demand is taken as known. */
const JOBS_OF_A_PEAK = 8;

/** Sums a figure of every occurrence of the pool's batch jobs. */
function sumBatch(
  table: TaskTable,
  compute: (spec: JobSpec, occurrence: Occurrence) => number,
): number {
  let sum = 0;
  table.jobs.forEach((job) => {
    if (job.phase !== 'active' || job.isLasting) return;
    job.occurrences.forEach((occurrence) => {
      sum += compute(job.record.spec, occurrence);
    });
  });
  return sum;
}

/** Says whether the pool has had a peak: enough batch jobs to judge its demand by. */
function hasBatchWork(table: TaskTable): boolean {
  let count = 0;
  table.jobs.forEach((job) => {
    if (!job.isLasting) count += 1;
  });
  return count >= JOBS_OF_A_PEAK;
}

/** Sums sizes, each times a count. */
function sumSizes(parts: readonly { readonly size: Resources; readonly count: number }[]) {
  return parts.reduce(
    (sum, { size, count }) => ({
      cores: sum.cores + size.cores * count,
      memoryMb: sum.memoryMb + size.memoryMb * count,
      accelerators: sum.accelerators + size.accelerators * count,
    }),
    NO_RESOURCES,
  );
}

/** Sums what a job's batch tasks take that run or could start. */
function computeRunnable({ record: { spec }, occurrences }: Job): Resources {
  return sumSizes(
    [...occurrences.values()].flatMap((occurrence) =>
      listReadySteps(spec, occurrence).flatMap((index) => {
        const step = spec.steps[index];
        if (step === undefined) return [];
        return [{ size: step.size, count: step.count - countDone(occurrence, index) }];
      }),
    ),
  );
}

/** Finds the largest capacity of the workers that are listed. */
function findLargestWorker(table: TaskTable): Resources | undefined {
  let largest: Resources | undefined;
  table.workers.forEach(({ isListed, entry: { capacity } }) => {
    if (!isListed) return;
    largest = {
      cores: Math.max(capacity.cores, largest?.cores ?? 0),
      memoryMb: Math.max(capacity.memoryMb, largest?.memoryMb ?? 0),
      accelerators: Math.max(capacity.accelerators, largest?.accelerators ?? 0),
    };
  });
  return largest;
}

/** Counts memory as the cores that lie beside it on a worker, so that the scarcer of both decides. */
function computeTakenCores(worker: Resources | undefined, taken: Resources): number {
  if (worker === undefined || worker.memoryMb === 0) return taken.cores;
  return Math.max(taken.cores, (taken.memoryMb / worker.memoryMb) * worker.cores);
}

/** Says whether a task of the step could run at some worker, if that had room. */
function isRunnableSomewhere(table: TaskTable, { requiredLabel }: StepSpec): boolean {
  if (requiredLabel === undefined) return true;
  return [...table.workers.values()].some(({ entry }) => entry.labels.includes(requiredLabel));
}

/** Says whether tasks that could start wait for room; plans follow every change at once. */
function hasUnplaced(table: TaskTable, nowMs: number): boolean {
  const isUnplaced = (place: StepPlace) =>
    isRunnableSomewhere(table, place.step) && listWaiting(table, place, nowMs).length > 0;
  return [...table.jobs.values()]
    .filter((job) => job.phase === 'active' && job.storedPhase !== 'none')
    .some((job) => listPlaces(job).some(isUnplaced));
}

/** Computes what admission knows of the pool. */
export function computePoolLoad(table: TaskTable, nowMs: number): PoolLoad {
  const open = [...table.workers.values()].filter((worker) => isOpen(worker, nowMs));
  return {
    backlogCoreSeconds: sumBatch(table, computeWorkLeft),
    cores: open.reduce((sum, worker) => sum + worker.entry.capacity.cores, 0),
    largestWorker: findLargestWorker(table),
  };
}

/** Computes how many workers the spread of lasting steps needs, and one more to move a task to. */
function computeMinWorkers(table: TaskTable): number {
  const needs = [...table.jobs.values()]
    .filter((job) => job.phase === 'active' && job.isLasting)
    .flatMap((job) => job.record.spec.steps)
    .filter((step) => step.isLasting)
    .map((step) => Math.ceil(step.count / (step.maxPerWorker ?? step.count)) + 1);
  return Math.max(0, ...needs);
}

/** Counts what a worker has; a run that no task accounts for counts as lasting, as it may be. */
export function computeContent(table: TaskTable, worker: Worker): WorkerContent {
  const tasks = [...worker.tasks].flatMap((key) => table.findTask(key) ?? []);
  const lasting = tasks.filter((task) => table.findStep(task).isLasting).length;
  return { lastingTasks: lasting + worker.strays.size, batchTasks: tasks.length - lasting };
}

/** Sums what the lasting tasks take that workers have. */
function computeLasting(table: TaskTable): Resources {
  return sumSizes(
    [...table.workers.values()]
      .flatMap((worker) => [...worker.tasks])
      .flatMap((key) => table.findTask(key) ?? [])
      .map((task) => table.findStep(task))
      .filter((step) => step.isLasting)
      .map((step) => ({ size: computeFootprint(step), count: 1 })),
  );
}

/** Computes what lending knows of the pool. */
export function computeDemand(
  pool: string,
  table: TaskTable,
  arrivalCores: number,
  nowMs: number,
): PoolDemand {
  const batch = [...table.jobs.values()].filter((job) => job.phase === 'active' && !job.isLasting);
  const onTime = batch.filter((job) => isOnTime(job, nowMs));
  const largest = findLargestWorker(table);
  const computeCores = (jobs: readonly Job[]) =>
    computeTakenCores(
      largest,
      sumSizes(jobs.map((job) => ({ size: computeRunnable(job), count: 1 }))),
    );
  return {
    pool,
    arrivalCores,
    runnableCores: computeCores(batch),
    onTimeCores: computeCores(onTime),
    lastingCores: computeTakenCores(largest, computeLasting(table)),
    minWorkers: computeMinWorkers(table),
    hasPeaked: hasBatchWork(table),
    hasUnplaced: hasUnplaced(table, nowMs),
    workers: [...table.workers.values()].map((worker) => ({
      workerId: worker.entry.id,
      ...computeContent(table, worker),
    })),
  };
}
