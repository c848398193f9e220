/**
 * Maintains the indices of the placement state: queues by pool, urgency and team, totals by team
 * and totals by worker. Entries that have become empty are removed.
 */
import { Map, OrderedSet } from 'immutable';
import type { Urgency } from '../config/schema.js';
import { addResources, subtractResources } from './resources.js';
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
const EMPTY_POOL_QUEUE: PoolQueue = Map<Urgency, Map<string, TeamQueue>>();

/** Replaces a team's totals; removes the team when all are zero. */
function setTeam(state: PlacementState, team: string, next: TeamState): PlacementState {
  const isEmpty = next.queued === 0 && next.quickCores === 0 && next.heldCores === 0;
  const teams = isEmpty ? state.teams.remove(team) : state.teams.set(team, next);
  return { ...state, teams };
}

/** Replaces a worker; removes it when it has no leases, failures or quarantine record. */
export function setWorker(
  state: PlacementState,
  workerId: string,
  next: WorkerState,
): PlacementState {
  const isEmpty = next.tasks.isEmpty() && next.streak.length === 0 && next.quarantineOffset < 0;
  const workers = isEmpty ? state.workers.remove(workerId) : state.workers.set(workerId, next);
  return { ...state, workers };
}

/** Replaces a team's queue; removes empty levels. */
function setQueue(state: PlacementState, task: TaskState, next: TeamQueue): PlacementState {
  const pool = state.queues.get(task.pool) ?? EMPTY_POOL_QUEUE;
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

/** Gets the queue that a task belongs to. */
function getQueue(state: PlacementState, task: TaskState): TeamQueue {
  return state.queues.get(task.pool)?.get(task.urgency)?.get(task.team) ?? EMPTY_QUEUE;
}

/** Adds a task without a lease to its queue: to `again` if it ever held one, else to `fresh`. */
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

/**
 * Adds (1) or subtracts (-1) the expected cores of a quick task in its team's total; returns the
 * state unchanged for a task that is not quick.
 */
export function addQuickCores(
  state: PlacementState,
  task: TaskState,
  sign: 1 | -1,
): PlacementState {
  if (task.urgency !== 'quick') return state;
  const team = state.teams.get(task.team) ?? EMPTY_TEAM;
  const quickCores = computeCoreSum(team.quickCores, sign * task.expectedCores);
  return setTeam(state, task.team, { ...team, quickCores });
}

/** Sums of cores are rounded to a multiple of 1 / `CORE_PRECISION`. */
const CORE_PRECISION = 1e6;

/** Adds two numbers of cores, rounded so that matching additions and subtractions cancel out. */
function computeCoreSum(a: number, b: number): number {
  return Math.round((a + b) * CORE_PRECISION) / CORE_PRECISION;
}

/** Adds a lease to the totals of its team and worker. */
export function addLease(
  state: PlacementState,
  task: TaskState,
  lease: CurrentLease,
): PlacementState {
  const team = state.teams.get(task.team) ?? EMPTY_TEAM;
  const heldCores = computeCoreSum(team.heldCores, lease.size.cores);
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

/** Subtracts an ended lease from the totals of its team and worker. */
export function removeLease(
  state: PlacementState,
  task: TaskState,
  lease: CurrentLease,
): PlacementState {
  const team = state.teams.get(task.team) ?? EMPTY_TEAM;
  const heldCores = computeCoreSum(team.heldCores, -lease.size.cores);
  const worker = state.workers.get(lease.workerId) ?? EMPTY_WORKER;
  const quick = task.urgency === 'quick' ? lease.size : NO_RESOURCES;
  const tasks = worker.tasks.remove(task.taskId);
  const next = {
    ...worker,
    tasks,
    leased: tasks.isEmpty() ? NO_RESOURCES : subtractResources(worker.leased, lease.size),
    quick: tasks.isEmpty() ? NO_RESOURCES : subtractResources(worker.quick, quick),
  };
  return setWorker(setTeam(state, task.team, { ...team, heldCores }), lease.workerId, next);
}
