/**
 * State-machine test of queues that configurations send from pool to pool: instances learn of each
 * version at different times, callers repeat their submissions at any of them, and planners take over
 * from each other. A job lives in one pool, and no instance that knows the newest version says that
 * it does not exist.
 */
import { install, type Clock } from '@sinonjs/fake-timers';
import fc from 'fast-check';
import * as assert from 'uvu/assert';
import { suite } from 'uvu';
import { BehaviorSubject } from 'rxjs';
import type { FleetConfig } from 'vanilladock/lib/ports/fleet.js';
import type { TaskWorkers, WorkerEntry } from 'vanilladock/lib/ports/task-workers.js';
import type { JobReply, JobRequest } from '../lib/jobs/job-request.js';
import { startPoolRunner, type PoolRunner } from '../lib/jobs/pool-runner.js';
import { startQueueDirectory } from '../lib/jobs/queue-directory.js';
import { createQueueGateway } from '../lib/jobs/queue-gateway.js';
import { POLICY, RUNNER_BASE, SILENT_LOG, SPEC } from './job-fixtures.js';
import { NEVER, waitFor } from './memory-store.js';
import { createPartitionedStore } from './partitioned-store.js';

const SEED = 20_261_205;
const CASES = 150;
const SECOND_MS = 1_000;
const POOLS = ['stalls', 'kilns', 'ovens'] as const;
const INSTANCES = 3;
const QUEUE = 'pule25.example/tray/';
const JOB_IDS = ['a', 'b', 'c'] as const;

/** Time after which every instance has each version, and every record of it. */
const SETTLE_MS = 8 * SECOND_MS;

type PoolName = (typeof POOLS)[number];

type Step =
  /** Publishes a version that sends the queue to a pool, or nowhere. */
  | {
      readonly kind: 'publish';
      readonly pool: PoolName | undefined;
      /** How long each instance takes to learn of it. */
      readonly delaysMs: readonly number[];
    }
  | { readonly kind: 'submit'; readonly id: string; readonly instance: number }
  | { readonly kind: 'take-over'; readonly pool: PoolName; readonly downMs: number }
  | { readonly kind: 'restart'; readonly instance: number }
  | { readonly kind: 'clean' };

const makeConfig = (version: number, pool: string | undefined): FleetConfig => ({
  version,
  routes:
    pool === undefined
      ? []
      : [
          {
            name: `r-${version}`,
            host: 'pule25.example',
            pathPrefix: '/tray/',
            pool,
            timeoutMs: 3_000,
            policy: POLICY,
          },
        ],
  pools: POOLS.map((name) => ({ name, isStandby: false })),
  limits: { maxHeaderBytes: 1, maxBodyBytes: 1, headerTimeoutMs: 1, idleTimeoutMs: 1 },
});

/** Creates instances, pools and their store; time passes only when the clock ticks. */
const createSimulation = (seed: number) => {
  let random = seed;
  const pickMs = (maxMs: number) => {
    random = (random * 48_271) % 2_147_483_647;
    return 1 + (random % maxMs);
  };
  const { store, listRecords } = createPartitionedStore(() => pickMs(12));
  const runners = new Map<string, PoolRunner>();
  const accepted = new Set<string>();
  let token = 0;
  let newest = makeConfig(1, 'stalls');

  const startRunner = (pool: string) => {
    token += 1;
    const runner = startPoolRunner({
      ...RUNNER_BASE,
      store,
      pool,
      claim: { duty: `pool/${pool}`, holder: 'a', token },
      workers: { renew: () => NEVER } as unknown as TaskWorkers,
      entries: new BehaviorSubject<ReadonlyMap<string, WorkerEntry>>(new Map()),
      statusMs: 60 * SECOND_MS,
    });
    runners.set(pool, runner);
  };
  POOLS.forEach(startRunner);
  /** Sends a request to the planner of its pool, which may change on the way. */
  const answer = async (request: JobRequest): Promise<JobReply> => {
    await waitFor(pickMs(40));
    const reply = runners.get(request.pool)?.answer(request);
    const unavailable = { kind: 'unavailable', why: 'no-planner', retryAfterMs: 1 } as const;
    const received = (await reply) ?? unavailable;
    await waitFor(pickMs(40));
    return received;
  };
  const openInstance = (config: FleetConfig | undefined) => {
    const subject = new BehaviorSubject<FleetConfig | undefined>(config);
    const directory = startQueueDirectory({ store, config: subject, log: SILENT_LOG });
    return { subject, directory, queues: createQueueGateway({ gateway: { answer }, directory }) };
  };
  const instances = Array.from({ length: INSTANCES }, () => openInstance(newest));
  const findPool = (config: FleetConfig | undefined) => config?.routes[0]?.pool;
  const submit = async (id: string, number: number) => {
    const { subject, queues } = instances[number]!;
    const config = subject.value;
    const pool = findPool(config);
    if (config === undefined || pool === undefined) return;
    const request = { kind: 'submit', pool, spec: { ...SPEC, id }, policy: POLICY } as const;
    const reply = await queues.answer(request, { queue: QUEUE, version: config.version });
    if (reply.kind === 'accepted') accepted.add(id);
  };
  const applyStep = async (step: Step): Promise<void> => {
    switch (step.kind) {
      case 'publish': {
        const published = makeConfig(newest.version + 1, step.pool);
        newest = published;
        step.delaysMs.forEach((delayMs, number) =>
          setTimeout(() => {
            const { subject } = instances[number]!;
            if ((subject.value?.version ?? 0) < published.version) subject.next(published);
          }, delayMs),
        );
        return;
      }
      case 'submit':
        return submit(step.id, step.instance);
      case 'take-over':
        runners.get(step.pool)?.stop();
        runners.delete(step.pool);
        await waitFor(step.downMs);
        if (!runners.has(step.pool)) startRunner(step.pool);
        return;
      case 'restart':
        instances[step.instance]!.directory.stop();
        instances[step.instance] = openInstance(newest);
        return;
      case 'clean': {
        const { directory } = instances[0]!;
        for (const [pool, runner] of runners) {
          const left = directory.listLeftQueues(pool);
          const closed = await runner.closeQueues(left, directory.getVersion());
          await directory.removePool(closed, pool);
        }
        return;
      }
      default:
        step satisfies never;
    }
  };
  /** Lists what is wrong once everything has settled. */
  const check = async (clock: Clock): Promise<readonly string[]> => {
    instances.forEach(({ subject }) => subject.next(newest));
    await clock.tickAsync(SETTLE_MS);
    const pool = findPool(newest) ?? 'stalls';
    const found: string[] = [];
    const checkJob = async (id: string) => {
      const status = { kind: 'status', jobId: id } as const;
      const replies = POOLS.map((name) => runners.get(name)!.answer({ ...status, pool: name }));
      const homes = (await Promise.all(replies)).filter(({ kind }) => kind === 'state').length;
      if (homes > 1) found.push(`${id} lives in ${homes} pools`);
      if (!accepted.has(id)) return;
      const origin = { queue: QUEUE, version: newest.version };
      const asked = instances.map(({ queues }) => queues.answer({ ...status, pool }, origin));
      const kinds = (await Promise.all(asked)).map(({ kind }) => kind);
      if (!kinds.every((kind) => kind === 'state')) found.push(`${id} is ${kinds.join(', ')}`);
    };
    const asked = Promise.all(JOB_IDS.map(checkJob));
    await clock.tickAsync(4 * SECOND_MS);
    await asked;
    instances.forEach(({ directory }) => directory.stop());
    runners.forEach((runner) => runner.stop());
    return found;
  };
  return { applyStep, check, accepted, listRecords };
};

/** Runs a case and returns what was violated. */
const runCase = async (
  seed: number,
  list: readonly { readonly step: Step; readonly waitMs: number }[],
): Promise<readonly string[]> => {
  const clock = install({ now: 0 });
  try {
    const simulation = createSimulation(seed);
    await clock.tickAsync(SECOND_MS);
    for (const { step, waitMs } of list) {
      void simulation.applyStep(step);
      await clock.tickAsync(waitMs);
    }
    return await simulation.check(clock);
  } finally {
    clock.uninstall();
  }
};

const pool = fc.constantFrom(...POOLS);
const instance = fc.integer({ min: 0, max: INSTANCES - 1 });
const submits = fc.record({
  kind: fc.constant('submit' as const),
  id: fc.constantFrom(...JOB_IDS),
  instance,
});
const publishes = fc.record({
  kind: fc.constant('publish' as const),
  pool: fc.oneof({ weight: 4, arbitrary: pool }, { weight: 1, arbitrary: fc.constant(undefined) }),
  delaysMs: fc.array(fc.integer({ min: 1, max: 900 }), {
    minLength: INSTANCES,
    maxLength: INSTANCES,
  }),
});
const others: readonly fc.Arbitrary<Step>[] = [
  fc.record({
    kind: fc.constant('take-over' as const),
    pool,
    downMs: fc.integer({ min: 1, max: 400 }),
  }),
  fc.record({ kind: fc.constant('restart' as const), instance }),
  fc.constant({ kind: 'clean' } as const),
];
const steps = fc.array(
  fc.record({
    step: fc.oneof(
      { weight: 6, arbitrary: submits },
      { weight: 4, arbitrary: publishes },
      ...others.map((arbitrary) => ({ weight: 1, arbitrary })),
    ),
    waitMs: fc.oneof(fc.integer({ min: 1, max: 60 }), fc.integer({ min: 1, max: 900 })),
  }),
  { minLength: 4, maxLength: 16 },
);

const test = suite('queue moves machine');

// Guards against a job that is accepted in two pools, and one that is lost as its queue has moved.
test('a job lives in one pool, and is found there wherever its queue is sent', async () => {
  const property = fc.asyncProperty(fc.integer({ min: 1, max: 1e6 }), steps, async (seed, list) =>
    assert.equal(await runCase(seed, list), []),
  );
  await fc.assert(property, { numRuns: CASES, seed: SEED, endOnFailure: true });
});

test.run();
