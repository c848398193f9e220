/**
 * Plans moves of instances between pools and the standby pool. Expected load: queues peak in turn;
 * each needs five times its mean for some seconds and almost nothing in between. A pool whose
 * demand exceeds its cores gets instances from standby first, then from pools with a surplus. Work
 * that can still meet its objective takes precedence over late work of any pool, which has little
 * value. A pool that has had a surplus for some time returns instances to standby, where they are
 * switched off.
 */
import type { WorkerTasks } from '../waves/plan-wave.js';
import {
  computeBalances,
  computeSurplus,
  hasLastingTasks,
  isIdle,
  type PoolBalance,
  type PoolInstance,
  type PoolNeed,
} from './pool-balance.js';

/** Numbers of tasks on a worker, as reported by its pool's planner. */
export interface PoolWorker extends WorkerTasks {
  readonly workerId: string;
}

/** Demand of a pool, as reported by its planner. */
export interface PoolDemand {
  readonly pool: string;
  /** Core-seconds of work that arrived in the last second, including refused work. */
  readonly arrivalCores: number;
  /** Core-seconds of work expected to arrive a second when an instance moved now is ready. */
  readonly expectedCores: number;
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

/** A pool returns instances after it has had a surplus for this long. */
const SURPLUS_DELAY_MS = 3_000;

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
    for (const balance of balances) {
      const { demand, movable } = balance;
      const count = takenByPool.get(demand.pool) ?? 0;
      const instance =
        computeSurplus(balance, priority) > count
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

/** Lists the instances to return to standby, of a surplus that has lasted and is not lent now. */
function planReturns(
  inputs: LendingInputs,
  balances: readonly PoolBalance[],
  lentIds: ReadonlySet<string>,
): readonly PoolInstance[] {
  const { surplusSinceMs, nowMs } = inputs;
  return balances.flatMap((balance) => {
    const { demand, movable } = balance;
    const surplus = computeSurplus(balance, 'total');
    if (surplus <= 0 || !demand.hasPeaked) {
      surplusSinceMs.delete(demand.pool);
      return [];
    }
    const sinceMs = surplusSinceMs.get(demand.pool) ?? nowMs;
    surplusSinceMs.set(demand.pool, sinceMs);
    if (nowMs - sinceMs < SURPLUS_DELAY_MS) return [];
    const remaining = movable.filter(({ id }) => !lentIds.has(id));
    const lentCount = movable.length - remaining.length;
    return remaining.slice(0, Math.max(0, surplus - lentCount));
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
  const lentIds = new Set([
    ...loans.moves.map(({ instance }) => instance),
    ...loans.drain.map(({ id }) => id),
  ]);
  const returns = planReturns(inputs, balances, lentIds);
  const remainingMoves = Math.max(0, maxMoves - loans.moves.length);
  const returned = returns.filter(isIdle).slice(0, remainingMoves);
  const returnedSet = new Set(returned);
  const lendableCount = balances.reduce(
    (sum, balance) => sum + computeSurplus(balance, 'urgent'),
    standbyInstances.length,
  );
  return {
    moves: [...loans.moves, ...returned.map((instance) => makeMove(instance, standbyPool))],
    drain: [...loans.drain, ...returns.filter((instance) => !returnedSet.has(instance))],
    reachableCores: new Map(
      balances.map((balance) => [
        balance.demand.pool,
        (balance.up + lendableCount - computeSurplus(balance, 'urgent')) * coresPerInstance,
      ]),
    ),
  };
}
