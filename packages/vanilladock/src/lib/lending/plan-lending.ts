/**
 * Plans moves of instances between pools and the standby pool. Load pattern: queues peak by turns, each
 * asks for five times its mean for some seconds and next to nothing in between. A pool whose demand
 * exceeds its cores gets instances, from standby first, then from pools that have more than they need.
 * Work that can still meet its objective comes before late work of all pools, which is worth little. A
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
  /** Cores of the batch tasks that run or could start now; memory counts as the cores beside it. */
  readonly runnableCores: number;
  /** The part of them whose jobs can still meet their objectives. */
  readonly onTimeCores: number;
  /** Cores of lasting tasks. */
  readonly lastingCores: number;
  /** Workers that the lasting tasks need by their spread, and one more to move a task to. */
  readonly minWorkers: number;
  /** Whether any batch work has arrived yet; before, the operators' sizes are kept. */
  readonly hasPeaked: boolean;
  readonly workers: readonly LentWorker[];
  /** Whether tasks that could start wait because no worker that takes work has room for them. */
  readonly hasUnplaced: boolean;
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
  /** Most moves of this plan. */
  readonly maxMoves: number;
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

/** Instances that a pool needs: for work that can meet its objective, and for all of its work. */
export interface PoolNeed {
  readonly urgent: number;
  readonly whole: number;
}

/** Computes how many instances a pool needs for its demand; more than it has, if tasks fit nowhere. */
export function computeNeed(
  demand: PoolDemand,
  coresPerInstance: number,
  upCount: number,
): PoolNeed {
  const countFor = (runnableCores: number) => {
    const batchCores = Math.max(demand.arrivalCores, runnableCores * AT_ONCE);
    const cores = batchCores * HEADROOM + demand.lastingCores;
    return Math.max(MIN_INSTANCES, demand.minWorkers, Math.ceil(cores / coresPerInstance));
  };
  const least = demand.hasUnplaced ? upCount + 1 : 0;
  return {
    urgent: countFor(demand.onTimeCores),
    whole: Math.max(countFor(demand.runnableCores), least),
  };
}

/** An instance of a pool with what its worker has; undefined when that is not known. */
interface OwnInstance extends LendableInstance {
  readonly content: WorkerContent | undefined;
}

/** Weight of a lasting task beside a batch task, when the emptiest instances are looked for. */
const LASTING_WEIGHT = 1_000;

/** Lists a pool's instances with their contents, the emptiest first. */
function listOwn(
  instances: readonly LendableInstance[],
  demand: PoolDemand,
): readonly OwnInstance[] {
  const contents = new Map(demand.workers.map((worker) => [worker.workerId, worker]));
  const computeWeight = ({ content }: OwnInstance) =>
    content === undefined ? Infinity : content.lastingTasks * LASTING_WEIGHT + content.batchTasks;
  return instances
    .map((instance) => ({ ...instance, content: contents.get(instance.workerId ?? '') }))
    .sort((a, b) => computeWeight(a) - computeWeight(b));
}

/** Says whether an instance carries lasting tasks, or is not known. */
function hasLasting({ content }: OwnInstance): boolean {
  return content === undefined || content.lastingTasks > 0;
}

/** Says whether an instance carries nothing. */
function isEmpty({ content }: OwnInstance): boolean {
  return content !== undefined && content.lastingTasks + content.batchTasks === 0;
}

/** A pool with what it has and needs. */
interface PoolBalance {
  readonly demand: PoolDemand;
  readonly up: number;
  readonly need: PoolNeed;
  /** Instances that may be moved, the emptiest first. */
  readonly own: readonly OwnInstance[];
}

/** Weighs what every pool has, instances on their way to it included, against what it needs. */
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
        own: listOwn(movable, demand),
      };
    });
}

/** Instances that one plan can still give away. */
interface Stock {
  /** Takes an empty instance out of standby, or of a pool that has more than it needs. */
  readonly takeEmpty: (rank: keyof PoolNeed) => LendableInstance | undefined;
  /** Takes an instance with batch tasks, which is to be emptied first. */
  readonly takeOccupied: (rank: keyof PoolNeed) => LendableInstance | undefined;
}

/** Creates the stock of one plan. */
function createStock(free: readonly LendableInstance[], balances: readonly PoolBalance[]): Stock {
  const taken = new Set<string>();
  const given = new Map<string, number>();
  const standby = [...free];
  const takeFrom = (rank: keyof PoolNeed, isFit: (instance: OwnInstance) => boolean) => {
    for (const { demand, up, need, own } of balances) {
      const count = given.get(demand.pool) ?? 0;
      const instance =
        up - need[rank] > count ? own.find((one) => !taken.has(one.id) && isFit(one)) : undefined;
      if (instance !== undefined) {
        taken.add(instance.id);
        given.set(demand.pool, count + 1);
        return instance;
      }
    }
    return undefined;
  };
  /** For urgent work a pool gives what it needs only for late work, after what nobody needs. */
  const takeFor = (rank: keyof PoolNeed, isFit: (instance: OwnInstance) => boolean) =>
    takeFrom('whole', isFit) ?? (rank === 'urgent' ? takeFrom(rank, isFit) : undefined);
  return {
    takeEmpty: (rank) => standby.shift() ?? takeFor(rank, isEmpty),
    takeOccupied: (rank) => takeFor(rank, (instance) => !hasLasting(instance)),
  };
}

/** Gives instances to the pools that miss some, those that miss most first; urgent work comes first. */
function planGifts(balances: readonly PoolBalance[], stock: Stock, maxMoves: number) {
  const moves: LendingMove[] = [];
  const empty: LendableInstance[] = [];
  const received = new Map<string, number>();
  const giveFor = (rank: keyof PoolNeed) => {
    const needy = balances
      .map(({ demand: { pool }, up, need }) => ({
        pool,
        missing: need[rank] - up - (received.get(pool) ?? 0),
      }))
      .filter(({ missing }) => missing > 0)
      .sort((a, b) => b.missing - a.missing);
    needy.forEach(({ pool, missing }) => {
      for (let count = 0; count < missing && moves.length < maxMoves; count += 1) {
        const source = stock.takeEmpty(rank);
        const occupied = source === undefined ? stock.takeOccupied(rank) : undefined;
        if (source !== undefined) {
          moves.push(makeMove(source, pool));
          received.set(pool, (received.get(pool) ?? 0) + 1);
        } else if (occupied !== undefined) empty.push(occupied);
        else return;
      }
    });
  };
  giveFor('urgent');
  giveFor('whole');
  return { moves, empty };
}

/** Makes the move of an instance to a pool. */
function makeMove({ id, workerId, pool }: LendableInstance, to: string): LendingMove {
  return { instance: id, workerId, from: pool, to };
}

/** Gives back to standby what pools have had beyond their needs for a while. */
function planReturns(
  inputs: LendingInputs,
  balances: readonly PoolBalance[],
  isTaken: (instance: LendableInstance) => boolean,
): readonly OwnInstance[] {
  const { surplusSinceMs, nowMs } = inputs;
  return balances.flatMap(({ demand, up, need, own }) => {
    const surplus = up - need.whole;
    if (surplus <= 0 || !demand.hasPeaked) {
      surplusSinceMs.delete(demand.pool);
      return [];
    }
    const sinceMs = surplusSinceMs.get(demand.pool) ?? nowMs;
    surplusSinceMs.set(demand.pool, sinceMs);
    if (nowMs - sinceMs < SURPLUS_MS) return [];
    return own.filter((instance) => !isTaken(instance)).slice(0, surplus);
  });
}

/** Plans the moves of one moment. */
export function planLending(inputs: LendingInputs): LendingPlan {
  const { standbyPool, maxMoves } = inputs;
  const coresPerInstance = Math.max(1, ...inputs.instances.map((instance) => instance.cores));
  const balances = computeBalances(inputs, coresPerInstance);
  const free = inputs.instances.filter(
    ({ pool, isUp, isHeld }) => pool === standbyPool && isUp && !isHeld,
  );
  const gifts = planGifts(balances, createStock(free, balances), maxMoves);
  const moved = new Set(gifts.moves.map(({ instance }) => instance));
  const returns = planReturns(inputs, balances, ({ id }) => moved.has(id));
  const room = Math.max(0, maxMoves - gifts.moves.length);
  const returned = returns.filter(isEmpty).slice(0, room);
  const left = new Set(returned);
  const computeSurplus = ({ up, need }: PoolBalance) => Math.max(0, up - need.urgent);
  const lendable = balances.reduce((sum, balance) => sum + computeSurplus(balance), free.length);
  return {
    moves: [...gifts.moves, ...returned.map((instance) => makeMove(instance, standbyPool))],
    empty: [...gifts.empty, ...returns.filter((instance) => !left.has(instance))],
    reachableCores: new Map(
      balances.map((balance) => [
        balance.demand.pool,
        (balance.up + lendable - computeSurplus(balance)) * coresPerInstance,
      ]),
    ),
  };
}
