/** Computes the load of a pool for admission and its demand for lending. */
import type { PoolDemand } from '../lending/plan-lending.js';
import type { WorkerTasks } from '../waves/plan-wave.js';
import type { PoolLoad } from './admit-job.js';
import { isAcceptingTasks } from './choose-worker.js';
import { isOnTime } from './queue-order.js';
import { computeRemainingWork, countDone, listReadySteps } from './ready-steps.js';
import type { Resources } from '../ports/workers.js';
import { computeFootprint, computeMaximum, NO_RESOURCES } from './free-capacity.js';
import type { JobSpec, StepSpec } from './spec.js';
import type { Job, Occurrence, Worker } from './state.js';
import type { TaskTable } from './task-table.js';
import { listStartableSteps, selectWaitingTasks, type StartableStep } from './waiting-tasks.js';

/** Number of batch jobs from which the demand of a pool can be estimated. */
const MIN_JOBS_FOR_DEMAND = 8;

/** Sums a value over all occurrences of the pool's active batch jobs that are counted. */
function sumBatchOccurrences(
  table: TaskTable,
  compute: (spec: JobSpec, occurrence: Occurrence) => number,
  isCounted: (job: Job) => boolean = () => true,
): number {
  let sum = 0;
  table.activeJobs.forEach((job) => {
    if (job.isLasting || !isCounted(job)) return;
    job.occurrences.forEach((occurrence) => {
      sum += compute(job.record.spec, occurrence);
    });
  });
  return sum;
}

/** Says whether the pool has had enough batch jobs to estimate its peak demand. */
function hasEnoughBatchJobs(table: TaskTable): boolean {
  let count = 0;
  for (const job of table.jobs.values()) {
    if (!job.isLasting) count += 1;
    if (count >= MIN_JOBS_FOR_DEMAND) return true;
  }
  return false;
}

/** Sums sizes, each multiplied by its count. */
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

/**
 * Sums the resources of a job's batch tasks that are running or could start; those that wait do not
 * count if the job is held back by its team's limit, as more workers would not help it.
 */
function sumRunnableTasks({ record: { spec }, occurrences }: Job, isHeldBack: boolean): Resources {
  return sumSizes(
    [...occurrences.values()].flatMap((occurrence) =>
      listReadySteps(spec, occurrence).flatMap((index) => {
        const step = spec.steps[index];
        if (step === undefined) return [];
        const count = isHeldBack
          ? (occurrence.steps[index]?.assigned.size ?? 0)
          : step.count - countDone(occurrence, index);
        return [{ size: step.size, count }];
      }),
    ),
  );
}

/** Finds the largest value of any listed worker, for each resource separately. */
function findLargest(
  table: TaskTable,
  getCapacity: (worker: Worker) => Resources,
): Resources | undefined {
  const capacities = [...table.workers.values()]
    .filter(({ isListed }) => isListed)
    .map(getCapacity);
  return capacities.length === 0 ? undefined : capacities.reduce(computeMaximum);
}

/** Converts used memory to the matching share of a worker's cores and returns the larger demand. */
function computeEquivalentCores(worker: Resources | undefined, used: Resources): number {
  if (worker === undefined || worker.memoryMb === 0) return used.cores;
  return Math.max(used.cores, (used.memoryMb / worker.memoryMb) * worker.cores);
}

/** Says whether some worker could run a task of the step if it had enough free capacity. */
function isRunnableSomewhere(table: TaskTable, { requiredLabel }: StepSpec): boolean {
  if (requiredLabel === undefined) return true;
  return [...table.workers.values()].some(({ entry }) => entry.labels.includes(requiredLabel));
}

/**
 * Says whether tasks that could start are waiting for free capacity. Every change is planned at
 * once, so a startable task that is still waiting did not fit.
 */
function hasUnplaced(table: TaskTable, nowMs: number, isHeldBack: (job: Job) => boolean): boolean {
  const isUnplaced = (startable: StartableStep) =>
    isRunnableSomewhere(table, startable.step) &&
    selectWaitingTasks(table, startable, nowMs, () => false).tasks.length > 0;
  return [...table.activeJobs.values()]
    .filter((job) => job.storedPhase !== 'none' && !isHeldBack(job))
    .some((job) => listStartableSteps(job).some(isUnplaced));
}

/** Says whether a job is beyond its team's rate and has not begun. */
function isWaitingExcess({ record, hasStarted }: Job): boolean {
  return record.isExcess === true && !hasStarted;
}

/** Computes the load of the pool as an input for admission; `nowMs` is monotonic. */
export function computePoolLoad(table: TaskTable, nowMs: number): PoolLoad {
  const accepting = [...table.workers.values()].filter((worker) => isAcceptingTasks(worker, nowMs));
  return {
    backlogCoreSeconds: sumBatchOccurrences(table, computeRemainingWork),
    excessCoreSeconds: sumBatchOccurrences(table, computeRemainingWork, isWaitingExcess),
    cores: accepting.reduce((sum, worker) => sum + worker.entry.capacity.cores, 0),
    // A worker that has shrunk may grow again, so that a job is not refused for good.
    largestWorker: findLargest(table, ({ largestCapacity }) => largestCapacity),
  };
}

/** Computes how many workers the spread of lasting steps needs, plus one to move a task to. */
function computeMinWorkers(table: TaskTable): number {
  const needs = [...table.activeJobs.values()]
    .filter((job) => job.isLasting)
    .flatMap((job) => job.record.spec.steps)
    .filter((step) => step.isLasting)
    .map((step) => Math.ceil(step.count / (step.maxPerWorker ?? step.count)) + 1);
  return Math.max(0, ...needs);
}

/**
 * Counts the tasks on a worker; orphaned runs count as lasting tasks because they may be lasting.
 */
export function countWorkerTasks(table: TaskTable, worker: Worker): WorkerTasks {
  const tasks = [...worker.tasks].flatMap((key) => table.findTask(key) ?? []);
  const { lastingTasks, orphanedRuns } = worker;
  return {
    lastingTasks: lastingTasks + orphanedRuns.size,
    batchTasks: tasks.length - lastingTasks,
  };
}

/** Sums the resources of all lasting tasks that are assigned to workers. */
function sumLastingTasks(table: TaskTable): Resources {
  return sumSizes(
    [...table.workers.values()]
      .filter(({ lastingTasks }) => lastingTasks > 0)
      .flatMap((worker) => [...worker.tasks])
      .flatMap((key) => table.findTask(key) ?? [])
      .map((task) => table.findStep(task))
      .filter((step) => step.isLasting)
      .map((step) => ({ size: computeFootprint(step), count: 1 })),
  );
}

/**
 * Computes the demand of the pool as an input for lending, apart from its arrivals; `nowMs` is
 * monotonic.
 */
export function computeDemand(
  pool: string,
  table: TaskTable,
  nowMs: number,
  isHeldBack: (job: Job) => boolean = () => false,
): Omit<PoolDemand, 'arrivalCores' | 'expectedCores'> {
  const batch = [...table.activeJobs.values()].filter((job) => !job.isLasting);
  const onTime = batch.filter((job) => isOnTime(job, nowMs));
  const largestWorker = findLargest(table, ({ entry }) => entry.capacity);
  const computeCores = (jobs: readonly Job[]) =>
    computeEquivalentCores(
      largestWorker,
      sumSizes(jobs.map((job) => ({ size: sumRunnableTasks(job, isHeldBack(job)), count: 1 }))),
    );
  return {
    pool,
    runnableCores: computeCores(batch),
    onTimeCores: computeCores(onTime),
    lastingCores: computeEquivalentCores(largestWorker, sumLastingTasks(table)),
    minWorkers: computeMinWorkers(table),
    hasPeaked: hasEnoughBatchJobs(table),
    hasUnplaced: hasUnplaced(table, nowMs, isHeldBack),
    workers: [...table.workers.values()].map((worker) => ({
      workerId: worker.entry.id,
      ...countWorkerTasks(table, worker),
    })),
  };
}
