/** Keeps one renewal loop for each worker that a pool's planner has, and logs their starts and ends. */
import type { PoolPlanner } from 'vanilladock/lib/jobs/pool-planner.js';
import type { JsonLog } from '../json-log.js';
import { startWorkerLoop, type WorkerLoop, type WorkerLoopOptions } from './worker-loop.js';

/** Pool of the workers, and what each of their loops needs. */
export interface WorkerLoopsOptions extends Omit<WorkerLoopOptions, 'workerId' | 'planner'> {
  readonly pool: string;
  readonly log: JsonLog;
}

/** Renewal loops of a pool's workers. */
export interface WorkerLoops {
  /** Starts the loops of workers that have none, and forgets those of workers that are gone. */
  readonly update: (planner: PoolPlanner) => void;
  /** As `wake` of the worker's loop; no effect if it has none. */
  readonly wake: (workerId: string) => void;
  readonly wakeAll: () => void;
  /** Ends all loops. */
  readonly stop: () => void;
}

/** Creates the loops of a pool; there are none before the first update. */
export function createWorkerLoops(options: WorkerLoopsOptions): WorkerLoops {
  const { pool, log, fencingToken } = options;
  const loops = new Map<string, WorkerLoop>();

  const startLoop = (planner: PoolPlanner, workerId: string) => {
    const bornMs = planner.table.workers.get(workerId)?.entry.bornMs;
    const fields = { pool, worker: workerId, token: fencingToken };
    log.info({ event: 'worker-loop-started', ...fields, bornMs });
    const loop = startWorkerLoop({ ...options, workerId, planner });
    void loop.ended.then((why) => log.info({ event: 'worker-loop-ended', ...fields, why }));
    loops.set(workerId, loop);
  };
  return {
    update: (planner) => {
      const { workers } = planner.table;
      [...loops.keys()].filter((id) => !workers.has(id)).forEach((id) => loops.delete(id));
      [...workers.keys()].filter((id) => !loops.has(id)).forEach((id) => startLoop(planner, id));
    },
    wake: (workerId) => loops.get(workerId)?.wake(),
    wakeAll: () => loops.forEach((loop) => loop.wake()),
    stop: () => loops.forEach((loop) => loop.stop()),
  };
}
