/**
 * Plans a maintenance wave: which instances to drain, and which to take down now. An instance is
 * taken down once it runs no lasting tasks and fewer instances than the wave's limit may be down.
 * Only a share of a pool's instances is taken at once, so that the pool keeps most of its capacity.
 */
import type { FleetInstance, WaveOrder } from '../ports/fleet.js';

/**
 * Progress of an instance in a wave, as recorded in the store. `ordered`: the order to take it down
 * was sent and may or may not have taken effect; `begun`: its maintenance has begun; `done`: it has
 * ended. `atMs` is on the clock of `WaveInputs.nowMs`.
 */
export type WaveStep =
  | { readonly kind: 'ordered'; readonly atMs: number }
  | { readonly kind: 'begun'; readonly atMs: number }
  | { readonly kind: 'done' };

/** Numbers of tasks on a worker. */
export interface WorkerTasks {
  readonly lastingTasks: number;
  readonly batchTasks: number;
}

/** A worker that gets no new tasks. */
export interface EvacuatedWorker {
  /** Tasks that were left on it when its planner last renewed the evacuation. */
  readonly content: WorkerTasks;
  /** Monotonic time in milliseconds since which it has been evacuated without a gap. */
  readonly sinceMs: number;
}

/** Inputs of a wave plan. */
export interface WaveInputs {
  readonly order: WaveOrder;
  /** All instances by id; empty while the fleet is unknown, and the wave is then not complete. */
  readonly instances: ReadonlyMap<string, FleetInstance>;
  /** Progress by instance id; an instance without an entry was not ordered down yet. */
  readonly steps: ReadonlyMap<string, WaveStep>;
  /**
   * Workers whose evacuation still holds, by worker id. An instance whose worker has no entry is
   * not taken down, unless it is switched off.
   */
  readonly evacuations: ReadonlyMap<string, EvacuatedWorker>;
  /** Instances that other waves drain or take down. */
  readonly heldByOthers: ReadonlySet<string>;
  /** Pools whose instances are switched off. */
  readonly standbyPools: ReadonlySet<string>;
  /** Monotonic time in milliseconds. */
  readonly nowMs: number;
}

/** The next actions of a wave; instances are given by id. */
export interface WavePlan {
  /** Instances to drain, or to keep drained; includes those to take down. */
  readonly drain: readonly string[];
  /** Instances to take down, including those whose earlier order has an unknown outcome. */
  readonly takeDown: readonly string[];
  /** Instances whose maintenance has ended but is not recorded as `done` yet. */
  readonly finished: readonly string[];
  /** Whether every instance of the order is done or no longer in the fleet. */
  readonly isComplete: boolean;
}

/** Time that batch tasks get to end before their instance is taken down anyway. */
const BATCH_GRACE_MS = 2_000;

/** An instance that is up this long after its maintenance began counts as maintained. */
const COMPLETION_DELAY_MS = 1_000;

/** Share of a pool's instances that a wave may have draining or down; at least one may be. */
const MAX_POOL_SHARE = 0.25;

/** Share of a pool's instances that all waves together may have draining or down, likewise. */
const MAX_TOTAL_POOL_SHARE = 0.5;

/** Says whether an instance may currently be down for the wave. */
function isPossiblyDown(step: WaveStep | undefined): boolean {
  return step?.kind === 'ordered' || step?.kind === 'begun';
}

/** Says whether a worker is drained far enough, at the monotonic time `nowMs`, to be taken down. */
export function isDrained({ content, sinceMs }: EvacuatedWorker, nowMs: number): boolean {
  if (content.lastingTasks > 0) return false;
  return content.batchTasks === 0 || nowMs - sinceMs > BATCH_GRACE_MS;
}

/** Says whether an instance may be taken down as far as its tasks are concerned. */
function isReadyForTakedown(inputs: WaveInputs, id: string): boolean {
  const instance = inputs.instances.get(id);
  if (instance === undefined) return false;
  if (instance.workerId === undefined || inputs.standbyPools.has(instance.pool)) return true;
  const evacuation = inputs.evacuations.get(instance.workerId);
  return evacuation !== undefined && isDrained(evacuation, inputs.nowMs);
}

/** Counts instances by pool; ignores ids that the fleet does not list. */
function countByPool(
  instances: ReadonlyMap<string, FleetInstance>,
  ids: Iterable<string>,
): Map<string, number> {
  const counts = new Map<string, number>();
  [...ids].forEach((id) => {
    const pool = instances.get(id)?.pool;
    if (pool !== undefined) counts.set(pool, (counts.get(pool) ?? 0) + 1);
  });
  return counts;
}

/** Slots of a wave: how many further instances of each pool it may drain. */
interface PoolSlots {
  /** Takes a slot of the pool; false if none is free. */
  readonly take: (pool: string) => boolean;
}

/** Creates the slots that remain while the wave's `unavailable` instances may be down. */
function createPoolSlots(inputs: WaveInputs, unavailable: readonly string[]): PoolSlots {
  const { instances, heldByOthers } = inputs;
  const sizes = countByPool(instances, instances.keys());
  const inMaintenance = [...instances.values()].filter(({ state }) => state === 'maintenance');
  const own = countByPool(instances, unavailable);
  const total = countByPool(
    instances,
    new Set([...unavailable, ...heldByOthers, ...inMaintenance.map(({ id }) => id)]),
  );
  const hasFree = (counts: ReadonlyMap<string, number>, pool: string, share: number) => {
    const limit = Math.max(1, Math.floor((sizes.get(pool) ?? 0) * share));
    return (counts.get(pool) ?? 0) < limit;
  };
  const addOne = (counts: Map<string, number>, pool: string) =>
    counts.set(pool, (counts.get(pool) ?? 0) + 1);
  return {
    take: (pool) => {
      const isFree =
        hasFree(own, pool, MAX_POOL_SHARE) && hasFree(total, pool, MAX_TOTAL_POOL_SHARE);
      if (!isFree) return false;
      addOne(own, pool);
      addOne(total, pool);
      return true;
    },
  };
}

/** Plans the next actions of a wave; the caller has to record the resulting steps. */
export function planWave(inputs: WaveInputs): WavePlan {
  const { order, instances, steps, nowMs } = inputs;
  const present = order.instances.filter((id) => instances.has(id));
  const finished = present.filter((id) => {
    const step = steps.get(id);
    return (
      step?.kind === 'begun' &&
      instances.get(id)?.state === 'up' &&
      nowMs - step.atMs > COMPLETION_DELAY_MS
    );
  });
  const isPending = (id: string) => steps.get(id) === undefined;
  const unavailable = order.instances.filter(
    (id) => isPossiblyDown(steps.get(id)) && !finished.includes(id),
  );
  const isUp = (id: string) => instances.get(id)?.state === 'up';
  // An order with an unknown outcome is repeated; by then the instance may run tasks again.
  const repeated = unavailable.filter((id) => steps.get(id)?.kind === 'ordered' && isUp(id));
  const slots = createPoolSlots(inputs, unavailable);
  const selected = present.filter((id) => {
    const instance = instances.get(id);
    if (instance === undefined || !isPending(id) || !isUp(id)) return false;
    return inputs.standbyPools.has(instance.pool) || slots.take(instance.pool);
  });
  const freeSlots = Math.max(0, order.maxConcurrent - unavailable.length);
  const ready = selected.filter((id) => isReadyForTakedown(inputs, id)).slice(0, freeSlots);
  const isDone = (id: string) =>
    !instances.has(id) || steps.get(id)?.kind === 'done' || finished.includes(id);
  return {
    drain: [...repeated, ...selected],
    takeDown: [...repeated.filter((id) => isReadyForTakedown(inputs, id)), ...ready],
    finished,
    isComplete: instances.size > 0 && order.instances.every(isDone),
  };
}
