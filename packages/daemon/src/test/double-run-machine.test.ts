/**
 * State-machine test of a pool's planner: two workers crash and start again under their ids, are
 * cut off and get late notices of ends, while planners take over from each other on one instance.
 * No task may run twice at once, and a worker that responds must be used again.
 */
import { install, type Clock } from '@sinonjs/fake-timers';
import fc from 'fast-check';
import * as assert from 'uvu/assert';
import { suite } from 'uvu';
import { BehaviorSubject } from 'rxjs';
import type { OrderOutcome, TaskWorkers, WorkerEntry } from 'vanilladock/lib/ports/task-workers.js';
import { startPoolRunner } from '../lib/jobs/pool-runner.js';
import { ENTRY, makeStoppedQuery, POLICY, POOL, SILENT_LOG, SPEC, STEP } from './job-fixtures.js';
import { createMemoryStore, NEVER, waitFor } from './memory-store.js';
import { createIncarnation, type Incarnation } from './simulated-worker.js';

const SEED = 20_261_204;
const CASES = 120;
const SECOND_MS = 1_000;
const WORKER_IDS = ['w1', 'w2'] as const;
const BATCH_MS = 700;
const LONG_BATCH_MS = 6_000;

/** Time after which a call counts as unanswered, beside the time that a poll may take. */
const TIMEOUT_MS = 400;

/** Time without faults after which every worker has to be in use. */
const RECOVERY_MS = 15 * SECOND_MS;

const LENIENT_POLICY = { ...POLICY, maxAttempts: 100, stretch: 100, targetLatencyMs: 100_000 };

type Fault =
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

interface Step {
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
  let random = seed;
  let bornCount = 0;
  let jobCount = 0;
  let token = 0;
  let isInForce = true;

  const pickMs = (maxMs: number) => {
    random = (random * 48_271) % 2_147_483_647;
    return 1 + (random % maxMs);
  };
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
  /** Sends an order to whichever incarnation is up when it arrives. */
  const sendCall = async <T extends { readonly kind: string }>(
    id: string,
    timeoutMs: number,
    execute: (incarnation: Incarnation) => T | Promise<T>,
  ): Promise<T | { readonly kind: 'unknown' }> => {
    const unanswered = waitFor(timeoutMs).then(() => ({ kind: 'unknown' }) as const);
    const answerCall = async () => {
      const place = findPlace(id);
      await waitFor(pickMs(30));
      if (place.lost === 'orders' || place.incarnation === undefined) return NEVER;
      const { incarnation } = place;
      const outcome = await execute(incarnation);
      await waitFor(pickMs(30));
      const isLost = place.lost !== 'none' || place.incarnation !== incarnation;
      return isLost ? NEVER : outcome;
    };
    return Promise.race([answerCall(), unanswered]);
  };
  const workers: TaskWorkers = {
    startTask: ({ id }, order) => sendCall<OrderOutcome>(id, TIMEOUT_MS, (w) => w.start(order)),
    stopTask: ({ id }, order) => sendCall<OrderOutcome>(id, TIMEOUT_MS, (w) => w.stop(order)),
    renew: ({ id }, order) => sendCall(id, TIMEOUT_MS + order.waitMs, (w) => w.renew(order)),
    pace: () => Promise.resolve({ kind: 'accepted', clockMs: 0 }),
  };
  const startRunner = () => {
    token += 1;
    return startPoolRunner({
      store,
      storePartitions: 8,
      workers,
      advisor: { advise: () => NEVER },
      entries,
      statusMs: 60 * SECOND_MS,
      log: SILENT_LOG,
      pool: POOL,
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

const worker = fc.constantFrom<0 | 1>(0, 1);
const briefMs = fc.integer({ min: 1, max: 2_500 });
const restarts = fc.record({ kind: fc.constant('restart' as const), worker, afterMs: briefMs });
const cuts = fc.record({
  kind: fc.constant('cut' as const),
  worker,
  lost: fc.constantFrom('orders' as const, 'answers' as const),
  afterMs: fc.integer({ min: 200, max: 6_000 }),
});
const takeOvers = fc.record({
  kind: fc.constant('take-over' as const),
  afterMs: fc.integer({ min: 1, max: 300 }),
  lapseMs: fc.integer({ min: 0, max: 1_500 }),
});
const otherFaults: readonly fc.Arbitrary<Fault>[] = [
  fc.record({ kind: fc.constant('notice' as const), worker, afterMs: briefMs }),
  fc.record({ kind: fc.constant('unlist' as const), worker, afterMs: briefMs }),
  fc.record({ kind: fc.constant('lapse' as const), afterMs: briefMs }),
  fc.constant({ kind: 'submit' } as const),
  fc.constant({ kind: 'none' } as const),
];
const makeSteps = (...faults: readonly fc.Arbitrary<Fault>[]): fc.Arbitrary<readonly Step[]> => {
  const fault = fc.oneof(...faults, ...otherFaults);
  const waitMs = fc.integer({ min: 1, max: 1_200 });
  return fc.array(fc.record({ fault, waitMs }), { minLength: 4, maxLength: 14 });
};
const steps = fc.oneof(
  makeSteps(restarts, cuts),
  makeSteps(restarts, takeOvers),
  makeSteps(cuts, takeOvers),
  makeSteps(restarts, cuts, takeOvers),
);

/** Runs a case and returns what was violated. */
const runCase = async (seed: number, list: readonly Step[]): Promise<readonly string[]> => {
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

const test = suite('double run machine');

test('no task runs twice at once, and a worker that responds is used again', async () => {
  const property = fc.asyncProperty(fc.integer({ min: 1, max: 1e6 }), steps, async (seed, list) =>
    assert.equal(await runCase(seed, list), []),
  );
  await fc.assert(property, { numRuns: CASES, seed: SEED, endOnFailure: true });
});

// Guards against a task that runs twice: a worker that has started again takes a start for its own,
// holds it for 10 s by its old clock and answers nothing, while planners take over from each other.
test('a task of a worker that restarted and is cut off runs nowhere else after a take-over', async () => {
  const takeOver: Step = { fault: { kind: 'take-over', afterMs: 20, lapseMs: 0 }, waitMs: 6_000 };
  for (const number of [0, 1] as const) {
    for (const beforeCutMs of [60, 90, 200, 500]) {
      const list: readonly Step[] = [
        { fault: { kind: 'none' }, waitMs: 8 * SECOND_MS },
        { fault: { kind: 'restart', worker: number, afterMs: 5 }, waitMs: 10 },
        { fault: { kind: 'submit-long' }, waitMs: beforeCutMs },
        { fault: { kind: 'cut', worker: number, lost: 'orders', afterMs: 7_000 }, waitMs: 1 },
        takeOver,
      ];
      for (const seed of [1, 2, 3]) {
        const what = `${WORKER_IDS[number]}, seed ${seed}, cut after ${beforeCutMs} ms`;
        assert.equal(await runCase(seed, list), [], what);
      }
    }
  }
});

test.run();
