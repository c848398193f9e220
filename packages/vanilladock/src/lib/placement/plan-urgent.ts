/**
 * Makes room for quick tasks at the cost of less urgent ones: throttles them where only cores are
 * short, and checkpoints some of them where memory or accelerators are.
 */
import { addResources, isWithin, removeResources } from './resources.js';
import type { Resources } from '../ports/workers.js';
import type { CommandDecision } from './decisions.js';
import { addToRoom, computeFree } from './plan-room.js';
import type { PoolRoom, WorkerRoom } from './plan-room.js';
import { makeTaskLease, sendOnce } from './plan-worker.js';
import type { PlanContext } from './plan-worker.js';
import { THROTTLE_FLOOR } from './plan-input.js';
import { getWorkerMemory } from './planner-memory.js';
import { NO_RESOURCES } from './state.js';
import type { CurrentLease, TaskState } from './state.js';

/** Time for which room that is being freed is kept for the task that needs it. */
export const RESERVATION_MS = 15_000;

const SHARE_STEP = 0.05;
const URGENCY_RANK = { patient: 0, heavy: 1, quick: 2 } as const;

interface Victim {
  readonly task: TaskState;
  readonly lease: CurrentLease;
}

/** Lists the running tasks of a worker that may give way, the least urgent and newest first. */
function listVictims(context: PlanContext, room: WorkerRoom): readonly Victim[] {
  const { runningSince } = getWorkerMemory(context.memory, room.worker.id);
  const victims: Victim[] = [];
  room.folded.tasks.forEach((taskId) => {
    const task = context.input.state.tasks.get(taskId);
    if (task?.lease === undefined || task.urgency === 'quick') return;
    if (runningSince.has(task.lease.offset)) victims.push({ task, lease: task.lease });
  });
  return victims.sort(
    (a, b) =>
      URGENCY_RANK[a.task.urgency] - URGENCY_RANK[b.task.urgency] ||
      b.lease.offset - a.lease.offset,
  );
}

/** Chooses the fewest victims whose end lets a size fit; undefined when all do not suffice. */
function chooseVictims(
  context: PlanContext,
  room: WorkerRoom,
  size: Resources,
): readonly Victim[] | undefined {
  const chosen: Victim[] = [];
  let free = removeResources(room.worker.capacity, room.used);
  for (const victim of listVictims(context, room)) {
    if (isWithin(size, free)) break;
    chosen.push(victim);
    free = addResources(free, victim.lease.size);
  }
  return isWithin(size, free) ? chosen : undefined;
}

/** Checkpoints less urgent tasks on the worker where the fewest have to give way. */
export function planCheckpoints(
  context: PlanContext,
  pool: PoolRoom,
  task: TaskState,
  size: Resources,
): readonly CommandDecision[] {
  if (context.memory.reservations.has(task.taskId)) return [];
  const options = [...pool.rooms.values()]
    .filter((room) => room.isOpen && !task.failedOn.includes(room.worker.id))
    .map((room) => ({ room, victims: chooseVictims(context, room, size) }))
    .filter(({ victims }) => victims !== undefined && victims.length > 0)
    .sort((a, b) => (a.victims?.length ?? 0) - (b.victims?.length ?? 0));
  const [best] = options;
  if (best?.victims === undefined) return [];
  const { nowMs, duty } = context.input;
  const workerId = best.room.worker.id;
  context.memory.reservations.set(task.taskId, {
    workerId,
    size,
    untilMs: nowMs + RESERVATION_MS,
  });
  addToRoom(pool, workerId, size, true);
  const { contact } = getWorkerMemory(context.memory, workerId);
  const grounds = {
    reason: `makes room for quick task ${task.taskId}`,
    refused: 'let the quick task wait',
  };
  return best.victims.flatMap(({ task: victim, lease }) => {
    const { offset, durationMs } = lease;
    const named = makeTaskLease(victim.taskId, offset, durationMs, duty, contact?.reportId ?? '');
    return sendOnce(context, workerId, { kind: 'checkpoint', lease: named }, grounds);
  });
}

/** Computes the share of their cores that tasks which are not quick may use on a worker. */
export function computeShare(room: WorkerRoom): number {
  const others = room.used.cores - room.quick.cores;
  if (others <= 0 || room.used.cores <= room.worker.capacity.cores) return 1;
  const share = (room.worker.capacity.cores - room.quick.cores) / others;
  return Math.max(THROTTLE_FLOOR, share);
}

/** Throttles the less urgent tasks of a worker to what quick ones leave, or gives cores back. */
export function planThrottle(context: PlanContext, room: WorkerRoom): readonly CommandDecision[] {
  const workerId = room.worker.id;
  const received = context.input.reports.get(workerId);
  if (received === undefined) return [];
  const share = computeShare(room);
  const { reportId, tasks } = received.report;
  const changed = tasks.filter((task) => isShareOff(task.share, share));
  if (changed.length === 0) return [];
  const tokens = new Set(changed.map(({ fencingToken }) => fencingToken));
  const grounds =
    share < 1
      ? { reason: 'quick tasks need the cores', refused: 'let the quick tasks wait' }
      : { reason: 'the cores are free again', refused: 'keep the task throttled' };
  const { duty } = context.input;
  return listVictims(context, room)
    .filter(({ lease }) => tokens.has(lease.offset))
    .flatMap(({ task, lease }) => {
      const named = makeTaskLease(task.taskId, lease.offset, lease.durationMs, duty, reportId);
      const command = { kind: 'throttle', lease: named, share } as const;
      return sendOnce(context, workerId, command, grounds);
    });
}

/** Says whether room that was reserved on a worker has become free; its use counts already. */
export function isReservationReady(room: WorkerRoom): boolean {
  return room.isOpen && isWithin(NO_RESOURCES, computeFree(room, true));
}

/** Says whether a task's share differs enough from the wanted one to be changed. */
function isShareOff(share: number, wanted: number): boolean {
  if (wanted === 1) return share !== 1;
  return Math.abs(share - wanted) >= SHARE_STEP;
}
