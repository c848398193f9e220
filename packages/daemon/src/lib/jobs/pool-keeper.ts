/** Stores what a pool's planner must keep, one write at a time, everything that is due in each. */
import type { PoolPlanner } from 'vanilladock/lib/jobs/pool-planner.js';
import type { PoolMeta, PoolStore } from './pool-store.js';

/** What a keeper needs. */
export interface PoolKeeperOptions {
  readonly store: PoolStore;
  readonly getPlanner: () => PoolPlanner | undefined;
  /** Called when something stored lets the plan go on. */
  readonly schedulePlan: () => void;
  /** Called when another planner has taken over the pool. */
  readonly handleLost: () => void;
}

/** A keeper. */
export interface PoolKeeper {
  readonly setMeta: (meta: PoolMeta) => void;
  readonly writeDirty: () => Promise<void>;
  /** Resolves to whether everything that was dirty at the call is stored within the time. */
  readonly waitStored: (patienceMs: number) => Promise<boolean>;
  /** Says whether a write has been waiting for the store's answer for so long that more would be held. */
  readonly isStoreAway: () => boolean;
  readonly stop: () => void;
}

/** A write without an answer for this long means that the store is away. */
const STORE_AWAY_MS = 600;

/** Creates a keeper. */
export function createPoolKeeper(options: PoolKeeperOptions): PoolKeeper {
  const { store, getPlanner, schedulePlan, handleLost } = options;
  const waiters: ((isStored: boolean) => void)[] = [];
  let meta: PoolMeta = { generation: 0, workers: [] };
  let isWriting = false;
  let writingSinceMs: number | undefined;
  let isStopped = false;

  const recordWorkers = async () => {
    const planner = getPlanner();
    if (planner === undefined) return;
    const ids = planner.listLeaseHolders();
    const recorded = new Set(meta.workers);
    planner.markWorkersRecorded(ids.filter((id) => recorded.has(id)));
    const isSettled = planner.isSettled(performance.now());
    const isSame = ids.length === recorded.size && ids.every((id) => recorded.has(id));
    if (isSame && isSettled === meta.isSettled) return;
    const next = { ...meta, workers: ids, isSettled };
    const outcome = await store.write([store.encodeMeta(next)]);
    if (outcome !== 'stored') return;
    meta = next;
    planner.markWorkersRecorded(ids);
    schedulePlan();
  };
  const writeOnce = async (): Promise<'stored' | 'idle' | 'failed'> => {
    const planner = getPlanner();
    const batch = planner?.takeStoreBatch();
    if (planner === undefined || batch === undefined) return 'idle';
    writingSinceMs = performance.now();
    const outcome = await store.write(batch.records);
    writingSinceMs = undefined;
    switch (outcome) {
      case 'stored':
        batch.handleStored();
        schedulePlan();
        return 'stored';
      case 'refused':
        planner.dropUnstored(batch);
        return 'failed';
      case 'lost':
        handleLost();
        return 'failed';
      default:
        return outcome satisfies never;
    }
  };
  const writeDirty = async () => {
    if (isWriting || isStopped) return;
    isWriting = true;
    let result: Awaited<ReturnType<typeof writeOnce>> = 'stored';
    while (result === 'stored' && !isStopped) {
      // Under load there is always something to write, and new workers wait for their record.
      await recordWorkers();
      const waiting = waiters.splice(0);
      result = await writeOnce();
      const isStored = result !== 'failed';
      waiting.forEach((resolve) => resolve(isStored));
    }
    isWriting = false;
    if (waiters.length > 0) setImmediate(() => void writeDirty());
  };
  const waitStored = (patienceMs: number) =>
    new Promise<boolean>((resolve) => {
      if (isStopped) {
        resolve(false);
        return;
      }
      waiters.push(resolve);
      setTimeout(() => resolve(false), patienceMs).unref();
      void writeDirty();
    });
  return {
    setMeta: (next) => {
      meta = next;
    },
    writeDirty,
    waitStored,
    isStoreAway: () =>
      writingSinceMs !== undefined && performance.now() - writingSinceMs > STORE_AWAY_MS,
    stop: () => {
      isStopped = true;
      waiters.splice(0).forEach((resolve) => resolve(false));
    },
  };
}
