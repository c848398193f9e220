/**
 * Assigns the queued tasks of one pool to its workers: most urgent first, then the team that holds
 * the fewest cores for its weight, within quotas and without using the reserve for quick tasks.
 * Only the heads of the teams' queues are examined, so the cost of a round does not grow with the
 * queue length.
 */
import { Heap } from 'mnemonist';
import type { Urgency } from '../config/schema.js';
import { URGENCIES } from '../config/schema.js';
import type { Resources } from '../ports/workers.js';
import type { PlacementDecision } from './decisions.js';
import { chooseSize } from './learn-sizes.js';
import { MAX_SKIPPED_TASKS_PER_TEAM, MAX_SKIPPED_TASKS_PER_POOL } from './plan-input.js';
import type { PoolView } from './plan-input.js';
import {
  addLoad,
  buildPoolLoad,
  computeMaxCapacity,
  hasFreeCapacity,
  isTooLargeForPool,
  pickWorker,
} from './plan-load.js';
import type { PoolLoad, WorkerLoad } from './plan-load.js';
import { isReservationReady, planCheckpoints, planThrottle } from './plan-preemption.js';
import { recordEndOnce } from './plan-context.js';
import type { PlanContext } from './plan-context.js';
import { EMPTY_TEAM } from './state.js';
import type { TaskState, TeamQueue } from './state.js';

/** Time after which a pool with an unchanged queue is retried when no task could be granted. */
const BLOCKED_QUEUE_RETRY_MS = 2_000;

/** A team's turn in the order of a round. */
interface TeamTurn {
  readonly team: string;
  readonly heldCores: number;
  readonly waiting: Iterator<string>;
  /** Tasks of the team skipped so far in the round. */
  readonly skippedTasks: number;
}

/** Result of trying to place one task. */
type TaskAttempt =
  | { readonly kind: 'granted'; readonly cores: number; readonly decisions: PlacementDecision[] }
  | { readonly kind: 'skipped'; readonly decisions: readonly PlacementDecision[] };

const SKIPPED: TaskAttempt = { kind: 'skipped', decisions: [] };

/** Yields the task ids of a team's queue; tasks that held a lease before come first. */
function* listWaiting(queue: TeamQueue): Generator<string> {
  yield* queue.again;
  yield* queue.fresh;
}

/** Computes the cores per team that are granted but not yet read back from the log. */
export function computePendingCores(context: PlanContext): Map<string, number> {
  const pending = new Map<string, number>();
  context.memory.grants.forEach(({ team, size }) => {
    pending.set(team, (pending.get(team) ?? 0) + size.cores);
  });
  return pending;
}

/** Chooses the size to request; a learned or grown one is capped at the pool's largest worker. */
function chooseFittingSize(context: PlanContext, pool: PoolView, task: TaskState): Resources {
  const kind = context.input.state.kinds.get(task.taskKind);
  const size = chooseSize(kind, task.declared, task.grownMemoryMb);
  if (kind?.estimate === undefined && task.grownMemoryMb === 0) return size;
  const max = computeMaxCapacity(pool);
  return {
    ...size,
    cores: Math.min(size.cores, max.cores),
    memoryMb: Math.min(size.memoryMb, max.memoryMb),
  };
}

/** Explains why a task can never run in its pool; undefined when it can. */
export function explainNeverRunnable(
  context: Pick<PlanContext, 'input'>,
  pool: PoolView,
  task: TaskState,
  size: Resources,
): string | undefined {
  const quota = context.input.rules.getQuotaCores(task.team);
  if (size.cores > quota) {
    return `it needs ${size.cores} cores and the quota of team ${task.team} is ${quota}`;
  }
  if (!isTooLargeForPool(pool, size)) return undefined;
  const shape = `${size.cores} cores, ${size.memoryMb} MB, ${size.accelerators} accelerators`;
  return `no worker of pool ${pool.name} holds ${shape}`;
}

/** Grants a task to the chosen worker: appends the lease and records it as pending. */
function placeTask(
  context: PlanContext,
  pool: PoolLoad,
  task: TaskState,
  size: Resources,
  chosen: { readonly best: WorkerLoad; readonly next: WorkerLoad | undefined },
): TaskAttempt {
  const { input, memory, maker } = context;
  const workerId = chosen.best.worker.id;
  const record = maker.makeLease(task, workerId, size, pool.pool.taskLeaseMs);
  memory.reservations.delete(task.taskId);
  memory.granted.set(workerId, input.nowMs);
  memory.grants.set(task.taskId, {
    recordId: record.id,
    taskId: task.taskId,
    team: task.team,
    urgency: task.urgency,
    workerId,
    size,
    follows: task.newestLease,
    sinceMs: input.nowMs,
  });
  const rack = `${task.team}/${chosen.best.worker.location.rack}`;
  const rackCounts = pool.getRackCounts();
  rackCounts.set(rack, (rackCounts.get(rack) ?? 0) + 1);
  const reason = `best fit among ${pool.loads.size} workers, spread over racks`;
  const refused = chosen.next
    ? `worker ${chosen.next.worker.id}`
    : 'no other worker has enough free capacity';
  return {
    kind: 'granted',
    cores: size.cores,
    decisions: [{ kind: 'grant', record, reason, refused }],
  };
}

/** Says whether a task that is not quick would use the reserve for quick tasks. */
function isInReserve(pool: PoolLoad, task: TaskState, size: Resources): boolean {
  if (task.urgency === 'quick') return false;
  const share = 1 - pool.pool.urgentReserveShare;
  const others = pool.sumNonQuick();
  return (
    others.cores + size.cores > pool.capacity.cores * share ||
    others.memoryMb + size.memoryMb > pool.capacity.memoryMb * share
  );
}

/**
 * Grants a task with a reservation once the reserved capacity is free and skips it until then;
 * undefined without a reservation.
 */
function placeReserved(
  context: PlanContext,
  pool: PoolLoad,
  task: TaskState,
): TaskAttempt | undefined {
  const reservation = context.memory.reservations.get(task.taskId);
  const load = reservation && pool.loads.get(reservation.workerId);
  if (reservation === undefined || load === undefined) return undefined;
  if (!isReservationReady(load)) return SKIPPED;
  return placeTask(context, pool, task, reservation.size, { best: load, next: undefined });
}

/** Tries to place one queued task: grants it, rejects it, frees capacity for it, or skips it. */
function planTask(
  context: PlanContext,
  pool: PoolLoad,
  task: TaskState,
  heldCores: number,
): TaskAttempt {
  const size = chooseFittingSize(context, pool.pool, task);
  const neverReason = explainNeverRunnable(context, pool.pool, task, size);
  if (neverReason !== undefined) {
    const rationale = { reason: neverReason, refused: 'keep the task queued indefinitely' };
    return {
      kind: 'skipped',
      decisions: recordEndOnce(context, task, 'never-runnable', rationale),
    };
  }
  if (heldCores + size.cores > context.input.rules.getQuotaCores(task.team)) return SKIPPED;
  if (isInReserve(pool, task, size)) return SKIPPED;
  const reserved = placeReserved(context, pool, task);
  if (reserved?.kind === 'granted') return reserved;
  const chosen = pickWorker(pool, task, size);
  if (chosen !== undefined) {
    addLoad(pool, chosen.best.worker.id, size, task.urgency === 'quick');
    return placeTask(context, pool, task, size, chosen);
  }
  if (task.urgency !== 'quick' || reserved !== undefined) return SKIPPED;
  return { kind: 'skipped', decisions: planCheckpoints(context, pool, task, size) };
}

/** Finds the next queued task of a team without a pending decision. */
function findNextTask(context: PlanContext, waiting: Iterator<string>): TaskState | undefined {
  const { input, memory } = context;
  for (let next = waiting.next(); next.done !== true; next = waiting.next()) {
    const taskId = next.value;
    const task = input.state.tasks.get(taskId);
    if (task !== undefined && !memory.grants.has(taskId) && !memory.ends.has(taskId)) return task;
  }
  return undefined;
}

/** Orders the teams with queued tasks of one urgency by held cores per weight, lowest first. */
function orderTeams(
  context: PlanContext,
  pool: PoolView,
  urgency: Urgency,
  pending: ReadonlyMap<string, number>,
): Heap<TeamTurn> {
  const { state, rules } = context.input;
  const turns = new Heap<TeamTurn>(
    (a, b) =>
      a.heldCores / rules.getWeight(a.team) - b.heldCores / rules.getWeight(b.team) ||
      (a.team < b.team ? -1 : 1),
  );
  state.queues
    .get(pool.name)
    ?.get(urgency)
    ?.forEach((queue, team) => {
      const held = (state.teams.get(team) ?? EMPTY_TEAM).heldCores + (pending.get(team) ?? 0);
      turns.push({ team, heldCores: held, waiting: listWaiting(queue), skippedTasks: 0 });
    });
  return turns;
}

/** Places the tasks of one urgency until nothing fits or the budget of leases is spent. */
function planUrgency(
  context: PlanContext,
  pool: PoolLoad,
  urgency: Urgency,
  budget: number,
  pending: Map<string, number>,
): readonly PlacementDecision[] {
  if (urgency !== 'quick' && !hasFreeCapacity(pool, false)) return [];
  const turns = orderTeams(context, pool.pool, urgency, pending);
  const decisions: PlacementDecision[] = [];
  let granted = 0;
  let skippedTasks = 0;
  while (granted < budget && skippedTasks < MAX_SKIPPED_TASKS_PER_POOL) {
    const turn = turns.pop();
    if (turn === undefined) break;
    const task = findNextTask(context, turn.waiting);
    if (task === undefined) continue;
    const attempt = planTask(context, pool, task, turn.heldCores);
    decisions.push(...attempt.decisions);
    if (attempt.kind === 'granted') {
      granted += 1;
      pending.set(turn.team, (pending.get(turn.team) ?? 0) + attempt.cores);
      turns.push({ ...turn, heldCores: turn.heldCores + attempt.cores });
    } else {
      skippedTasks += 1;
      if (turn.skippedTasks + 1 < MAX_SKIPPED_TASKS_PER_TEAM)
        turns.push({ ...turn, skippedTasks: turn.skippedTasks + 1 });
    }
  }
  return decisions;
}

/**
 * Decides on the queued tasks of one pool: which to place, to reject as never runnable, or to free
 * capacity for by checkpointing less urgent tasks. Also throttles tasks in favour of quick ones, or
 * ends that. Empty for a while after a round without decisions on tasks, unless the queue changes.
 *
 * @param budget - Maximum number of leases to grant; other decisions do not count.
 * @param pending - Cores by team that are granted but not yet read back; updated by each grant.
 */
export function planPool(
  context: PlanContext,
  pool: PoolView,
  budget: number,
  pending: Map<string, number>,
): readonly PlacementDecision[] {
  const { memory, input } = context;
  const queue = input.state.queues.get(pool.name);
  const blocked = memory.blockedQueues.get(pool.name);
  const isBlocked =
    queue !== undefined && blocked?.queue === queue && input.nowMs < blocked.untilMs;
  if (isBlocked) return [];
  const poolLoad = buildPoolLoad(context, pool);
  const decisions: PlacementDecision[] = [];
  let remainingBudget = budget;
  URGENCIES.forEach((urgency) => {
    const planned = planUrgency(context, poolLoad, urgency, remainingBudget, pending);
    remainingBudget -= planned.filter(({ kind }) => kind === 'grant').length;
    decisions.push(...planned);
  });
  const hasQuick = queue?.has('quick') === true;
  if (queue !== undefined && decisions.length === 0 && !hasQuick) {
    memory.blockedQueues.set(pool.name, { queue, untilMs: input.nowMs + BLOCKED_QUEUE_RETRY_MS });
  }
  const throttles = [...poolLoad.loads.values()].flatMap((workerLoad) =>
    planThrottle(context, workerLoad),
  );
  return [...throttles, ...decisions];
}
