/**
 * Compares what each pool has with what it needs: for work that can still meet its objective, and
 * for all work.
 */
import type { WorkerTasks } from '../waves/plan-wave.js';
import type { LendableInstance, LendingInputs, PoolDemand } from './plan-lending.js';

/** Share of the runnable tasks that should run concurrently; the others wait. */
const CONCURRENT_SHARE = 0.9;

/** Factor by which planned capacity exceeds the demand. */
const HEADROOM_FACTOR = 1.15;

/** Minimum number of instances of a pool, so that it survives the loss of one. */
const MIN_INSTANCES = 3;

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
    const batchCores = Math.max(demand.expectedCores, runnableCores * CONCURRENT_SHARE);
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
export interface PoolInstance extends LendableInstance {
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
export function hasLastingTasks({ content }: PoolInstance): boolean {
  return content === undefined || content.lastingTasks > 0;
}

/** Says whether an instance is known to run no tasks. */
export function isIdle({ content }: PoolInstance): boolean {
  return content !== undefined && content.lastingTasks + content.batchTasks === 0;
}

/** Supply and need of a pool. */
export interface PoolBalance {
  readonly demand: PoolDemand;
  /** Number of instances that are up or moving to the pool. */
  readonly up: number;
  readonly need: PoolNeed;
  /** Instances that may be moved, the least loaded first. */
  readonly movable: readonly PoolInstance[];
}

/** Compares what every pool has, including instances that are moving to it, with what it needs. */
export function computeBalances(
  inputs: LendingInputs,
  coresPerInstance: number,
): readonly PoolBalance[] {
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

/**
 * Computes how many instances a pool can spare. Only those that may be moved now count: others are
 * still on their way to the pool, or may already have left it.
 */
export function computeSurplus({ need, movable }: PoolBalance, priority: keyof PoolNeed): number {
  return Math.max(0, movable.length - need[priority]);
}
