/** Explains the state of one task from the same data that the planner uses. */
import type { Resources } from '../ports/workers.js';
import type { Verdict } from '../verdict.js';
import { chooseSize } from './learn-sizes.js';
import type { PoolView } from './plan-input.js';
import { isTooLargeForPool } from './plan-load.js';
import { isWithin, subtractResources } from './resources.js';
import { EMPTY_TEAM, EMPTY_WORKER } from './state.js';
import type { PlacementRules, PlacementState, TaskResult, TaskState } from './state.js';

/** State of a task and the reason for it; `unknown` also for one that ended too long ago. */
export type TaskExplanation =
  | { readonly kind: 'unknown'; readonly taskId: string }
  | {
      readonly kind: 'finished';
      readonly taskId: string;
      readonly result: TaskResult;
      readonly verdict: Verdict;
      readonly reason: string;
    }
  | {
      readonly kind: 'leased';
      readonly taskId: string;
      readonly workerId: string;
      readonly fencingToken: number;
      readonly size: Resources;
      /** Whether its worker is being told to stop it because it was cancelled. */
      readonly isCancelled: boolean;
    }
  | {
      readonly kind: 'waiting';
      readonly taskId: string;
      readonly reason: string;
      /** Size of its next attempt. */
      readonly size: Resources;
      /** Whether `size` is based on earlier tasks of its kind, not on the declared size. */
      readonly sizeIsLearned: boolean;
      readonly failures: number;
      readonly lapses: number;
      /** Ids of workers on which an attempt failed; repeated for each failure. */
      readonly failedOn: readonly string[];
      /** Queued tasks of the team, including this one. */
      readonly queuedOfTeam: number;
    };

/** Says whether any usable worker of the pool has free capacity for the size. */
function hasFreeWorker(state: PlacementState, pool: PoolView, size: Resources): boolean {
  return pool.workers.some(({ id, capacity, isOpen }) => {
    const worker = state.workers.get(id) ?? EMPTY_WORKER;
    const isUsable = isOpen && !worker.isQuarantined;
    return isUsable && isWithin(size, subtractResources(capacity, worker.leased));
  });
}

/** Explains why a task is still queued. */
function explainWait(
  state: PlacementState,
  rules: PlacementRules,
  pool: PoolView | undefined,
  task: TaskState,
  size: Resources,
): string {
  const quota = rules.getQuotaCores(task.team);
  const { heldCores } = state.teams.get(task.team) ?? EMPTY_TEAM;
  if (pool === undefined) return `pool ${task.pool} has no workers listed`;
  if (isTooLargeForPool(pool, size)) return `no worker of pool ${task.pool} can ever hold it`;
  if (heldCores + size.cores > quota) {
    return `team ${task.team} holds ${heldCores} of its ${quota} cores`;
  }
  if (!hasFreeWorker(state, pool, size)) return `no worker of pool ${task.pool} has room now`;
  return 'it is due; more urgent work, the reserve or teams with fewer cores go first';
}

/**
 * Explains whether a task is unknown, queued, leased or finished, and why. `pools` holds the listed
 * pools by name.
 */
export function explainTask(
  state: PlacementState,
  taskId: string,
  rules: PlacementRules,
  pools: ReadonlyMap<string, PoolView>,
): TaskExplanation {
  const finished = state.finished.get(taskId);
  const task = state.tasks.get(taskId);
  if (task === undefined) {
    if (finished === undefined) return { kind: 'unknown', taskId };
    const { result, verdict, reason } = finished;
    return { kind: 'finished', taskId, result, verdict, reason };
  }
  const { lease, isCancelled } = task;
  if (lease !== undefined) {
    const { workerId, offset: fencingToken, size } = lease;
    return { kind: 'leased', taskId, workerId, fencingToken, size, isCancelled };
  }
  const kind = state.kinds.get(task.taskKind);
  const size = chooseSize(kind, task.declared, task.grownMemoryMb);
  return {
    kind: 'waiting',
    taskId,
    reason: explainWait(state, rules, pools.get(task.pool), task, size),
    size,
    sizeIsLearned: kind?.estimate !== undefined,
    failures: task.failures,
    lapses: task.lapses,
    failedOn: task.failedOn,
    queuedOfTeam: (state.teams.get(task.team) ?? EMPTY_TEAM).queued,
  };
}
