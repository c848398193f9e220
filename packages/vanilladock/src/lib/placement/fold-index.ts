/**
 * Keeps the indices of the placement state in step with its tasks: queues by pool, urgency and team,
 * sums by team and sums by worker. Entries that have become empty are dropped.
 */
import { Map, OrderedSet } from 'immutable';
import type { Urgency } from '../config/schema.js';
import { addResources, removeResources } from './resources.js';
import type {
  CurrentLease,
  PlacementState,
  PoolQueue,
  TaskState,
  TeamQueue,
  TeamState,
  WorkerState,
} from './state.js';
import { EMPTY_TEAM, EMPTY_WORKER, NO_RESOURCES } from './state.js';

const EMPTY_QUEUE: TeamQueue = { again: OrderedSet(), fresh: OrderedSet() };
const EMPTY_POOL: PoolQueue = Map<Urgency, Map<string, TeamQueue>>();

/** Replaces a team's sums; drops them when nothing is left. */
function setTeam(state: PlacementState, team: string, next: TeamState): PlacementState {
  const isEmpty = next.queued === 0 && next.quickCores === 0 && next.heldCores === 0;
  const teams = isEmpty ? state.teams.remove(team) : state.teams.set(team, next);
  return { ...state, teams };
}

/** Replaces a worker; drops it when nothing is known of it. */
export function setWorker(
  state: PlacementState,
  workerId: string,
  next: WorkerState,
): PlacementState {
  const isEmpty = next.tasks.isEmpty() && next.streak.length === 0 && next.quarantineOffset < 0;
  const workers = isEmpty ? state.workers.remove(workerId) : state.workers.set(workerId, next);
  return { ...state, workers };
}

/** Replaces a team's queue; drops empty levels. */
function setQueue(state: PlacementState, task: TaskState, next: TeamQueue): PlacementState {
  const pool = state.queues.get(task.pool) ?? EMPTY_POOL;
  const teams = pool.get(task.urgency) ?? Map<string, TeamQueue>();
  const isEmpty = next.again.isEmpty() && next.fresh.isEmpty();
  const nextTeams = isEmpty ? teams.remove(task.team) : teams.set(task.team, next);
  const nextPool = nextTeams.isEmpty()
    ? pool.remove(task.urgency)
    : pool.set(task.urgency, nextTeams);
  const queues = nextPool.isEmpty()
    ? state.queues.remove(task.pool)
    : state.queues.set(task.pool, nextPool);
  return { ...state, queues };
}

/** Gets a team's queue. */
function getQueue(state: PlacementState, task: TaskState): TeamQueue {
  return state.queues.get(task.pool)?.get(task.urgency)?.get(task.team) ?? EMPTY_QUEUE;
}

/** Adds a task without a lease to its queue. */
export function addToQueue(state: PlacementState, task: TaskState): PlacementState {
  const queue = getQueue(state, task);
  const next =
    task.newestLease < 0
      ? { ...queue, fresh: queue.fresh.add(task.taskId) }
      : { ...queue, again: queue.again.add(task.taskId) };
  const team = state.teams.get(task.team) ?? EMPTY_TEAM;
  const counted = setTeam(state, task.team, { ...team, queued: team.queued + 1 });
  return { ...setQueue(counted, task, next), queued: state.queued + 1 };
}

/** Removes a task without a lease from its queue. */
export function removeFromQueue(state: PlacementState, task: TaskState): PlacementState {
  const queue = getQueue(state, task);
  const next = {
    again: queue.again.remove(task.taskId),
    fresh: queue.fresh.remove(task.taskId),
  };
  const team = state.teams.get(task.team) ?? EMPTY_TEAM;
  const counted = setTeam(state, task.team, { ...team, queued: team.queued - 1 });
  return { ...setQueue(counted, task, next), queued: state.queued - 1 };
}

/** Counts the expected cores of a quick task when it comes (1) and when it ends (-1). */
export function addQuickCores(
  state: PlacementState,
  task: TaskState,
  sign: 1 | -1,
): PlacementState {
  if (task.urgency !== 'quick') return state;
  const team = state.teams.get(task.team) ?? EMPTY_TEAM;
  const quickCores = computeSum(team.quickCores, sign * task.expectedCores);
  return setTeam(state, task.team, { ...team, quickCores });
}

const CORE_GRAIN = 1e6;

/** Sums two numbers of cores, rounded so that repeated sums return to zero. */
function computeSum(a: number, b: number): number {
  return Math.round((a + b) * CORE_GRAIN) / CORE_GRAIN;
}

/** Counts a lease in the sums of its team and worker. */
export function addLease(
  state: PlacementState,
  task: TaskState,
  lease: CurrentLease,
): PlacementState {
  const team = state.teams.get(task.team) ?? EMPTY_TEAM;
  const heldCores = computeSum(team.heldCores, lease.size.cores);
  const worker = state.workers.get(lease.workerId) ?? EMPTY_WORKER;
  const quick = task.urgency === 'quick' ? lease.size : NO_RESOURCES;
  const next = {
    ...worker,
    tasks: worker.tasks.add(task.taskId),
    leased: addResources(worker.leased, lease.size),
    quick: addResources(worker.quick, quick),
  };
  return setWorker(setTeam(state, task.team, { ...team, heldCores }), lease.workerId, next);
}

/** Takes an ended lease out of the sums of its team and worker. */
export function removeLease(
  state: PlacementState,
  task: TaskState,
  lease: CurrentLease,
): PlacementState {
  const team = state.teams.get(task.team) ?? EMPTY_TEAM;
  const heldCores = computeSum(team.heldCores, -lease.size.cores);
  const worker = state.workers.get(lease.workerId) ?? EMPTY_WORKER;
  const quick = task.urgency === 'quick' ? lease.size : NO_RESOURCES;
  const tasks = worker.tasks.remove(task.taskId);
  const next = {
    ...worker,
    tasks,
    leased: tasks.isEmpty() ? NO_RESOURCES : removeResources(worker.leased, lease.size),
    quick: tasks.isEmpty() ? NO_RESOURCES : removeResources(worker.quick, quick),
  };
  return setWorker(setTeam(state, task.team, { ...team, heldCores }), lease.workerId, next);
}
