/**
 * Gives the waiting tasks of one pool to its workers: the most urgent first, then the team that holds
 * the fewest cores for its weight, within quotas and outside the reserve for quick work. Only the heads
 * of the teams' queues are looked at, so the cost of a round does not grow with what waits.
 */
import { Heap } from 'mnemonist';
import type { Urgency } from '../config/schema.js';
import { URGENCIES } from '../config/schema.js';
import type { Resources } from '../ports/workers.js';
import type { PlacementDecision } from './decisions.js';
import { chooseSize } from './learn-sizes.js';
import { LOOKAHEAD, MISSES_PER_POOL } from './plan-input.js';
import type { PoolView } from './plan-input.js';
import {
  addToRoom,
  buildPoolRoom,
  computeLargest,
  hasAnyRoom,
  isNeverFitting,
  pickWorker,
} from './plan-room.js';
import type { PoolRoom, WorkerRoom } from './plan-room.js';
import { isReservationReady, planCheckpoints, planThrottle } from './plan-urgent.js';
import { closeOnce } from './plan-worker.js';
import type { PlanContext } from './plan-worker.js';
import { EMPTY_TEAM } from './state.js';
import type { TaskState, TeamQueue } from './state.js';

/** Time after which a pool in which nothing fitted is looked at again, if its queue stays the same. */
const STUCK_RETRY_MS = 2_000;

/** A team's place in the order of a round. */
interface TeamTurn {
  readonly team: string;
  readonly heldCores: number;
  readonly waiting: Iterator<string>;
  readonly misses: number;
}

/** What became of one look at a task. */
type Look =
  | { readonly kind: 'granted'; readonly cores: number; readonly decisions: PlacementDecision[] }
  | { readonly kind: 'passed'; readonly decisions: readonly PlacementDecision[] };

const PASSED: Look = { kind: 'passed', decisions: [] };

/** Yields the tasks of a team's queue, those that held a lease before first. */
function* listWaiting(queue: TeamQueue): Generator<string> {
  yield* queue.again;
  yield* queue.fresh;
}

/** Computes the cores of each team that are granted but not yet read back. */
export function computePendingCores(context: PlanContext): Map<string, number> {
  const pending = new Map<string, number>();
  context.memory.grants.forEach(({ team, size }) => {
    pending.set(team, (pending.get(team) ?? 0) + size.cores);
  });
  return pending;
}

/** Chooses the size to ask for; one that outgrew the pool by learning is capped at its largest worker. */
function chooseFittingSize(context: PlanContext, pool: PoolView, task: TaskState): Resources {
  const kind = context.input.state.kinds.get(task.taskKind);
  const size = chooseSize(kind, task.declared, task.grownMemoryMb);
  if (kind?.estimate === undefined && task.grownMemoryMb === 0) return size;
  const largest = computeLargest(pool);
  return {
    ...size,
    cores: Math.min(size.cores, largest.cores),
    memoryMb: Math.min(size.memoryMb, largest.memoryMb),
  };
}

/** Says why a task can never run in its pool; undefined when it may. */
export function explainNever(
  context: Pick<PlanContext, 'input'>,
  pool: PoolView,
  task: TaskState,
  size: Resources,
): string | undefined {
  const quota = context.input.rules.getQuotaCores(task.team);
  if (size.cores > quota) {
    return `it needs ${size.cores} cores and the quota of team ${task.team} is ${quota}`;
  }
  if (!isNeverFitting(pool, size)) return undefined;
  const shape = `${size.cores} cores, ${size.memoryMb} MB, ${size.accelerators} accelerators`;
  return `no worker of pool ${pool.name} holds ${shape}`;
}

/** Appends a lease for a task on a worker. */
function takeWorker(
  context: PlanContext,
  pool: PoolRoom,
  task: TaskState,
  size: Resources,
  chosen: { readonly best: WorkerRoom; readonly next: WorkerRoom | undefined },
): Look {
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
  const spread = pool.getSpread();
  spread.set(rack, (spread.get(rack) ?? 0) + 1);
  const reason = `best fit among ${pool.rooms.size} workers, spread over racks`;
  const refused = chosen.next ? `worker ${chosen.next.worker.id}` : 'no other worker has room';
  return {
    kind: 'granted',
    cores: size.cores,
    decisions: [{ kind: 'grant', record, reason, refused }],
  };
}

/** Says whether a task that is not quick would use the reserve for quick ones. */
function isInReserve(pool: PoolRoom, task: TaskState, size: Resources): boolean {
  if (task.urgency === 'quick') return false;
  const share = 1 - pool.pool.urgentReserveShare;
  const others = pool.sumOthers();
  return (
    others.cores + size.cores > pool.capacity.cores * share ||
    others.memoryMb + size.memoryMb > pool.capacity.memoryMb * share
  );
}

/** Grants a task whose room was reserved, once that room is free; passes it by until then. */
function takeReserved(context: PlanContext, pool: PoolRoom, task: TaskState): Look | undefined {
  const reservation = context.memory.reservations.get(task.taskId);
  const room = reservation && pool.rooms.get(reservation.workerId);
  if (reservation === undefined || room === undefined) return undefined;
  if (!isReservationReady(room)) return PASSED;
  return takeWorker(context, pool, task, reservation.size, { best: room, next: undefined });
}

/** Looks at one waiting task: grants it, refuses it for good, makes room for it, or passes it by. */
function planTask(context: PlanContext, pool: PoolRoom, task: TaskState, heldCores: number): Look {
  const size = chooseFittingSize(context, pool.pool, task);
  const never = explainNever(context, pool.pool, task, size);
  if (never !== undefined) {
    const grounds = { reason: never, refused: 'let it wait for ever' };
    return { kind: 'passed', decisions: closeOnce(context, task, 'never-runnable', grounds) };
  }
  if (heldCores + size.cores > context.input.rules.getQuotaCores(task.team)) return PASSED;
  if (isInReserve(pool, task, size)) return PASSED;
  const reserved = takeReserved(context, pool, task);
  if (reserved?.kind === 'granted') return reserved;
  const chosen = pickWorker(pool, task, size);
  if (chosen !== undefined) {
    addToRoom(pool, chosen.best.worker.id, size, task.urgency === 'quick');
    return takeWorker(context, pool, task, size, chosen);
  }
  if (task.urgency !== 'quick' || reserved !== undefined) return PASSED;
  return { kind: 'passed', decisions: planCheckpoints(context, pool, task, size) };
}

/** Finds the next task of a team that no earlier round has decided on. */
function findNext(context: PlanContext, waiting: Iterator<string>): TaskState | undefined {
  const { input, memory } = context;
  for (let next = waiting.next(); next.done !== true; next = waiting.next()) {
    const taskId = next.value;
    const task = input.state.tasks.get(taskId);
    if (task !== undefined && !memory.grants.has(taskId) && !memory.ends.has(taskId)) return task;
  }
  return undefined;
}

/** Lists the teams that wait at one urgency, the one with the fewest cores for its weight first. */
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
      turns.push({ team, heldCores: held, waiting: listWaiting(queue), misses: 0 });
    });
  return turns;
}

/** Gives out one urgency of one pool until nothing fits or the budget is spent. */
function planUrgency(
  context: PlanContext,
  pool: PoolRoom,
  urgency: Urgency,
  budget: number,
  pending: Map<string, number>,
): readonly PlacementDecision[] {
  if (urgency !== 'quick' && !hasAnyRoom(pool, false)) return [];
  const turns = orderTeams(context, pool.pool, urgency, pending);
  const decisions: PlacementDecision[] = [];
  let granted = 0;
  let misses = 0;
  while (granted < budget && misses < MISSES_PER_POOL) {
    const turn = turns.pop();
    if (turn === undefined) break;
    const task = findNext(context, turn.waiting);
    if (task === undefined) continue;
    const look = planTask(context, pool, task, turn.heldCores);
    decisions.push(...look.decisions);
    if (look.kind === 'granted') {
      granted += 1;
      pending.set(turn.team, (pending.get(turn.team) ?? 0) + look.cores);
      turns.push({ ...turn, heldCores: turn.heldCores + look.cores });
    } else {
      misses += 1;
      if (turn.misses + 1 < LOOKAHEAD) turns.push({ ...turn, misses: turn.misses + 1 });
    }
  }
  return decisions;
}

/** Gives out the waiting tasks of one pool within a budget of leases, and throttles for quick ones. */
export function planPool(
  context: PlanContext,
  pool: PoolView,
  budget: number,
  pending: Map<string, number>,
): readonly PlacementDecision[] {
  const { memory, input } = context;
  const queue = input.state.queues.get(pool.name);
  const stuck = memory.stuck.get(pool.name);
  const isStuck = queue !== undefined && stuck?.queue === queue && input.nowMs < stuck.untilMs;
  if (isStuck) return [];
  const room = buildPoolRoom(context, pool);
  const decisions: PlacementDecision[] = [];
  let left = budget;
  URGENCIES.forEach((urgency) => {
    const planned = planUrgency(context, room, urgency, left, pending);
    left -= planned.filter(({ kind }) => kind === 'grant').length;
    decisions.push(...planned);
  });
  const hasQuick = queue?.has('quick') === true;
  if (queue !== undefined && decisions.length === 0 && !hasQuick) {
    memory.stuck.set(pool.name, { queue, untilMs: input.nowMs + STUCK_RETRY_MS });
  }
  const throttles = [...room.rooms.values()].flatMap((one) => planThrottle(context, one));
  return [...throttles, ...decisions];
}
