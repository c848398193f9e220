/** Request for a worker for one task, with what the choice needs to know of other tasks. */
import type { Resources } from '../ports/workers.js';
import { isSuspect } from './crashes/crash-evidence.js';
import { computeFootprint } from './free-capacity.js';
import type { PoolContext } from './pool-context.js';
import type { StepSpec } from './spec.js';
import type { StepRun, Task, Worker } from './state.js';
import type { PlacementEffect } from '../interference/pool-interference.js';

/** Request for a worker for one task. */
export interface PlacementRequest {
  readonly task: Task;
  readonly step: StepSpec;
  readonly stepRun: StepRun;
  /** Capacity that the task reserves on its worker. */
  readonly footprint: Resources;
  /** Rack of the step's other tasks if they should share one; undefined otherwise. */
  readonly rack: string | undefined;
  /** For a lasting task, the number of its step's tasks by rack; others need none. */
  readonly siblingsByRack: ReadonlyMap<string, number>;
  /** For a suspect of a crash, the number of other suspects by worker; others need none. */
  readonly suspectsByWorker: ReadonlyMap<string, number>;
  /** Estimates what the task would do to, or suffer from, the others on a worker. */
  readonly estimateEffect: (worker: Worker) => PlacementEffect;
  /** Monotonic time in milliseconds. */
  readonly nowMs: number;
}

const NO_COUNTS: ReadonlyMap<string, number> = new Map();
const NO_EFFECT: PlacementEffect = { cost: 0, worst: undefined };

/** Finds the rack on which tasks of the step already run. */
function findSharedRack({ table }: PoolContext, stepRun: StepRun): string | undefined {
  const [first] = stepRun.assigned.values();
  return first === undefined ? undefined : table.workers.get(first)?.entry.rack;
}

/** Counts names, without those that are undefined. */
function countNames(names: Iterable<string | undefined>): ReadonlyMap<string, number> {
  const counts = new Map<string, number>();
  for (const name of names) {
    if (name !== undefined) counts.set(name, (counts.get(name) ?? 0) + 1);
  }
  return counts;
}

/** Counts the assigned tasks of a step by rack. */
function countByRack({ table }: PoolContext, stepRun: StepRun): ReadonlyMap<string, number> {
  const racks = [...stepRun.assigned.values()].map((id) => table.workers.get(id)?.entry.rack);
  return countNames(racks);
}

/** Counts the assigned suspects of crashes by worker. */
function countSuspects({ table }: PoolContext): ReadonlyMap<string, number> {
  const suspects = [...table.crashedTaskKeys]
    .flatMap((key) => table.findTask(key) ?? [])
    .filter(isSuspect);
  return countNames(
    suspects.map(({ state }) => (state.kind === 'assigned' ? state.workerId : undefined)),
  );
}

/** Makes the request for a task of the tables at the monotonic time `nowMs`. */
export function makeRequest(context: PoolContext, task: Task, nowMs: number): PlacementRequest {
  const step = context.table.findStep(task);
  const stepRun = context.table.findStepRun(task);
  return {
    task,
    step,
    stepRun,
    footprint: computeFootprint(step),
    rack: step.isSameRack ? findSharedRack(context, stepRun) : undefined,
    siblingsByRack: step.isLasting ? countByRack(context, stepRun) : NO_COUNTS,
    suspectsByWorker: isSuspect(task) ? countSuspects(context) : NO_COUNTS,
    estimateEffect: (worker) =>
      context.interference?.estimateEffect(worker, step, nowMs) ?? NO_EFFECT,
    nowMs,
  };
}
