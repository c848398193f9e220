/**
 * Room on the workers of one pool during a planning round. Quick tasks may use cores of less urgent
 * ones, which are throttled for as long; memory and accelerators are never shared.
 */
import { addResources, isWithin, removeResources } from './resources.js';
import type { Resources } from '../ports/workers.js';
import type { PlanContext } from './plan-worker.js';
import {
  CONFIRMED_AFTER_MS,
  SILENT_AFTER_MS,
  THROTTLE_FLOOR,
  UNCONFIRMED_MAX,
} from './plan-input.js';
import type { PoolView, WorkerView } from './plan-input.js';
import { getWorkerMemory } from './planner-memory.js';
import { EMPTY_WORKER, NO_RESOURCES } from './state.js';
import type { TaskState, WorkerState } from './state.js';

/** Starts on a worker that are kept for quick tasks. */
const QUICK_STARTS = 2;

/** Starts by which each failure since the last success lowers what a worker may be given. */
const STARTS_PER_FAILURE = 2;

/** Failures since the last success from which on a worker is left alone between tasks. */
const BACKOFF_FAILURES = 3;

/** Time for which it is left alone at first, doubled by each further failure. */
const BACKOFF_MS = 15_000;

/** One worker's room during a round; updated by each grant of the round. */
export interface WorkerRoom {
  readonly worker: WorkerView;
  readonly folded: WorkerState;
  /** Leased, granted but not yet read back, and reserved. */
  readonly used: Resources;
  /** Part of the used room that quick tasks hold. */
  readonly quick: Resources;
  /** Tasks that it may still be given before it has shown that it runs those it has. */
  readonly startsLeft: number;
  readonly isOpen: boolean;
}

/** Room of a pool during a round. */
export interface PoolRoom {
  readonly pool: PoolView;
  readonly rooms: Map<string, WorkerRoom>;
  readonly capacity: Resources;
  /** Sums what tasks that are not quick use. */
  readonly sumOthers: () => Resources;
  /** Tasks of a team on each rack, counted as `team/rack`. */
  readonly getSpread: () => Map<string, number>;
}

/** Counts the leases of a worker that it has not yet shown to run. */
function countUnconfirmed(context: PlanContext, workerId: string, folded: WorkerState): number {
  const { runningSince } = getWorkerMemory(context.memory, workerId);
  const latestMs = context.input.nowMs - CONFIRMED_AFTER_MS;
  let confirmed = 0;
  runningSince.forEach((sinceMs) => {
    if (sinceMs <= latestMs) confirmed += 1;
  });
  return Math.max(0, folded.tasks.size - confirmed);
}

/** Says whether a worker may be given tasks: open, reporting, and not in quarantine. */
function isUsable(context: PlanContext, worker: WorkerView, folded: WorkerState): boolean {
  const { contact } = getWorkerMemory(context.memory, worker.id);
  if (contact === undefined || !worker.isOpen || folded.isQuarantined) return false;
  return context.input.nowMs - contact.receivedMs <= SILENT_AFTER_MS;
}

/** Computes how long a worker with some failures since its last success is left alone, in ms. */
function computeBackoff(failures: number): number {
  return failures < BACKOFF_FAILURES ? 0 : BACKOFF_MS * 2 ** (failures - BACKOFF_FAILURES);
}

/** Builds the room of one worker from the fold alone. */
function buildRoom(context: PlanContext, worker: WorkerView): WorkerRoom {
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

/** Adds a task to a worker's room. */
export function addToRoom(
  pool: PoolRoom,
  workerId: string,
  size: Resources,
  isQuick: boolean,
): void {
  const room = pool.rooms.get(workerId);
  if (room === undefined) return;
  pool.rooms.set(workerId, {
    ...room,
    used: addResources(room.used, size),
    quick: isQuick ? addResources(room.quick, size) : room.quick,
    startsLeft: room.startsLeft - 1,
  });
}

/** Counts the tasks of each team on each rack. */
function countSpread(context: PlanContext, rooms: Iterable<WorkerRoom>): Map<string, number> {
  const spread = new Map<string, number>();
  for (const { folded, worker } of rooms) {
    folded.tasks.forEach((taskId) => {
      const team = context.input.state.tasks.get(taskId)?.team ?? '';
      const key = `${team}/${worker.location.rack}`;
      spread.set(key, (spread.get(key) ?? 0) + 1);
    });
  }
  return spread;
}

/** Builds the room of a pool: the fold, grants not yet read back, and reservations. */
export function buildPoolRoom(context: PlanContext, pool: PoolView): PoolRoom {
  const rooms = new Map(pool.workers.map((worker) => [worker.id, buildRoom(context, worker)]));
  let spread: Map<string, number> | undefined;
  const built: PoolRoom = {
    pool,
    rooms,
    capacity: pool.workers.reduce((sum, { capacity }) => addResources(sum, capacity), NO_RESOURCES),
    sumOthers: () =>
      [...rooms.values()].reduce(
        (sum, room) => removeResources(addResources(sum, room.used), room.quick),
        NO_RESOURCES,
      ),
    getSpread: () => {
      spread ??= countSpread(context, rooms.values());
      return spread;
    },
  };
  context.memory.grants.forEach(({ workerId, size, urgency }) => {
    addToRoom(built, workerId, size, urgency === 'quick');
  });
  context.memory.reservations.forEach(({ workerId, size }) => {
    addToRoom(built, workerId, size, true);
  });
  return built;
}

/** Computes what a worker has free; quick tasks may push others down to their floor. */
export function computeFree(room: WorkerRoom, isQuick: boolean): Resources {
  const free = removeResources(room.worker.capacity, room.used);
  if (!isQuick) return free;
  const others = room.used.cores - room.quick.cores;
  return { ...free, cores: free.cores + others * (1 - THROTTLE_FLOOR) };
}

const EPSILON = 1e-6;

/** Says whether a task of a size fits a worker now. */
export function isFitting(room: WorkerRoom, size: Resources, isQuick: boolean): boolean {
  const keptStarts = isQuick || room.folded.streak.length > 0 ? 0 : QUICK_STARTS;
  if (!room.isOpen || room.startsLeft <= keptStarts) return false;
  const free = computeFree(room, isQuick);
  return isWithin(size, { ...free, cores: free.cores + EPSILON });
}

const LEAST_CORES = 0.1;

/** Says whether any worker could take even the smallest task. */
export function hasAnyRoom(pool: PoolRoom, isQuick: boolean): boolean {
  const least = { cores: LEAST_CORES, memoryMb: 1, accelerators: 0 };
  for (const room of pool.rooms.values()) {
    if (isFitting(room, least, isQuick)) return true;
  }
  return false;
}

const SPREAD_WEIGHT = 0.25;
const THROTTLE_WEIGHT = 2;

/** Scores a fitting worker; the lowest is best: little left over, few of the team on the rack. */
function computeScore(pool: PoolRoom, room: WorkerRoom, task: TaskState, size: Resources): number {
  const { capacity, location } = room.worker;
  const left = removeResources(removeResources(capacity, room.used), size);
  const leftover = Math.max(0, left.cores) / capacity.cores + left.memoryMb / capacity.memoryMb;
  const sharing = Math.max(0, -left.cores) / capacity.cores;
  const neighbours = pool.getSpread().get(`${task.team}/${location.rack}`) ?? 0;
  return leftover + sharing * THROTTLE_WEIGHT + neighbours * SPREAD_WEIGHT;
}

/** Picks the best fitting worker; one on which the task failed only when no other fits. */
export function pickWorker(
  pool: PoolRoom,
  task: TaskState,
  size: Resources,
): { readonly best: WorkerRoom; readonly next: WorkerRoom | undefined } | undefined {
  const isQuick = task.urgency === 'quick';
  const fitting = [...pool.rooms.values()].filter((room) => isFitting(room, size, isQuick));
  const fresh = fitting.filter(({ worker }) => !task.failedOn.includes(worker.id));
  const scored = (fresh.length > 0 ? fresh : fitting)
    .map((room) => ({ room, score: computeScore(pool, room, task, size) }))
    .sort((a, b) => a.score - b.score);
  const [best, next] = scored;
  return best && { best: best.room, next: next?.room };
}

/** Says whether a size fits into no worker of the pool, however empty; false for an empty pool. */
export function isNeverFitting(pool: PoolView, size: Resources): boolean {
  return pool.workers.length > 0 && !pool.workers.some((w) => isWithin(size, w.capacity));
}

/** Caps a size at the largest worker when only its learned or grown memory has outgrown the pool. */
export function computeLargest(pool: PoolView): Resources {
  return pool.workers.reduce(
    (largest, { capacity }) => ({
      cores: Math.max(largest.cores, capacity.cores),
      memoryMb: Math.max(largest.memoryMb, capacity.memoryMb),
      accelerators: Math.max(largest.accelerators, capacity.accelerators),
    }),
    NO_RESOURCES,
  );
}
