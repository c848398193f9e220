/**
 * Plans a maintenance wave: which instances to empty, and which to take down now. An instance is taken
 * down when it is empty of lasting work and the wave's limit, less everything that may be down for it,
 * leaves room. Instances of one pool go a few at a time, so that the pool keeps most of its room.
 */
import type { FleetInstance, WaveOrder } from '../ports/fleet.js';

/** Where an instance stands in a wave, as the ledger in the store has it. */
export type WaveStep =
  | { readonly kind: 'ordered'; readonly atMs: number }
  | { readonly kind: 'begun'; readonly atMs: number }
  | { readonly kind: 'done' };

/** What runs on an instance's worker. */
export interface WorkerContent {
  readonly lastingTasks: number;
  readonly batchTasks: number;
}

/** Inputs of a plan. */
export interface WaveInputs {
  readonly order: WaveOrder;
  readonly instances: ReadonlyMap<string, FleetInstance>;
  readonly steps: ReadonlyMap<string, WaveStep>;
  /** Content of the workers that are being emptied, by worker. */
  readonly contents: ReadonlyMap<string, WorkerContent>;
  /** When the emptying of an instance began. */
  readonly emptyingSinceMs: ReadonlyMap<string, number>;
  /** Pools whose instances are off. */
  readonly standbyPools: ReadonlySet<string>;
  readonly nowMs: number;
}

/** What to do next. */
export interface WavePlan {
  /** Instances to keep empty or make so. */
  readonly empty: readonly string[];
  /** Instances to order down, or to order again where the outcome is not known. */
  readonly takeDown: readonly string[];
  /** Instances whose maintenance has ended. */
  readonly finished: readonly string[];
  readonly isComplete: boolean;
}

/** Batch tasks are given this long to end before an instance goes down under them. */
const BATCH_PATIENCE_MS = 2_000;

/** An instance that is up again this long after its order has been maintained. */
const SETTLED_MS = 1_000;

/** Part of a pool's instances that may be emptied or down at once. */
const POOL_SHARE = 0.25;

/** Says whether an instance may be down for the wave. */
function isAway(step: WaveStep | undefined): boolean {
  return step?.kind === 'ordered' || step?.kind === 'begun';
}

/** Says whether an instance is empty enough to go down. */
function isReadyToGo(inputs: WaveInputs, id: string): boolean {
  const instance = inputs.instances.get(id);
  if (instance === undefined) return false;
  if (instance.workerId === undefined || inputs.standbyPools.has(instance.pool)) return true;
  const content = inputs.contents.get(instance.workerId);
  if (content === undefined || content.lastingTasks > 0) return false;
  const sinceMs = inputs.emptyingSinceMs.get(id) ?? inputs.nowMs;
  return content.batchTasks === 0 || inputs.nowMs - sinceMs > BATCH_PATIENCE_MS;
}

/** Counts the instances of each pool that may be used at once. */
function computePoolLimits(instances: ReadonlyMap<string, FleetInstance>): Map<string, number> {
  const sizes = new Map<string, number>();
  instances.forEach(({ pool }) => sizes.set(pool, (sizes.get(pool) ?? 0) + 1));
  return new Map(
    [...sizes].map(([pool, size]) => [pool, Math.max(1, Math.floor(size * POOL_SHARE))]),
  );
}

/** Plans the next actions of a wave. */
export function planWave(inputs: WaveInputs): WavePlan {
  const { order, instances, steps, nowMs } = inputs;
  const present = order.instances.filter((id) => instances.has(id));
  const finished = present.filter((id) => {
    const step = steps.get(id);
    return (
      step?.kind === 'begun' && instances.get(id)?.state === 'up' && nowMs - step.atMs > SETTLED_MS
    );
  });
  const isOpen = (id: string) => steps.get(id) === undefined;
  const away = order.instances.filter((id) => isAway(steps.get(id)) && !finished.includes(id));
  const isUp = (id: string) => instances.get(id)?.state === 'up';
  // An order without a known outcome is repeated; the machine may hold work again meanwhile.
  const again = away.filter((id) => steps.get(id)?.kind === 'ordered' && isUp(id));
  const limits = computePoolLimits(instances);
  const taken = new Map<string, number>();
  away.forEach((id) => {
    const pool = instances.get(id)?.pool;
    if (pool !== undefined) taken.set(pool, (taken.get(pool) ?? 0) + 1);
  });
  const opened = present.filter((id) => {
    const instance = instances.get(id);
    if (instance === undefined || !isOpen(id) || !isUp(id)) return false;
    const count = taken.get(instance.pool) ?? 0;
    const isOff = inputs.standbyPools.has(instance.pool);
    if (!isOff && count >= (limits.get(instance.pool) ?? 1)) return false;
    taken.set(instance.pool, count + 1);
    return true;
  });
  const room = Math.max(0, order.maxConcurrent - away.length);
  const next = opened.filter((id) => isReadyToGo(inputs, id)).slice(0, room);
  const isDone = (id: string) =>
    !instances.has(id) || steps.get(id)?.kind === 'done' || finished.includes(id);
  return {
    empty: [...again, ...opened],
    takeDown: [...again.filter((id) => isReadyToGo(inputs, id)), ...next],
    finished,
    isComplete: instances.size > 0 && order.instances.every(isDone),
  };
}
