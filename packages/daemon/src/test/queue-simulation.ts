/**
 * Simulation of queues that configurations send from pool to pool, for state-machine tests: instances
 * learn of each version at different times, callers submit and cancel jobs at any of them, and planners
 * take over from each other, also while the one before does not know it yet. Time passes only when the
 * clock ticks.
 */
import type { Clock } from '@sinonjs/fake-timers';
import { BehaviorSubject } from 'rxjs';
import type { FleetConfig } from 'vanilladock/lib/ports/fleet.js';
import type { TaskWorkers, WorkerEntry } from 'vanilladock/lib/ports/task-workers.js';
import type { JobReply, JobRequest } from '../lib/jobs/job-request.js';
import { startPoolRunner, type PoolRunner } from '../lib/jobs/pool-runner.js';
import { startQueueDirectory } from '../lib/jobs/queue-directory.js';
import { createQueueGateway, type QueueRequest } from '../lib/jobs/queue-gateway.js';
import { makeStoppedQuery, POLICY, RUNNER_BASE, SILENT_LOG, SPEC } from './job-fixtures.js';
import { NEVER, waitFor } from './memory-store.js';
import { runSteps, type TimedStep } from './run-steps.js';
import { createPartitionedStore } from './partitioned-store.js';
import { createSeededPick } from './seeded-pick.js';

const SECOND_MS = 1_000;
export const POOLS = ['stalls', 'kilns', 'ovens'] as const;
export const INSTANCES = 3;
const QUEUE = 'pule25.example/tray/';
export const JOB_IDS = ['a', 'b', 'c'] as const;

/** Time after which every instance has each version, and every record of it. */
const SETTLE_MS = 8 * SECOND_MS;

type PoolName = (typeof POOLS)[number];

export type Step =
  /** Publishes a version that sends the queue to a pool, or nowhere. */
  | {
      readonly kind: 'publish';
      readonly pool: PoolName | undefined;
      /** How long each instance takes to learn of it. */
      readonly delaysMs: readonly number[];
    }
  | {
      readonly kind: 'submit';
      readonly id: string;
      readonly instance: number;
      /** How long the submission lies in the instance before that reads it; 0 by default. */
      readonly heldMs?: number;
    }
  | { readonly kind: 'cancel'; readonly id: string; readonly instance: number }
  /** Asks an instance for the state of a job, under whatever version it has. */
  | { readonly kind: 'ask'; readonly id: string; readonly instance: number }
  | { readonly kind: 'take-over'; readonly pool: PoolName; readonly downMs: number }
  /** A planner takes over from one that goes on, and that some requests still reach. */
  | { readonly kind: 'supersede'; readonly pool: PoolName; readonly knownAfterMs: number }
  /** Requests to the planner of a pool are held up on their way. */
  | { readonly kind: 'delay'; readonly pool: PoolName; readonly delayMs: number }
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
  const pickMs = createSeededPick(seed);
  const { store, listRecords } = createPartitionedStore(() => pickMs(12));
  const runners = new Map<string, PoolRunner>();
  /** Planners that have been superseded and that some requests still reach. */
  const superseded = new Map<string, PoolRunner>();
  const delaysMs = new Map<string, number>();
  const accepted = new Set<string>();
  /** Jobs whose cancel was confirmed, whether or not they were known. */
  const cancelled = new Set<string>();
  /** Jobs of which a submission was not rejected. */
  const unrejected = new Set<string>();
  const found: string[] = [];
  let token = 0;
  let newest = makeConfig(1, 'stalls');

  const startRunner = (pool: string) => {
    token += 1;
    const runner = startPoolRunner({
      ...RUNNER_BASE,
      store,
      pool,
      claim: { duty: `pool/${pool}`, holder: 'a', token },
      queryPredecessor: makeStoppedQuery(runners.get(pool)?.claim.token),
      workers: { renew: () => NEVER } as unknown as TaskWorkers,
      entries: new BehaviorSubject<ReadonlyMap<string, WorkerEntry>>(new Map()),
      statusMs: 60 * SECOND_MS,
    });
    runners.set(pool, runner);
  };
  POOLS.forEach(startRunner);
  /** Sends a request to the planner of its pool, which may change on the way. */
  const answer = async (request: JobRequest): Promise<JobReply> => {
    await waitFor(pickMs(40) + (delaysMs.get(request.pool) ?? 0));
    const earlier = superseded.get(request.pool);
    const runner = earlier !== undefined && pickMs(2) === 1 ? earlier : runners.get(request.pool);
    const reply = runner?.answer(request);
    const unavailable = { kind: 'unavailable', why: 'no-planner', retryAfterMs: 1 } as const;
    const received = (await reply) ?? unavailable;
    await waitFor(pickMs(40));
    return received;
  };
  const openInstance = (config: FleetConfig | undefined) => {
    const subject = new BehaviorSubject<FleetConfig | undefined>(config);
    const directory = startQueueDirectory({ store, config: subject, log: SILENT_LOG });
    return {
      subject,
      directory,
      queues: createQueueGateway({ gateway: { answer }, directory, mayBeOld: () => false }),
    };
  };
  const instances = Array.from({ length: INSTANCES }, () => openInstance(newest));
  const findPool = (config: FleetConfig | undefined) => config?.routes[0]?.pool;
  /** Answers a call at an instance by its configuration; undefined if that has no such queue. */
  const answerCall = async (
    number: number,
    makeRequest: (pool: string) => QueueRequest,
  ): Promise<JobReply | undefined> => {
    const { subject, queues } = instances[number]!;
    const config = subject.value;
    const pool = findPool(config);
    if (config === undefined || pool === undefined) return undefined;
    return queues.answer(makeRequest(pool), { queue: QUEUE, version: config.version });
  };
  const submit = async (id: string, number: number, heldMs: number) => {
    if (heldMs > 0) await waitFor(heldMs);
    const spec = { ...SPEC, id };
    const reply = await answerCall(number, (pool) => ({
      kind: 'submit',
      pool,
      spec,
      policy: POLICY,
    }));
    if (reply?.kind === 'accepted') accepted.add(id);
    if (reply?.kind !== 'refused' && reply?.kind !== 'unavailable') unrejected.add(id);
  };
  const cancel = async (id: string, number: number) => {
    const reply = await answerCall(number, (pool) => ({ kind: 'cancel', pool, jobId: id }));
    if (reply?.kind === 'cancelled' || reply?.kind === 'no-such-job') cancelled.add(id);
  };
  /** Asks for the state of a job; one that was accepted before must be known. */
  const queryJob = async (id: string, number: number) => {
    const wasAccepted = accepted.has(id);
    const reply = await answerCall(number, (pool) => ({ kind: 'status', pool, jobId: id }));
    if (wasAccepted && reply?.kind === 'no-such-job') found.push(`${id} was said not to exist`);
  };
  /** Has a planner take over a pool at once; the one before learns of it later, or when it writes. */
  const startSuperseding = async (pool: PoolName, knownAfterMs: number) => {
    const earlier = runners.get(pool);
    if (earlier === undefined || superseded.has(pool)) return;
    superseded.set(pool, earlier);
    startRunner(pool);
    await waitFor(knownAfterMs);
    superseded.delete(pool);
    earlier.stop();
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
        return submit(step.id, step.instance, step.heldMs ?? 0);
      case 'cancel':
        return cancel(step.id, step.instance);
      case 'ask':
        return queryJob(step.id, step.instance);
      case 'supersede':
        return startSuperseding(step.pool, step.knownAfterMs);
      case 'delay':
        delaysMs.set(step.pool, step.delayMs);
        return;
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
  /** Lists what was wrong on the way, and what is once everything has settled. */
  const check = async (clock: Clock): Promise<readonly string[]> => {
    instances.forEach(({ subject }) => subject.next(newest));
    delaysMs.clear();
    await clock.tickAsync(SETTLE_MS);
    const pool = findPool(newest) ?? 'stalls';
    const checkJob = async (id: string) => {
      const status = { kind: 'status', jobId: id } as const;
      const replies = POOLS.map((name) => runners.get(name)!.answer({ ...status, pool: name }));
      const states = (await Promise.all(replies)).filter((reply) => reply.kind === 'state');
      const homes = states.length;
      if (cancelled.has(id) && states.some(({ state }) => state !== 'cancelled')) {
        found.push(`${id} was cancelled and goes on`);
      }
      const isWaiting = states.some(({ state }) => state === 'queued');
      if (isWaiting && !unrejected.has(id)) found.push(`${id} was rejected and waits to run`);
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
export const runCase = (seed: number, list: readonly TimedStep<Step>[]) =>
  runSteps(() => createSimulation(seed), list);
