/**
 * The faults of the placement measurement: black holes (workers that fail every task), pauses of
 * workers and of entries, the loss of a rack, mass cancellations and a store outage of one hour.
 */
import type { WorkerCore } from '@vanilladock/stand-ins/lib/worker-model.js';
import type { Random } from 'vanilladock';
import type { PoolView } from 'vanilladock/lib/placement/plan-input.js';
import type { Scheduler } from './scheduler.js';
import { MINUTE_MS, TIMELINE } from './timeline.js';
import { pickItem } from './workload.js';
import type { WorkTask } from './workload.js';

const BLACK_HOLES = 20;
const PAUSED_WORKERS = 30;
const PAUSED_ENTRIES = 4;
const CANCELLED_SHARE = 0.3;

/** What the faults act on. */
interface FaultTargets {
  readonly pools: readonly PoolView[];
  /** Workers by their id. */
  readonly workers: ReadonlyMap<string, WorkerCore>;
  /** Tasks that have been submitted so far, by their id. */
  readonly tasks: ReadonlyMap<string, WorkTask>;
  readonly scheduler: Scheduler;
  /** Runs something at a time of the simulation's clock, in milliseconds. */
  readonly schedule: (atMs: number, run: () => void) => void;
  readonly getNowMs: () => number;
}

/** What the faults have done so far; they change it. */
interface FaultEffects {
  /** Time in milliseconds since when each black hole fails every task, by worker id. */
  readonly failingSince: Map<string, number>;
  /** Ids of workers that are lost with their rack. */
  readonly stoppedWorkers: Set<string>;
  /** Ids of cancelled tasks. */
  readonly cancelled: Set<string>;
}

/** Schedules all faults of a run; the same random numbers give the same faults. */
export function scheduleFaults(
  { pools, workers, tasks, scheduler, schedule, getNowMs }: FaultTargets,
  { failingSince, stoppedWorkers, cancelled }: FaultEffects,
  random: Random,
): void {
  const ids = [...workers.keys()];
  Array.from({ length: BLACK_HOLES }).forEach(() => {
    const workerId = pickItem(random, ids);
    schedule(MINUTE_MS * (0.75 + 2.5 * random()), () => {
      if (failingSince.has(workerId)) return;
      failingSince.set(workerId, getNowMs());
      workers.get(workerId)?.setBehaviour({ isFailing: true, isPaused: false }, getNowMs());
    });
  });
  Array.from({ length: PAUSED_WORKERS }).forEach(() => {
    const workerId = pickItem(random, ids);
    const atMs = MINUTE_MS * (0.75 + 3.5 * random());
    const isFailing = (): boolean => failingSince.has(workerId);
    schedule(atMs, () => {
      workers.get(workerId)?.setBehaviour({ isFailing: isFailing(), isPaused: true }, getNowMs());
    });
    schedule(atMs + MINUTE_MS * (0.2 + 1.3 * random()), () => {
      workers.get(workerId)?.setBehaviour({ isFailing: isFailing(), isPaused: false }, getNowMs());
    });
  });
  Array.from({ length: PAUSED_ENTRIES }).forEach((_, index) => {
    const atMs = MINUTE_MS * (0.8 + 0.8 * index);
    schedule(atMs, () => {
      scheduler.pauseEntry(index, getNowMs(), getNowMs() + MINUTE_MS);
    });
  });
  const rack = pools
    .flatMap(({ workers: poolWorkers }) => poolWorkers)
    .filter(({ location }) => location.rack === 'rack-17');
  schedule(MINUTE_MS * TIMELINE.rackLoss, () => {
    rack.forEach(({ id }) => {
      workers.get(id)?.stop(getNowMs());
      stoppedWorkers.add(id);
    });
  });
  schedule(MINUTE_MS * TIMELINE.recovery, () =>
    rack.forEach(({ id }) => stoppedWorkers.delete(id)),
  );
  schedule(MINUTE_MS * TIMELINE.cancellations, () => {
    tasks.forEach((_task, taskId) => {
      if (random() >= CANCELLED_SHARE) return;
      cancelled.add(taskId);
      scheduler.cancelTask(taskId, getNowMs());
    });
  });
  schedule(MINUTE_MS * TIMELINE.outage, () => scheduler.setStoreAvailable(false, getNowMs()));
  schedule(MINUTE_MS * TIMELINE.recovery, () => scheduler.setStoreAvailable(true, getNowMs()));
}
