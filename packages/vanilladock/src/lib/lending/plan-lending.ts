/**
 * Plans moves of instances between pools and the standby pool. Load pattern: queues peak by turns, each
 * asks for five times its mean for some seconds and next to nothing in between. A pool whose demand
 * exceeds its cores gets instances, from standby first, then from pools that have more than they need; a
 * pool that has had more than it needs for a while gives instances back to standby, where they are off.
 */
import type { WorkerContent } from '../waves/plan-wave.js';

/** What a worker has, as its pool's planner says. */
export interface LentWorker extends WorkerContent {
  readonly workerId: string;
}

/** Demand of a pool, as its planner says. */
export interface PoolDemand {
  readonly pool: string;
  /** Core-seconds of work that arrived in the last second, refused work included. */
  readonly arrivalCores: number;
  /** Cores of the batch tasks that run or could start now. */
  readonly runnableCores: number;
  /** Cores of lasting tasks. */
  readonly lastingCores: number;
  /** Workers that the lasting tasks need by their spread, and one more to move a task to. */
  readonly minWorkers: number;
  /** Whether any batch work has arrived yet; before, the operators' sizes are kept. */
  readonly hasPeaked: boolean;
  readonly workers: readonly LentWorker[];
}

/** An instance that may be moved. */
export interface LendableInstance {
  readonly id: string;
  readonly pool: string;
  readonly workerId: string | undefined;
  /** Up, and not on its way or in maintenance. */
  readonly isUp: boolean;
  readonly cores: number;
  /** Kept where it is, for instance for maintenance. */
  readonly isHeld: boolean;
}

/** Inputs of a plan. */
export interface LendingInputs {
  readonly demands: ReadonlyMap<string, PoolDemand>;
  readonly instances: readonly LendableInstance[];
  readonly standbyPool: string;
  /** Pool of instances that are on their way to it. */
  readonly incoming: ReadonlyMap<string, number>;
  /** Since when a pool has had more than it needs. */
  readonly surplusSinceMs: Map<string, number>;
  readonly nowMs: number;
}

/** A move to order. */
export interface LendingMove {
  readonly instance: string;
  readonly workerId: string | undefined;
  readonly from: string;
  readonly to: string;
}

/** A plan: moves to order now, and instances to empty for a later move. */
export interface LendingPlan {
  readonly moves: readonly LendingMove[];
  readonly empty: readonly LendableInstance[];
  /** Cores that each pool has or could be lent now. */
  readonly reachableCores: ReadonlyMap<string, number>;
}

/** Part of the runnable tasks that are to run at once; the others wait for their turn. */
const AT_ONCE = 0.9;

/** Room kept free beyond the demand. */
const HEADROOM = 1.15;

/** Least instances of a pool, so that the loss of one leaves others. */
const MIN_INSTANCES = 3;

/** A pool gives instances back after it has had more than it needs for this long. */
const SURPLUS_MS = 3_000;

/** Most instances that one plan moves. */
const MAX_MOVES = 12;

/** Computes how many instances a pool needs for its demand. */
export function computeNeed(demand: PoolDemand, coresPerInstance: number): number {
  const batchCores = Math.max(demand.arrivalCores, demand.runnableCores * AT_ONCE);
  const cores = batchCores * HEADROOM + demand.lastingCores;
  return Math.max(MIN_INSTANCES, demand.minWorkers, Math.ceil(cores / coresPerInstance));
}

/** Orders a pool's instances by what a move would disturb, the emptiest first. */
function orderByContent(
  instances: readonly LendableInstance[],
  demand: PoolDemand | undefined,
): readonly LendableInstance[] {
  const contents = new Map(demand?.workers.map((worker) => [worker.workerId, worker]));
  const computeContent = (instance: LendableInstance) => {
    const content = contents.get(instance.workerId ?? '');
    return content === undefined ? Infinity : content.lastingTasks * 1_000 + content.batchTasks;
  };
  return [...instances].sort((a, b) => computeContent(a) - computeContent(b));
}

/** Says whether an instance carries lasting tasks, or is not known. */
function hasLasting(instance: LendableInstance, demand: PoolDemand): boolean {
  const content = demand.workers.find((worker) => worker.workerId === instance.workerId);
  return content === undefined || content.lastingTasks > 0;
}

/** Says whether an instance carries nothing. */
function isEmpty(instance: LendableInstance, demand: PoolDemand | undefined): boolean {
  const content = demand?.workers.find((worker) => worker.workerId === instance.workerId);
  return content !== undefined && content.lastingTasks + content.batchTasks === 0;
}

/** Plans the moves of one moment. */
export function planLending(inputs: LendingInputs): LendingPlan {
  const { demands, standbyPool, incoming, surplusSinceMs, nowMs } = inputs;
  const movable = inputs.instances.filter((instance) => instance.isUp && !instance.isHeld);
  const coresPerInstance = Math.max(1, ...inputs.instances.map((instance) => instance.cores));
  const countUp = (pool: string) =>
    inputs.instances.filter((instance) => instance.pool === pool && instance.isUp).length +
    (incoming.get(pool) ?? 0);
  const pools = [...demands.values()].filter((demand) => demand.pool !== standbyPool);
  const balance = new Map(
    pools.map((demand) => [
      demand.pool,
      countUp(demand.pool) - computeNeed(demand, coresPerInstance),
    ]),
  );
  const computeSurplus = (pool: string) => Math.max(0, balance.get(pool) ?? 0);
  const moves: LendingMove[] = [];
  const empty: LendableInstance[] = [];
  const free = movable.filter((instance) => instance.pool === standbyPool);
  const spare = pools.flatMap((demand) => {
    const surplus = balance.get(demand.pool) ?? 0;
    if (surplus <= 0) return [];
    const own = movable.filter((instance) => instance.pool === demand.pool);
    return orderByContent(own, demand)
      .filter((instance) => isEmpty(instance, demand))
      .slice(0, surplus);
  });
  const occupied = pools.flatMap((demand) => {
    const surplus = balance.get(demand.pool) ?? 0;
    if (surplus <= 0) return [];
    const own = movable.filter((instance) => instance.pool === demand.pool);
    return orderByContent(own, demand)
      .slice(0, surplus)
      .filter((instance) => !spare.includes(instance) && !hasLasting(instance, demand));
  });
  const sources = [...free, ...spare];
  const needy = pools
    .filter((demand) => (balance.get(demand.pool) ?? 0) < 0)
    .sort((a, b) => (balance.get(a.pool) ?? 0) - (balance.get(b.pool) ?? 0));
  needy.forEach((demand) => {
    let missing = -(balance.get(demand.pool) ?? 0);
    while (missing > 0 && moves.length < MAX_MOVES) {
      const source = sources.shift();
      if (source === undefined) {
        empty.push(...occupied.splice(0, missing));
        return;
      }
      const { id, workerId, pool } = source;
      moves.push({ instance: id, workerId, from: pool, to: demand.pool });
      missing -= 1;
    }
  });
  pools.forEach((demand) => {
    const surplus = balance.get(demand.pool) ?? 0;
    if (surplus <= 0 || !demand.hasPeaked) {
      surplusSinceMs.delete(demand.pool);
      return;
    }
    const sinceMs = surplusSinceMs.get(demand.pool) ?? nowMs;
    surplusSinceMs.set(demand.pool, sinceMs);
    if (nowMs - sinceMs < SURPLUS_MS) return;
    const own = movable.filter((instance) => instance.pool === demand.pool);
    const taken = new Set(moves.map((move) => move.instance));
    orderByContent(own, demand)
      .filter((instance) => !taken.has(instance.id))
      .slice(0, surplus)
      .forEach((instance) => {
        const { id, workerId, pool } = instance;
        if (isEmpty(instance, demand) && moves.length < MAX_MOVES) {
          moves.push({ instance: id, workerId, from: pool, to: standbyPool });
        } else empty.push(instance);
      });
  });
  const lendable = free.length + pools.reduce((sum, { pool }) => sum + computeSurplus(pool), 0);
  const reachableCores = new Map(
    pools.map(({ pool }) => [
      pool,
      (countUp(pool) + lendable - computeSurplus(pool)) * coresPerInstance,
    ]),
  );
  return { moves, empty, reachableCores };
}
