/**
 * Load and free capacity of the workers of one pool during a planning round. Quick tasks may use
 * the cores of less urgent tasks, which are throttled meanwhile; memory and accelerators are never
 * shared.
 */
import { addResources, isWithin, subtractResources } from './resources.js';
import type { Resources } from '../ports/workers.js';
import type { PlanContext } from './plan-context.js';
import {
  CONFIRMED_AFTER_MS,
  UNRESPONSIVE_AFTER_MS,
  THROTTLE_FLOOR,
  UNCONFIRMED_MAX,
} from './plan-input.js';
import type { PoolView, WorkerView } from './plan-input.js';
import { getWorkerMemory } from './planner-memory.js';
import { EMPTY_WORKER, NO_RESOURCES } from './state.js';
import type { TaskState, WorkerState } from './state.js';

/** Starts per worker that are reserved for quick tasks. */
const RESERVED_QUICK_STARTS = 2;

/** Starts by which each failure since the last success lowers a worker's limit. */
const STARTS_PER_FAILURE = 2;

/** Failures since the last success from which a worker backs off between grants. */
const BACKOFF_FAILURES = 3;

/** First backoff between grants to such a worker; doubles with each further failure. */
const FIRST_BACKOFF_MS = 15_000;

/** One worker's load during a round; updated by each grant of the round. */
export interface WorkerLoad {
  readonly worker: WorkerView;
  readonly folded: WorkerState;
  /** Resources that are leased, granted but not yet read back, or reserved. */
  readonly used: Resources;
  /** Part of `used` that quick tasks hold. */
  readonly quick: Resources;
  /** Tasks that it may still be granted before more are confirmed as running; may be negative. */
  readonly startsLeft: number;
  /** Whether it may be granted tasks: open, responsive, not in quarantine and not backing off. */
  readonly isOpen: boolean;
}

/** Load of a pool during a round. */
export interface PoolLoad {
  readonly pool: PoolView;
  /** By worker id. */
  readonly loads: Map<string, WorkerLoad>;
  /** Total of all its workers, including those that accept no tasks. */
  readonly capacity: Resources;
  /** Sums the resources used by tasks that are not quick. */
  readonly sumNonQuick: () => Resources;
  /** Gets the number of tasks by `team/rack`. */
  readonly getRackCounts: () => Map<string, number>;
}

/** Counts the leases of a worker that are not yet confirmed as running. */
function countUnconfirmed(context: PlanContext, workerId: string, folded: WorkerState): number {
  const { runningSince } = getWorkerMemory(context.memory, workerId);
  const latestMs = context.input.nowMs - CONFIRMED_AFTER_MS;
  let confirmed = 0;
  runningSince.forEach((sinceMs) => {
    if (sinceMs <= latestMs) confirmed += 1;
  });
  return Math.max(0, folded.tasks.size - confirmed);
}

/** Says whether a worker may be granted tasks: open, responsive and not in quarantine. */
function isUsable(context: PlanContext, worker: WorkerView, folded: WorkerState): boolean {
  const { contact } = getWorkerMemory(context.memory, worker.id);
  if (contact === undefined || !worker.isOpen || folded.isQuarantined) return false;
  return context.input.nowMs - contact.receivedMs <= UNRESPONSIVE_AFTER_MS;
}

/** Computes the backoff after a number of failures since the last success, in milliseconds. */
function computeBackoff(failures: number): number {
  return failures < BACKOFF_FAILURES ? 0 : FIRST_BACKOFF_MS * 2 ** (failures - BACKOFF_FAILURES);
}

/** Builds the load of one worker from its folded leases alone. */
function buildWorkerLoad(context: PlanContext, worker: WorkerView): WorkerLoad {
  const folded = context.input.state.workers.get(worker.id) ?? EMPTY_WORKER;
  const { length } = folded.streak.filter(({ isShort }) => !isShort);
  const limit = Math.max(1, UNCONFIRMED_MAX - STARTS_PER_FAILURE * length);
  const sinceMs = context.input.nowMs - (context.memory.granted.get(worker.id) ?? -Infinity);
  return {
    worker,
    folded,
    used: folded.leased,
    quick: folded.quick,
    startsLeft: limit - countUnconfirmed(context, worker.id, folded),
    isOpen: isUsable(context, worker, folded) && sinceMs >= computeBackoff(length),
  };
}

/** Adds a task to a worker's load and uses up one start; ignores a worker of another pool. */
export function addLoad(pool: PoolLoad, workerId: string, size: Resources, isQuick: boolean): void {
  const load = pool.loads.get(workerId);
  if (load === undefined) return;
  pool.loads.set(workerId, {
    ...load,
    used: addResources(load.used, size),
    quick: isQuick ? addResources(load.quick, size) : load.quick,
    startsLeft: load.startsLeft - 1,
  });
}

/** Counts the tasks of each team on each rack. */
function countTasksByRack(context: PlanContext, loads: Iterable<WorkerLoad>): Map<string, number> {
  const rackCounts = new Map<string, number>();
  for (const { folded, worker } of loads) {
    folded.tasks.forEach((taskId) => {
      const team = context.input.state.tasks.get(taskId)?.team ?? '';
      const key = `${team}/${worker.location.rack}`;
      rackCounts.set(key, (rackCounts.get(key) ?? 0) + 1);
    });
  }
  return rackCounts;
}

/** Builds the load of a pool from folded leases, grants not yet read back, and reservations. */
export function buildPoolLoad(context: PlanContext, pool: PoolView): PoolLoad {
  const loads = new Map(
    pool.workers.map((worker) => [worker.id, buildWorkerLoad(context, worker)]),
  );
  let rackCounts: Map<string, number> | undefined;
  const built: PoolLoad = {
    pool,
    loads,
    capacity: pool.workers.reduce((sum, { capacity }) => addResources(sum, capacity), NO_RESOURCES),
    sumNonQuick: () =>
      [...loads.values()].reduce(
        (sum, load) => subtractResources(addResources(sum, load.used), load.quick),
        NO_RESOURCES,
      ),
    getRackCounts: () => {
      rackCounts ??= countTasksByRack(context, loads.values());
      return rackCounts;
    },
  };
  context.memory.grants.forEach(({ workerId, size, urgency }) => {
    addLoad(built, workerId, size, urgency === 'quick');
  });
  context.memory.reservations.forEach(({ workerId, size }) => {
    addLoad(built, workerId, size, true);
  });
  return built;
}

/**
 * Computes a worker's free capacity; quick tasks may throttle others to `THROTTLE_FLOOR`. Parts are
 * negative when more is used than the worker has.
 */
export function computeFreeCapacity(load: WorkerLoad, isQuick: boolean): Resources {
  const free = subtractResources(load.worker.capacity, load.used);
  if (!isQuick) return free;
  const others = load.used.cores - load.quick.cores;
  return { ...free, cores: free.cores + others * (1 - THROTTLE_FLOOR) };
}

/** Cores by which a task may exceed the free capacity, because sums of fractions are inexact. */
const CORE_TOLERANCE = 1e-6;

/**
 * Says whether a task of the size can be granted to a worker now. On a worker without recent
 * failures, the last starts are left to quick tasks.
 */
export function isFitting(load: WorkerLoad, size: Resources, isQuick: boolean): boolean {
  const reservedStarts = isQuick || load.folded.streak.length > 0 ? 0 : RESERVED_QUICK_STARTS;
  if (!load.isOpen || load.startsLeft <= reservedStarts) return false;
  const free = computeFreeCapacity(load, isQuick);
  return isWithin(size, { ...free, cores: free.cores + CORE_TOLERANCE });
}

/** Cores of the smallest task. */
const MIN_TASK_CORES = 0.1;

/** Says whether any worker has free capacity for the smallest task. */
export function hasFreeCapacity(pool: PoolLoad, isQuick: boolean): boolean {
  const smallest = { cores: MIN_TASK_CORES, memoryMb: 1, accelerators: 0 };
  for (const load of pool.loads.values()) {
    if (isFitting(load, smallest, isQuick)) return true;
  }
  return false;
}

/**
 * Cost of each task of the same team on the rack; leaving all of a worker's cores unused costs 1.
 */
const SPREAD_WEIGHT = 0.25;

/** Cost of taking all of a worker's cores from throttled tasks, on the same scale. */
const THROTTLE_WEIGHT = 2;

/** Scores a fitting worker; lower is better: little leftover, few tasks of the team on its rack. */
function computeScore(pool: PoolLoad, load: WorkerLoad, task: TaskState, size: Resources): number {
  const { capacity, location } = load.worker;
  const remaining = subtractResources(subtractResources(capacity, load.used), size);
  const leftover =
    Math.max(0, remaining.cores) / capacity.cores + remaining.memoryMb / capacity.memoryMb;
  const sharing = Math.max(0, -remaining.cores) / capacity.cores;
  const neighbours = pool.getRackCounts().get(`${task.team}/${location.rack}`) ?? 0;
  return leftover + sharing * THROTTLE_WEIGHT + neighbours * SPREAD_WEIGHT;
}

/**
 * Picks the worker with the best fit; one on which the task failed only when no other fits. `next`
 * is the second best, if any; the result is undefined when the task fits on no worker.
 */
export function pickWorker(
  pool: PoolLoad,
  task: TaskState,
  size: Resources,
): { readonly best: WorkerLoad; readonly next: WorkerLoad | undefined } | undefined {
  const isQuick = task.urgency === 'quick';
  const fitting = [...pool.loads.values()].filter((load) => isFitting(load, size, isQuick));
  const fresh = fitting.filter(({ worker }) => !task.failedOn.includes(worker.id));
  const scored = (fresh.length > 0 ? fresh : fitting)
    .map((load) => ({ load, score: computeScore(pool, load, task, size) }))
    .sort((a, b) => a.score - b.score);
  const [best, next] = scored;
  return best && { best: best.load, next: next?.load };
}

/** Says whether a size exceeds every worker's total capacity; false for a pool without workers. */
export function isTooLargeForPool(pool: PoolView, size: Resources): boolean {
  return pool.workers.length > 0 && !pool.workers.some((w) => isWithin(size, w.capacity));
}

/**
 * Computes the largest capacity of any worker in the pool, for each resource on its own; zero for a
 * pool without workers.
 */
export function computeMaxCapacity(pool: PoolView): Resources {
  return pool.workers.reduce(
    (largest, { capacity }) => ({
      cores: Math.max(largest.cores, capacity.cores),
      memoryMb: Math.max(largest.memoryMb, capacity.memoryMb),
      accelerators: Math.max(largest.accelerators, capacity.accelerators),
    }),
    NO_RESOURCES,
  );
}
