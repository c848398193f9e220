/**
 * Simulation of a pool's planners for the state machine of double runs: two workers crash and start
 * again under their ids, are cut off and get late notices of ends, while planners take over from each
 * other on one instance. It records tasks that run twice and workers that are not used again.
 */
import { install, type Clock } from '@sinonjs/fake-timers';
import { BehaviorSubject } from 'rxjs';
import type { WorkerEntry } from 'vanilladock/lib/ports/task-workers.js';
import { startPoolRunner } from '../lib/jobs/pool-runner.js';
import { ENTRY, makeStoppedQuery, POLICY, POOL, RUNNER_BASE, SPEC, STEP } from './job-fixtures.js';
import { createMemoryStore, NEVER, waitFor } from './memory-store.js';
import { createSeededPick } from './seeded-pick.js';
import { makeTaskWorkers } from './simulated-orders.js';
import { createIncarnation, type Incarnation } from './simulated-worker.js';

export const SECOND_MS = 1_000;
export const WORKER_IDS = ['w1', 'w2'] as const;
const BATCH_MS = 700;
const LONG_BATCH_MS = 6_000;

/** Time without faults after which every worker has to be in use. */
const RECOVERY_MS = 15 * SECOND_MS;

const LENIENT_POLICY = { ...POLICY, maxAttempts: 100, stretch: 100, targetLatencyMs: 100_000 };

export type Fault =
  | { readonly kind: 'restart'; readonly worker: 0 | 1; readonly afterMs: number }
  | { readonly kind: 'notice'; readonly worker: 0 | 1; readonly afterMs: number }
  | {
      readonly kind: 'cut';
      readonly worker: 0 | 1;
      readonly lost: 'orders' | 'answers';
      readonly afterMs: number;
    }
  | { readonly kind: 'unlist'; readonly worker: 0 | 1; readonly afterMs: number }
  | { readonly kind: 'lapse'; readonly afterMs: number }
  | { readonly kind: 'take-over'; readonly afterMs: number; readonly lapseMs: number }
  | { readonly kind: 'submit' }
  | { readonly kind: 'submit-long' }
  | { readonly kind: 'none' };

export interface Step {
  readonly fault: Fault;
  readonly waitMs: number;
}

/** A worker id with its present incarnation, and how the network treats it. */
interface Place {
  readonly id: string;
  incarnation: Incarnation | undefined;
  lost: 'none' | 'orders' | 'answers';
}

/** Gets how long a task runs, by the first letter of its job's id. */
const getDurationMs = (taskKey: string) => {
  if (taskKey.startsWith('l')) return Infinity;
  return taskKey.startsWith('d') ? LONG_BATCH_MS : BATCH_MS;
};

/** Creates the simulation; time passes only when the clock ticks. */
const createSimulation = (seed: number) => {
  const { store } = createMemoryStore();
  const entries = new BehaviorSubject<ReadonlyMap<string, WorkerEntry>>(new Map());
  const violations: string[] = [];
  const completed = new Set<string>();
  const startsByWorker = new Map<string, string[]>();
  let bornCount = 0;
  let jobCount = 0;
  let token = 0;
  let isInForce = true;

  const pickMs = createSeededPick(seed);
  const places: readonly Place[] = WORKER_IDS.map((id) => {
    return { id, incarnation: undefined, lost: 'none' };
  });
  const findPlace = (id: string) => places.find((place) => place.id === id)!;
  const setEntry = (id: string, bornMs: number | undefined) => {
    const updated = new Map(entries.value);
    if (bornMs === undefined) updated.delete(id);
    else updated.set(id, { ...ENTRY, id, bornMs, address: id, instance: id });
    entries.next(updated);
  };
  const openIncarnation = (place: Place) => {
    bornCount += 1;
    const incarnation = createIncarnation(bornCount, getDurationMs, {
      handleStart: (taskKey, run) => {
        const other = places.find((item) => item.incarnation?.hasRun(taskKey));
        if (other !== undefined) {
          violations.push(`${taskKey} run ${run} on ${place.id} while it runs on ${other.id}`);
        }
        if (completed.has(taskKey)) violations.push(`${taskKey} run ${run} after its end`);
        startsByWorker.set(place.id, [...(startsByWorker.get(place.id) ?? []), taskKey]);
      },
      handleAcknowledged: ({ taskKey, how }) => {
        if (how === 'done') completed.add(taskKey);
      },
    });
    Object.assign(place, { incarnation });
    setTimeout(() => {
      if (place.incarnation === incarnation) setEntry(place.id, incarnation.bornMs);
    }, pickMs(900));
  };
  const restart = async (place: Place, afterMs: number) => {
    const { incarnation } = place;
    Object.assign(place, { incarnation: undefined });
    await waitFor(afterMs);
    if (place.incarnation === undefined) openIncarnation(place);
    setTimeout(() => {
      const isStale = entries.value.get(place.id)?.bornMs === incarnation?.bornMs;
      if (isStale) setEntry(place.id, undefined);
    }, 2 * SECOND_MS);
  };
  /** Has an order executed by whichever incarnation is up when it arrives. */
  const workers = makeTaskWorkers(async (id, execute) => {
    const place = findPlace(id);
    await waitFor(pickMs(30));
    if (place.lost === 'orders' || place.incarnation === undefined) return NEVER;
    const { incarnation } = place;
    const outcome = await execute(incarnation);
    await waitFor(pickMs(30));
    const isLost = place.lost !== 'none' || place.incarnation !== incarnation;
    return isLost ? NEVER : outcome;
  });
  const startRunner = () => {
    token += 1;
    return startPoolRunner({
      ...RUNNER_BASE,
      store,
      workers,
      entries,
      claim: { duty: `pool/${POOL}`, holder: 'a', token },
      isInForce: () => isInForce,
      queryPredecessor: makeStoppedQuery(token - 1),
      handleLost: (why) => violations.push(`pool lost: ${why}`),
    });
  };
  places.forEach(openIncarnation);
  let runner = startRunner();

  const submit = (id: string, step: typeof STEP) =>
    runner.answer({
      kind: 'submit',
      pool: POOL,
      spec: { ...SPEC, id, steps: [step] },
      policy: LENIENT_POLICY,
    });
  const submitBatch = () => {
    jobCount += 1;
    return submit(`b${jobCount}`, { ...STEP, count: 3, estimateMs: BATCH_MS });
  };
  /** Submits a job that takes both workers for longer than the leases of orders. */
  const submitLong = () => {
    jobCount += 1;
    return submit(`d${jobCount}`, { ...STEP, count: 4, estimateMs: LONG_BATCH_MS });
  };
  const applyFault = async (fault: Fault) => {
    switch (fault.kind) {
      case 'restart':
        return restart(places[fault.worker]!, fault.afterMs);
      case 'notice': {
        const workerId = WORKER_IDS[fault.worker];
        await waitFor(fault.afterMs);
        return runner.answer({ kind: 'life-ended', pool: POOL, workerId });
      }
      case 'cut': {
        const place = places[fault.worker]!;
        place.lost = fault.lost;
        await waitFor(fault.afterMs);
        place.lost = 'none';
        return undefined;
      }
      case 'unlist': {
        const { id } = places[fault.worker]!;
        setEntry(id, undefined);
        await waitFor(fault.afterMs);
        return setEntry(id, findPlace(id).incarnation?.bornMs);
      }
      case 'lapse':
        isInForce = false;
        await waitFor(fault.afterMs);
        isInForce = true;
        return undefined;
      case 'take-over':
        runner.stop();
        await waitFor(fault.afterMs);
        runner.stop();
        isInForce = false;
        runner = startRunner();
        await waitFor(fault.lapseMs);
        isInForce = true;
        return undefined;
      case 'submit':
        return submitBatch();
      case 'submit-long':
        return submitLong();
      case 'none':
        return undefined;
      default:
        return fault satisfies never;
    }
  };
  return {
    violations,
    applyFault,
    submitLasting: () => submit('l1', { ...STEP, count: 2, isLasting: true }),
    /** Submits one task for each worker; resolves to the workers that started one. */
    probe: async (clock: Clock) => {
      void submit('probe', { ...STEP, count: 2, maxPerWorker: 1, estimateMs: BATCH_MS });
      await clock.tickAsync(3 * SECOND_MS);
      return WORKER_IDS.filter((id) =>
        startsByWorker.get(id)?.some((taskKey) => taskKey.startsWith('probe')),
      );
    },
    stop: () => runner.stop(),
  };
};

/** Runs a case and returns what was violated. */
export const runCase = async (seed: number, list: readonly Step[]): Promise<readonly string[]> => {
  const clock = install({ now: 0 });
  try {
    const simulation = createSimulation(seed);
    await clock.tickAsync(2 * SECOND_MS);
    void simulation.submitLasting();
    for (const { fault, waitMs } of list) {
      void simulation.applyFault(fault);
      await clock.tickAsync(waitMs);
    }
    await clock.tickAsync(RECOVERY_MS);
    const used = await simulation.probe(clock);
    simulation.stop();
    const unused = WORKER_IDS.filter((id) => !used.includes(id));
    return [...simulation.violations, ...unused.map((id) => `${id} is not used`)];
  } finally {
    clock.uninstall();
  }
};
