/** Figures of a pool: its backlog for admission, and its demand for lending. */
import type { PoolDemand } from '../lending/plan-lending.js';
import type { PoolLoad } from './admit-job.js';
import { isOpen } from './place.js';
import { countDone, listReadySteps } from './ready-steps.js';
import { computeFootprint } from './room.js';
import type { TaskTable } from './task-table.js';

/** Batch jobs after which a pool's demand is taken as known. */
const JOBS_OF_A_PEAK = 8;

const MS_PER_SECOND = 1000;

/** Sums the core-seconds of batch work that has not ended. */
function computeBacklog(table: TaskTable): number {
  let sum = 0;
  table.jobs.forEach((job) => {
    if (job.phase !== 'active' || job.isLasting) return;
    job.occurrences.forEach((occurrence) => {
      job.record.spec.steps.forEach((step, index) => {
        const done = occurrence.steps[index]?.done.size ?? 0;
        sum += ((step.count - done) * step.size.cores * step.estimateMs) / MS_PER_SECOND;
      });
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

/** Sums the cores of the batch tasks that run or could start. */
function computeRunnableCores(table: TaskTable): number {
  let sum = 0;
  table.jobs.forEach((job) => {
    if (job.phase !== 'active' || job.isLasting) return;
    job.occurrences.forEach((occurrence) =>
      listReadySteps(job.record.spec, occurrence).forEach((index) => {
        const open = (job.record.spec.steps[index]?.count ?? 0) - countDone(occurrence, index);
        sum += open * (job.record.spec.steps[index]?.size.cores ?? 0);
      }),
    );
  });
  return sum;
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
  return { backlogCoreSeconds: computeBacklog(table), cores, largestWorker };
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

/** Computes what lending knows of the pool. */
export function computeDemand(pool: string, table: TaskTable, arrivalCores: number): PoolDemand {
  let lastingCores = 0;
  const workers = [...table.workers.values()].map((worker) => {
    const tasks = [...worker.tasks].flatMap((key) => table.findTask(key) ?? []);
    const lasting = tasks.filter((task) => table.findStep(task).isLasting);
    lasting.forEach((task) => {
      lastingCores += computeFootprint(table.findStep(task)).cores;
    });
    return {
      workerId: worker.entry.id,
      lastingTasks: lasting.length + worker.strays.size,
      batchTasks: tasks.length - lasting.length,
    };
  });
  return {
    pool,
    arrivalCores,
    runnableCores: computeRunnableCores(table),
    lastingCores,
    minWorkers: computeMinWorkers(table),
    hasPeaked: hasBatchWork(table),
    workers,
  };
}
