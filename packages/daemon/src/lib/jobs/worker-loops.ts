/**
 * Keeps one renewal loop for each worker incarnation that a pool's planner has, stops every other
 * one, and logs their starts and ends.
 */
import type { PoolPlanner } from 'vanilladock/lib/jobs/pool-planner.js';
import type { JsonLog } from '../json-log.js';
import {
  startWorkerLoop,
  type WorkerLoop,
  type WorkerLoopEnd,
  type WorkerLoopOptions,
} from './worker-loop.js';

/** Pool of the workers, and what each of their loops needs. */
export interface WorkerLoopsOptions extends Omit<
  WorkerLoopOptions,
  'workerId' | 'bornMs' | 'planner'
> {
  readonly pool: string;
  readonly log: JsonLog;
  /** Called when a loop has ended by an error; it is not started again. */
  readonly handleFailed: (error: unknown) => void;
}

/** Renewal loops of a pool's workers. */
export interface WorkerLoops {
  /**
   * Starts the loops of incarnations that have none, and stops those of incarnations that are gone.
   */
  readonly update: (planner: PoolPlanner) => void;
  /** As `wake` of the worker's loop; no effect if it has none. */
  readonly wake: (workerId: string) => void;
  readonly wakeAll: () => void;
  /** Ends all loops; later updates have no effect. */
  readonly stop: () => void;
}

/** The loop of an incarnation. */
interface OwnedLoop {
  readonly bornMs: number;
  readonly loop: WorkerLoop;
}

/** Creates the loops of a pool; there are none before the first update. */
export function createWorkerLoops(options: WorkerLoopsOptions): WorkerLoops {
  const { pool, log, fencingToken } = options;
  const loops = new Map<string, OwnedLoop>();
  let isStopped = false;

  const stopLoop = (workerId: string) => {
    loops.get(workerId)?.loop.stop();
    loops.delete(workerId);
  };
  const startLoop = (planner: PoolPlanner, workerId: string, bornMs: number) => {
    const fields = { pool, worker: workerId, token: fencingToken };
    log.info({ event: 'worker-loop-started', ...fields, bornMs });
    const loop = startWorkerLoop({ ...options, workerId, bornMs, planner });
    loops.set(workerId, { bornMs, loop });
    const handleEnd = (why: WorkerLoopEnd) => {
      log.info({ event: 'worker-loop-ended', ...fields, why });
      if (loops.get(workerId)?.loop === loop) loops.delete(workerId);
      update(planner);
    };
    loop.ended.then(handleEnd).catch(options.handleFailed);
  };
  const update = (planner: PoolPlanner) => {
    if (isStopped) return;
    const { workers } = planner.table;
    [...loops]
      .filter(([id, { bornMs }]) => workers.get(id)?.entry.bornMs !== bornMs)
      .forEach(([id]) => stopLoop(id));
    [...workers.values()]
      .filter(({ entry }) => !loops.has(entry.id))
      .forEach(({ entry }) => startLoop(planner, entry.id, entry.bornMs));
  };
  return {
    update,
    wake: (workerId) => loops.get(workerId)?.loop.wake(),
    wakeAll: () => loops.forEach(({ loop }) => loop.wake()),
    stop: () => {
      isStopped = true;
      [...loops.keys()].forEach(stopLoop);
    },
  };
}
