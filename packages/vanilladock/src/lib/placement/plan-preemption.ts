/**
 * Preempts less urgent tasks for quick ones: throttles them when only cores are short, and
 * checkpoints some of them when memory or accelerators are short.
 */
import { addResources, isWithin, subtractResources } from './resources.js';
import type { Resources } from '../ports/workers.js';
import type { CommandDecision } from './decisions.js';
import { addLoad, computeFreeCapacity } from './plan-load.js';
import type { PoolLoad, WorkerLoad } from './plan-load.js';
import { makeTaskLease, sendOnce } from './plan-context.js';
import type { PlanContext } from './plan-context.js';
import { THROTTLE_FLOOR } from './plan-input.js';
import { getWorkerMemory } from './planner-memory.js';
import { NO_RESOURCES } from './state.js';
import type { CurrentLease, TaskState } from './state.js';

/** Time for which capacity that is being freed stays reserved for the quick task. */
export const RESERVATION_MS = 15_000;

/** Least change of a throttled task's share of its cores that is worth a command. */
const MIN_SHARE_CHANGE = 0.05;

/** Order of preemption, lowest first. */
const URGENCY_RANK = { patient: 0, heavy: 1, quick: 2 } as const;

/** A running task that may be preempted, and its lease. */
interface Victim {
  readonly task: TaskState;
  readonly lease: CurrentLease;
}

/** Lists the running tasks of a worker that may be preempted, least urgent and newest first. */
function listVictims(context: PlanContext, load: WorkerLoad): readonly Victim[] {
  const { runningSince } = getWorkerMemory(context.memory, load.worker.id);
  const victims: Victim[] = [];
  load.folded.tasks.forEach((taskId) => {
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

/** Chooses victims in order until the size fits; undefined when all of them do not suffice. */
function chooseVictims(
  context: PlanContext,
  load: WorkerLoad,
  size: Resources,
): readonly Victim[] | undefined {
  const chosen: Victim[] = [];
  let free = subtractResources(load.worker.capacity, load.used);
  for (const victim of listVictims(context, load)) {
    if (isWithin(size, free)) break;
    chosen.push(victim);
    free = addResources(free, victim.lease.size);
  }
  return isWithin(size, free) ? chosen : undefined;
}

/**
 * Checkpoints less urgent tasks on the worker where the fewest victims are needed. Empty when the
 * task already has a reservation or when no worker could free enough.
 */
export function planCheckpoints(
  context: PlanContext,
  pool: PoolLoad,
  task: TaskState,
  size: Resources,
): readonly CommandDecision[] {
  if (context.memory.reservations.has(task.taskId)) return [];
  const options = [...pool.loads.values()]
    .filter((load) => load.isOpen && !task.failedOn.includes(load.worker.id))
    .map((load) => ({ load, victims: chooseVictims(context, load, size) }))
    .filter(({ victims }) => victims !== undefined && victims.length > 0)
    .sort((a, b) => (a.victims?.length ?? 0) - (b.victims?.length ?? 0));
  const [best] = options;
  if (best?.victims === undefined) return [];
  const { nowMs, duty } = context.input;
  const workerId = best.load.worker.id;
  context.memory.reservations.set(task.taskId, {
    workerId,
    size,
    untilMs: nowMs + RESERVATION_MS,
  });
  addLoad(pool, workerId, size, true);
  const { contact } = getWorkerMemory(context.memory, workerId);
  const rationale = {
    reason: `frees capacity for quick task ${task.taskId}`,
    refused: 'let the quick task wait',
  };
  return best.victims.flatMap(({ task: victim, lease }) => {
    const { offset, durationMs } = lease;
    const taskLease = makeTaskLease(
      victim.taskId,
      offset,
      durationMs,
      duty,
      contact?.reportId ?? '',
    );
    return sendOnce(context, workerId, { kind: 'checkpoint', lease: taskLease }, rationale);
  });
}

/** Computes the share of their cores that non-quick tasks on a worker may use; 1 means all. */
export function computeThrottleShare(load: WorkerLoad): number {
  const others = load.used.cores - load.quick.cores;
  if (others <= 0 || load.used.cores <= load.worker.capacity.cores) return 1;
  const share = (load.worker.capacity.cores - load.quick.cores) / others;
  return Math.max(THROTTLE_FLOOR, share);
}

/** Throttles the less urgent tasks of a worker to the cores left by quick ones, or unthrottles. */
export function planThrottle(context: PlanContext, load: WorkerLoad): readonly CommandDecision[] {
  const workerId = load.worker.id;
  const received = context.input.reports.get(workerId);
  if (received === undefined) return [];
  const share = computeThrottleShare(load);
  const { reportId, tasks } = received.report;
  const changed = tasks.filter((task) => isShareOutdated(task.share, share));
  if (changed.length === 0) return [];
  const tokens = new Set(changed.map(({ fencingToken }) => fencingToken));
  const rationale =
    share < 1
      ? { reason: 'quick tasks need the cores', refused: 'let the quick tasks wait' }
      : { reason: 'the cores are free again', refused: 'keep the task throttled' };
  const { duty } = context.input;
  return listVictims(context, load)
    .filter(({ lease }) => tokens.has(lease.offset))
    .flatMap(({ task, lease }) => {
      const taskLease = makeTaskLease(task.taskId, lease.offset, lease.durationMs, duty, reportId);
      const command = { kind: 'throttle', lease: taskLease, share } as const;
      return sendOnce(context, workerId, command, rationale);
    });
}

/** Says whether capacity reserved on a worker is free; `used` already includes the reservation. */
export function isReservationReady(load: WorkerLoad): boolean {
  return load.isOpen && isWithin(NO_RESOURCES, computeFreeCapacity(load, true));
}

/** Says whether a task's share differs enough from the wanted one to change it. */
function isShareOutdated(share: number, wanted: number): boolean {
  if (wanted === 1) return share !== 1;
  return Math.abs(share - wanted) >= MIN_SHARE_CHANGE;
}
