/** Figures of a pool: its backlog for admission, and its demand for lending. */
import type { PoolDemand } from '../lending/plan-lending.js';
import type { WorkerContent } from '../waves/plan-wave.js';
import type { PoolLoad } from './admit-job.js';
import { isOpen } from './place.js';
import { isOnTime } from './queue-order.js';
import { computeWorkLeft, countDone, listReadySteps } from './ready-steps.js';
import { computeFootprint } from './room.js';
import type { JobSpec } from './spec.js';
import type { Job, Occurrence, Worker } from './state.js';
import type { TaskTable } from './task-table.js';

/** Batch jobs after which a pool's demand is taken as known. */
const JOBS_OF_A_PEAK = 8;

/** Sums a figure of every occurrence of the pool's batch jobs, or of those that fit. */
function sumBatch(
  table: TaskTable,
  compute: (spec: JobSpec, occurrence: Occurrence) => number,
  isFit: (job: Job) => boolean = () => true,
): number {
  let sum = 0;
  table.jobs.forEach((job) => {
    if (job.phase !== 'active' || job.isLasting || !isFit(job)) return;
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

/** Sums the cores of an occurrence's tasks that run or could start. */
function computeRunnableCores(spec: JobSpec, occurrence: Occurrence): number {
  const ready = new Set(listReadySteps(spec, occurrence));
  return spec.steps.reduce((sum, step, index) => {
    const left = ready.has(index) ? step.count - countDone(occurrence, index) : 0;
    return sum + left * step.size.cores;
  }, 0);
}

/** Computes what admission knows of the pool. */
export function computePoolLoad(table: TaskTable, nowMs: number): PoolLoad {
  let cores = 0;
  let largestWorker: PoolLoad['largestWorker'];
  table.workers.forEach((worker) => {
    if (!worker.isListed) return;
    const { capacity } = worker.entry;
    if (isOpen(worker, nowMs)) cores += capacity.cores;
    largestWorker = {
      cores: Math.max(capacity.cores, largestWorker?.cores ?? 0),
      memoryMb: Math.max(capacity.memoryMb, largestWorker?.memoryMb ?? 0),
      accelerators: Math.max(capacity.accelerators, largestWorker?.accelerators ?? 0),
    };
  });
  return { backlogCoreSeconds: sumBatch(table, computeWorkLeft), cores, largestWorker };
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

/** Sums the cores of the lasting tasks that workers have. */
function computeLastingCores(table: TaskTable): number {
  return [...table.workers.values()]
    .flatMap((worker) => [...worker.tasks])
    .flatMap((key) => table.findTask(key) ?? [])
    .map((task) => table.findStep(task))
    .filter((step) => step.isLasting)
    .reduce((sum, step) => sum + computeFootprint(step).cores, 0);
}

/** Computes what lending knows of the pool. */
export function computeDemand(
  pool: string,
  table: TaskTable,
  arrivalCores: number,
  nowMs: number,
): PoolDemand {
  return {
    pool,
    arrivalCores,
    runnableCores: sumBatch(table, computeRunnableCores),
    onTimeCores: sumBatch(table, computeRunnableCores, (job) => isOnTime(job, nowMs)),
    lastingCores: computeLastingCores(table),
    minWorkers: computeMinWorkers(table),
    hasPeaked: hasBatchWork(table),
    workers: [...table.workers.values()].map((worker) => ({
      workerId: worker.entry.id,
      ...computeContent(table, worker),
    })),
  };
}
