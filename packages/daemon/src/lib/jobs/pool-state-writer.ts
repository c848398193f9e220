/** Writes the state of a pool's planner to the store; each write has everything that is due. */
import type { LeaseHolder } from 'vanilladock/lib/jobs/lease-holder.js';
import {
  addFloor,
  getFloor,
  NO_FLOORS,
  type VersionFloors,
} from 'vanilladock/lib/queues/version-floors.js';
import type { PoolPlanner } from 'vanilladock/lib/jobs/pool-planner.js';
import type { PoolStore } from './pool-store.js';
import type { PoolMeta } from './stored-pool.js';

/** Dependencies of a state writer. */
export interface PoolStateWriterOptions {
  readonly store: PoolStore;
  /** Returns the planner; undefined until it is loaded, and nothing is written till then. */
  readonly getPlanner: () => PoolPlanner | undefined;
  /** Called when a stored write may allow further planning. */
  readonly schedulePlan: () => void;
  /** Called when another planner has taken over the pool. */
  readonly handleLost: () => void;
  /** Called when the planner's state cannot be written because of an error in it. */
  readonly handleFailed: (error: unknown) => void;
}

/** State writer of one pool under one claim. */
export interface PoolStateWriter {
  /** Sets the metadata that the caller has loaded and stores itself; later writes update it. */
  readonly setMeta: (meta: PoolMeta) => void;
  /**
   * Writes until nothing is due or a write fails; resolves at once if a call is running. Never
   * rejects.
   */
  readonly writeDirty: () => Promise<void>;
  /**
   * Writes what is due; resolves to whether everything that was unstored at the call is stored.
   * Resolves to false when the timeout passes, the write fails or the writer stops.
   */
  readonly waitStored: (timeoutMs: number) => Promise<boolean>;
  /** Gets the lowest version under which submissions to a queue are taken. */
  readonly getFloor: (queue: string) => number;
  /**
   * Sets that version for queues that have a lower one, at once, and resolves to whether it is
   * stored; false when the timeout passes or the writer stops.
   */
  readonly recordFloors: (
    queues: readonly string[],
    version: number,
    timeoutMs: number,
  ) => Promise<boolean>;
  /** Says whether the write in progress has had no response of the store for too long. */
  readonly isStoreUnavailable: () => boolean;
  /** Stops after the write in progress; pending calls of `waitStored` resolve to false. */
  readonly stop: () => void;
}

/** A store that has not answered a write for this long counts as unavailable. */
const STORE_UNAVAILABLE_AFTER_MS = 600;

/** What is left of the wait for orders of earlier planners is stored this often, in milliseconds. */
const EARLIER_ORDERS_INTERVAL_MS = 500;

/** Creates the state writer of a pool. */
export function createPoolStateWriter(options: PoolStateWriterOptions): PoolStateWriter {
  const { store, getPlanner, schedulePlan, handleLost } = options;
  const waiters: ((isStored: boolean) => void)[] = [];
  let meta: PoolMeta = { generation: 0, workers: [] };
  /** Its possible lease holders, by id. */
  let holders: ReadonlyMap<string, LeaseHolder> = new Map();
  let holderIds: readonly string[] = [];
  let floors: VersionFloors = NO_FLOORS;
  /** When the metadata were stored last. */
  let storedMs = 0;
  let isWriting = false;
  let writingSinceMs: number | undefined;
  let isStopped = false;

  const setMeta = (stored: PoolMeta) => {
    meta = stored;
    storedMs = performance.now();
    holders = new Map(stored.workers.map((holder) => [holder.id, holder]));
    holderIds = [...holders.keys()];
  };
  const recordMeta = async () => {
    const planner = getPlanner();
    if (planner === undefined) return;
    const nowMs = performance.now();
    const earlierMs = planner.computeEarlierOrdersMs(nowMs);
    const isSettled = earlierMs === 0;
    planner.markWorkersRecorded(holderIds);
    const hasSameFloors = floors === (meta.floors ?? NO_FLOORS);
    const hasSameHolders = planner.hasStoredHolders(holders, nowMs);
    const isTold = isSettled || nowMs - storedMs < EARLIER_ORDERS_INTERVAL_MS;
    const isSame = hasSameHolders && hasSameFloors && isSettled === meta.isSettled && isTold;
    const teamCeilings = planner.planTeamCeilings(nowMs, !isSame);
    if (isSame && teamCeilings === undefined) return;
    const workers = planner.listLeaseHolders(nowMs);
    const stated = floors === NO_FLOORS ? {} : { floors };
    const earlierOrdersMs = isSettled ? undefined : earlierMs;
    const updated = { ...meta, workers, isSettled, earlierOrdersMs, teamCeilings, ...stated };
    const outcome = await store.write([store.encodeMeta(updated)]);
    // A lost one may have been stored.
    if (outcome !== 'lost') planner.observeCeilingsWrite(outcome === 'stored');
    if (outcome !== 'stored') return;
    setMeta(updated);
    planner.markWorkersRecorded(holderIds);
    schedulePlan();
  };
  const writeOnce = async (): Promise<'stored' | 'stored-partly' | 'idle' | 'failed'> => {
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
        return batch.isPartial ? 'stored-partly' : 'stored';
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
  const writeAll = async () => {
    let result: Awaited<ReturnType<typeof writeOnce>> = 'stored';
    while ((result === 'stored' || result === 'stored-partly') && !isStopped) {
      // Before every batch: under load there is always another one, and new workers wait for their
      // record.
      await recordMeta();
      const waiting = waiters.splice(0);
      result = await writeOnce();
      const isStored = result !== 'failed';
      if (result === 'stored-partly') waiters.unshift(...waiting);
      else waiting.forEach((resolve) => resolve(isStored));
    }
  };
  const writeDirty = async () => {
    if (isWriting || isStopped) return;
    isWriting = true;
    try {
      await writeAll();
    } catch (error) {
      options.handleFailed(error);
    }
    isWriting = false;
    if (waiters.length > 0) setImmediate(() => void writeDirty());
  };
  const waitStored = (timeoutMs: number) =>
    new Promise<boolean>((resolve) => {
      if (isStopped) {
        resolve(false);
        return;
      }
      waiters.push(resolve);
      setTimeout(() => resolve(false), timeoutMs).unref();
      void writeDirty();
    });
  return {
    setMeta: (loaded) => {
      setMeta(loaded);
      floors = loaded.floors ?? NO_FLOORS;
    },
    writeDirty,
    waitStored,
    getFloor: (queue) => getFloor(floors, queue),
    recordFloors: async (queues, version, timeoutMs) => {
      floors = queues.reduce((before, queue) => addFloor(before, queue, version), floors);
      const hasRecorded = () => {
        const recorded = meta.floors ?? NO_FLOORS;
        return queues.every((queue) => getFloor(recorded, queue) >= version);
      };
      if (hasRecorded()) return true;
      // A write in progress may have begun with the floors of before.
      if ((await waitStored(timeoutMs)) && !hasRecorded()) await waitStored(timeoutMs);
      return hasRecorded();
    },
    isStoreUnavailable: () =>
      writingSinceMs !== undefined &&
      performance.now() - writingSinceMs > STORE_UNAVAILABLE_AFTER_MS,
    stop: () => {
      isStopped = true;
      waiters.splice(0).forEach((resolve) => resolve(false));
    },
  };
}
