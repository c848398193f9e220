/**
 * Plans moves of instances between pools and the standby pool. Expected load: queues peak in turn;
 * each needs five times its mean for some seconds and almost nothing in between. A pool whose
 * demand exceeds its cores gets instances from standby first, then from pools with a surplus. Work
 * that can still meet its objective takes precedence over late work of any pool, which has little
 * value. A pool that has had a surplus for some time returns instances to standby, where they are
 * switched off.
 */
import type { WorkerTasks } from '../waves/plan-wave.js';

/** Numbers of tasks on a worker, as reported by its pool's planner. */
export interface PoolWorker extends WorkerTasks {
  readonly workerId: string;
}

/** Demand of a pool, as reported by its planner. */
export interface PoolDemand {
  readonly pool: string;
  /** Core-seconds of work that arrived in the last second, including refused work. */
  readonly arrivalCores: number;
  /**
   * Cores of the batch tasks that run or could start now; if larger, the cores of the workers that
   * hold enough memory for them.
   */
  readonly runnableCores: number;
  /** The part of `runnableCores` whose jobs can still meet their objectives. */
  readonly onTimeCores: number;
  /** Cores of assigned lasting tasks; if larger, the cores that hold their memory. */
  readonly lastingCores: number;
  /** Workers that the spread rules of the lasting tasks require, plus one to move a task to. */
  readonly minWorkers: number;
  /**
   * Whether enough batch jobs are known to estimate the demand; until then the pool returns no
   * instances to standby.
   */
  readonly hasPeaked: boolean;
  readonly workers: readonly PoolWorker[];
  /** Whether runnable tasks wait because no worker that accepts tasks has the free capacity. */
  readonly hasUnplaced: boolean;
}

/** An instance as an input of lending; it may be moved if it is up and not held. */
export interface LendableInstance {
  readonly id: string;
  readonly pool: string;
  /** Id of its worker; undefined while it has none, and its tasks are then unknown. */
  readonly workerId: string | undefined;
  /** Whether the instance is up, and neither moving nor in maintenance. */
  readonly isUp: boolean;
  readonly cores: number;
  /** Whether the instance must stay in its pool, for example for maintenance. */
  readonly isHeld: boolean;
}

/** Inputs of a lending plan. */
export interface LendingInputs {
  /** Demand by pool; a pool without one neither gets nor lends instances. */
  readonly demands: ReadonlyMap<string, PoolDemand>;
  readonly instances: readonly LendableInstance[];
  readonly standbyPool: string;
  /** Number of instances that are on their way to each pool. */
  readonly incoming: ReadonlyMap<string, number>;
  /** Monotonic time, in ms, since which each pool has had a surplus; updated by the plan. */
  readonly surplusSinceMs: Map<string, number>;
  /** Monotonic time in ms. */
  readonly nowMs: number;
  /** Maximum number of moves in this plan. */
  readonly maxMoves: number;
}

/** A move to order. */
export interface LendingMove {
  /** Id of the instance. */
  readonly instance: string;
  readonly workerId: string | undefined;
  readonly from: string;
  readonly to: string;
}

/** A plan: moves to order now, and instances to drain for a later move. */
export interface LendingPlan {
  readonly moves: readonly LendingMove[];
  /** Instances to drain; may name one twice, and also idle ones beyond the limit on moves. */
  readonly drain: readonly LendableInstance[];
  /** Cores that each pool has or could be lent now, by pool; the standby pool has no entry. */
  readonly reachableCores: ReadonlyMap<string, number>;
}

/** Share of the runnable tasks that should run concurrently; the others wait. */
const CONCURRENT_SHARE = 0.9;

/** Factor by which planned capacity exceeds the demand. */
const HEADROOM_FACTOR = 1.15;

/** Minimum number of instances of a pool, so that it survives the loss of one. */
const MIN_INSTANCES = 3;

/** A pool returns instances after it has had a surplus for this long. */
const SURPLUS_DELAY_MS = 3_000;

/** Numbers of instances that a pool needs in all: for work that is on time, and for all work. */
export interface PoolNeed {
  readonly urgent: number;
  readonly total: number;
}

/** Computes how many instances a pool needs; one more than it has when tasks fit on no worker. */
export function computeNeed(
  demand: PoolDemand,
  coresPerInstance: number,
  upCount: number,
): PoolNeed {
  const countFor = (runnableCores: number) => {
    const batchCores = Math.max(demand.arrivalCores, runnableCores * CONCURRENT_SHARE);
    const cores = batchCores * HEADROOM_FACTOR + demand.lastingCores;
    return Math.max(MIN_INSTANCES, demand.minWorkers, Math.ceil(cores / coresPerInstance));
  };
  const minimum = demand.hasUnplaced ? upCount + 1 : 0;
  return {
    urgent: countFor(demand.onTimeCores),
    total: Math.max(countFor(demand.runnableCores), minimum),
  };
}

/** An instance with the tasks of its worker; `content` is undefined when they are unknown. */
interface PoolInstance extends LendableInstance {
  readonly content: WorkerTasks | undefined;
}

/** Weight of a lasting task, in batch tasks, when instances are ordered by load. */
const LASTING_TASK_WEIGHT = 1_000;

/** Lists a pool's instances with their tasks, the least loaded first. */
function listPoolInstances(
  instances: readonly LendableInstance[],
  demand: PoolDemand,
): readonly PoolInstance[] {
  const contents = new Map(demand.workers.map((worker) => [worker.workerId, worker]));
  const computeWeight = ({ content }: PoolInstance) =>
    content === undefined
      ? Infinity
      : content.lastingTasks * LASTING_TASK_WEIGHT + content.batchTasks;
  return instances
    .map((instance) => ({ ...instance, content: contents.get(instance.workerId ?? '') }))
    .sort((a, b) => computeWeight(a) - computeWeight(b));
}

/** Says whether an instance runs lasting tasks, or its tasks are unknown. */
function hasLastingTasks({ content }: PoolInstance): boolean {
  return content === undefined || content.lastingTasks > 0;
}

/** Says whether an instance is known to run no tasks. */
function isIdle({ content }: PoolInstance): boolean {
  return content !== undefined && content.lastingTasks + content.batchTasks === 0;
}

/** Supply and need of a pool. */
interface PoolBalance {
  readonly demand: PoolDemand;
  /** Number of instances that are up or moving to the pool. */
  readonly up: number;
  readonly need: PoolNeed;
  /** Instances that may be moved, the least loaded first. */
  readonly movable: readonly PoolInstance[];
}

/** Compares what every pool has, including instances that are moving to it, with what it needs. */
function computeBalances(inputs: LendingInputs, coresPerInstance: number): readonly PoolBalance[] {
  const { demands, instances, incoming, standbyPool } = inputs;
  return [...demands.values()]
    .filter((demand) => demand.pool !== standbyPool)
    .map((demand) => {
      const up = instances.filter(({ pool, isUp }) => pool === demand.pool && isUp);
      const movable = up.filter((instance) => !instance.isHeld);
      return {
        demand,
        up: up.length + (incoming.get(demand.pool) ?? 0),
        need: computeNeed(demand, coresPerInstance, up.length),
        movable: listPoolInstances(movable, demand),
      };
    });
}

/** Instances that one plan can still lend. */
interface Supply {
  /** Takes an idle instance from standby, or from a pool with a surplus. */
  readonly takeIdle: (priority: keyof PoolNeed) => LendableInstance | undefined;
  /** Takes an instance with batch tasks, which has to be drained first. */
  readonly takeBusy: (priority: keyof PoolNeed) => LendableInstance | undefined;
}

/** Creates the supply of one plan. */
function createSupply(
  standbyInstances: readonly LendableInstance[],
  balances: readonly PoolBalance[],
): Supply {
  const taken = new Set<string>();
  const takenByPool = new Map<string, number>();
  const standby = [...standbyInstances];
  const takeFromPools = (
    priority: keyof PoolNeed,
    isEligible: (instance: PoolInstance) => boolean,
  ) => {
    for (const { demand, up, need, movable } of balances) {
      const count = takenByPool.get(demand.pool) ?? 0;
      const instance =
        up - need[priority] > count
          ? movable.find((candidate) => !taken.has(candidate.id) && isEligible(candidate))
          : undefined;
      if (instance !== undefined) {
        taken.add(instance.id);
        takenByPool.set(demand.pool, count + 1);
        return instance;
      }
    }
    return undefined;
  };
  /** For urgent work, takes surplus first and then what other pools need only for late work. */
  const takeForPriority = (
    priority: keyof PoolNeed,
    isEligible: (instance: PoolInstance) => boolean,
  ) =>
    takeFromPools('total', isEligible) ??
    (priority === 'urgent' ? takeFromPools(priority, isEligible) : undefined);
  return {
    takeIdle: (priority) => standby.shift() ?? takeForPriority(priority, isIdle),
    takeBusy: (priority) => takeForPriority(priority, (instance) => !hasLastingTasks(instance)),
  };
}

/** Lends instances to pools with a shortage, the largest first; urgent work takes precedence. */
function planLoans(balances: readonly PoolBalance[], supply: Supply, maxMoves: number) {
  const moves: LendingMove[] = [];
  const toDrain: LendableInstance[] = [];
  const received = new Map<string, number>();
  const planLoansFor = (priority: keyof PoolNeed) => {
    const shortages = balances
      .map(({ demand: { pool }, up, need }) => ({
        pool,
        missing: need[priority] - up - (received.get(pool) ?? 0),
      }))
      .filter(({ missing }) => missing > 0)
      .sort((a, b) => b.missing - a.missing);
    shortages.forEach(({ pool, missing }) => {
      for (let count = 0; count < missing && moves.length < maxMoves; count += 1) {
        const source = supply.takeIdle(priority);
        const busy = source === undefined ? supply.takeBusy(priority) : undefined;
        if (source !== undefined) {
          moves.push(makeMove(source, pool));
          received.set(pool, (received.get(pool) ?? 0) + 1);
        } else if (busy !== undefined) toDrain.push(busy);
        else return;
      }
    });
  };
  planLoansFor('urgent');
  planLoansFor('total');
  return { moves, drain: toDrain };
}

/** Makes the order that moves an instance to a pool. */
function makeMove({ id, workerId, pool }: LendableInstance, to: string): LendingMove {
  return { instance: id, workerId, from: pool, to };
}

/** Lists the instances to return to standby from pools whose surplus has lasted long enough. */
function planReturns(
  inputs: LendingInputs,
  balances: readonly PoolBalance[],
  isTaken: (instance: LendableInstance) => boolean,
): readonly PoolInstance[] {
  const { surplusSinceMs, nowMs } = inputs;
  return balances.flatMap(({ demand, up, need, movable }) => {
    const surplus = up - need.total;
    if (surplus <= 0 || !demand.hasPeaked) {
      surplusSinceMs.delete(demand.pool);
      return [];
    }
    const sinceMs = surplusSinceMs.get(demand.pool) ?? nowMs;
    surplusSinceMs.set(demand.pool, sinceMs);
    if (nowMs - sinceMs < SURPLUS_DELAY_MS) return [];
    return movable.filter((instance) => !isTaken(instance)).slice(0, surplus);
  });
}

/** Plans the moves to order now, and updates `surplusSinceMs`. */
export function planLending(inputs: LendingInputs): LendingPlan {
  const { standbyPool, maxMoves } = inputs;
  const coresPerInstance = Math.max(1, ...inputs.instances.map((instance) => instance.cores));
  const balances = computeBalances(inputs, coresPerInstance);
  const standbyInstances = inputs.instances.filter(
    ({ pool, isUp, isHeld }) => pool === standbyPool && isUp && !isHeld,
  );
  const loans = planLoans(balances, createSupply(standbyInstances, balances), maxMoves);
  const moved = new Set(loans.moves.map(({ instance }) => instance));
  const returns = planReturns(inputs, balances, ({ id }) => moved.has(id));
  const remainingMoves = Math.max(0, maxMoves - loans.moves.length);
  const returned = returns.filter(isIdle).slice(0, remainingMoves);
  const returnedSet = new Set(returned);
  const computeSurplus = ({ up, need }: PoolBalance) => Math.max(0, up - need.urgent);
  const lendableCount = balances.reduce(
    (sum, balance) => sum + computeSurplus(balance),
    standbyInstances.length,
  );
  return {
    moves: [...loans.moves, ...returned.map((instance) => makeMove(instance, standbyPool))],
    drain: [...loans.drain, ...returns.filter((instance) => !returnedSet.has(instance))],
    reachableCores: new Map(
      balances.map((balance) => [
        balance.demand.pool,
        (balance.up + lendableCount - computeSurplus(balance)) * coresPerInstance,
      ]),
    ),
  };
}
