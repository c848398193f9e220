/**
 * Runs the planner of one pool under one claim: loads what the store has, calls every worker with the
 * claim's token, carries out the planner's actions, and stores what must last before it counts.
 */
import type { BehaviorSubject, Subscription } from 'rxjs';
import type { Claim } from 'vanilladock/lib/duties/claim-table.js';
import { createPoolPlanner, type PoolAction, type PoolPlanner } from 'vanilladock/lib/jobs/pool-planner.js';
import type { Advisor } from 'vanilladock/lib/ports/fleet.js';
import type { KeyedStore } from 'vanilladock/lib/ports/keyed-store.js';
import type { TaskWorkers, WorkerEntry } from 'vanilladock/lib/ports/task-workers.js';
import type { JsonLog } from '../json-log.js';
import { readMoment, waitMs } from './clock.js';
import type { JobReply, JobRequest } from './job-request.js';
import { createPoolStore, type PoolMeta } from './pool-store.js';
import { startWorkerLoop, type WorkerLoop } from './worker-loop.js';

/** What a runner needs. */
export interface PoolRunnerOptions {
  readonly pool: string;
  readonly claim: Claim;
  readonly store: KeyedStore;
  readonly storePartitions: number;
  readonly workers: TaskWorkers;
  readonly advisor: Advisor;
  readonly entries: BehaviorSubject<ReadonlyMap<string, WorkerEntry>>;
  readonly statusMs: number;
  readonly log: JsonLog;
  readonly handleLost: (why: string) => void;
}

/** A running planner. */
export interface PoolRunner {
  readonly claim: Claim;
  readonly isReady: () => boolean;
  readonly planner: () => PoolPlanner | undefined;
  readonly answer: (request: JobRequest) => Promise<JobReply>;
  readonly stop: () => void;
}

/** Runs of inherited tasks are numbered from this many times the pool's generation. */
const RUNS_PER_GENERATION = 100;

/** Plans that are asked for within this time are made at once. */
const PLAN_DELAY_MS = 4;

/** A plan is made at least this often, for what becomes due with time. */
const PLAN_EVERY_MS = 250;

const RETRY_AFTER_MS = 1_000;

/** Starts the planner of a pool. */
export function startPoolRunner(options: PoolRunnerOptions): PoolRunner {
  const { pool, claim, workers, advisor, log } = options;
  const store = createPoolStore(options.store, pool, claim.token, options.storePartitions, log);
  const loops = new Map<string, WorkerLoop>();
  const waiters: ((isStored: boolean) => void)[] = [];
  let planner: PoolPlanner | undefined;
  let meta: PoolMeta = { generation: 0, workers: [] };
  let isStopped = false;
  let isPlanDue = false;
  let isWriting = false;
  let ticker: NodeJS.Timeout | undefined;
  let subscription: Subscription | undefined;

  const stop = () => {
    if (isStopped) return;
    isStopped = true;
    store.close();
    clearInterval(ticker);
    subscription?.unsubscribe();
    loops.forEach((loop) => loop.stop());
    waiters.splice(0).forEach((resolve) => resolve(false));
    log.info({ event: 'pool-released', pool, token: claim.token });
  };
  const lose = (why: string) => {
    if (isStopped) return;
    stop();
    options.handleLost(why);
  };
  const schedulePlan = () => {
    if (isPlanDue || isStopped) return;
    isPlanDue = true;
    setTimeout(runPlan, PLAN_DELAY_MS);
  };
  const carryOut = async (action: PoolAction) => {
    if (planner === undefined) return;
    const fencingToken = claim.token;
    switch (action.kind) {
      case 'start': {
        const { worker, taskKey, run } = action;
        const outcome = await workers.startTask(worker, { ...action, fencingToken });
        log.info({ event: 'run-start', task: taskKey, run, worker: worker.id, outcome: outcome.kind });
        if (outcome.kind === 'rejected' && outcome.why === 'fenced') lose('worker-fenced');
        if (isStopped) return;
        planner.observeStart(action, outcome, readMoment());
        if (outcome.kind === 'accepted') loops.get(worker.id)?.wake();
        else schedulePlan();
        return;
      }
      case 'stop': {
        const { worker, taskKey, run, why } = action;
        const outcome = await workers.stopTask(worker, { taskKey, run, fencingToken });
        log.info({ event: 'run-stop', task: taskKey, run, worker: worker.id, why, outcome: outcome.kind });
        if (isStopped) return;
        planner.observeStop(action, outcome, readMoment());
        loops.get(worker.id)?.wake();
        return;
      }
      case 'pace': {
        const { worker, taskKey, run, percent } = action;
        const outcome = await workers.pace(worker, { taskKey, run, percent, fencingToken });
        log.info({ event: 'run-pace', task: taskKey, run, worker: worker.id, percent, outcome: outcome.kind });
        return;
      }
      case 'advise': {
        const outcome = await advisor.advise(action.stepKey, action.workerIds);
        log.info({ event: 'advice', step: action.stepKey, asked: action.workerIds.length, outcome: outcome.kind });
        if (outcome.kind !== 'advice' || isStopped) return;
        const { nowMs } = readMoment();
        planner.tickets.addAnswer(action.stepKey, outcome.tickets, nowMs + outcome.validMs, nowMs);
        schedulePlan();
        return;
      }
      default:
        action satisfies never;
    }
  };
  const runPlan = () => {
    isPlanDue = false;
    if (planner === undefined || isStopped) return;
    planner.plan(readMoment()).forEach((action) => void carryOut(action));
    void writeDirty();
  };
  const recordWorkers = async () => {
    if (planner === undefined) return;
    const ids = planner.listLeaseHolders();
    const recorded = new Set(meta.workers);
    planner.markWorkersRecorded(ids.filter((id) => recorded.has(id)));
    if (ids.length === recorded.size && ids.every((id) => recorded.has(id))) return;
    const next = { ...meta, workers: ids };
    const outcome = await store.write([store.encodeMeta(next)]);
    if (outcome !== 'stored') return;
    meta = next;
    planner.markWorkersRecorded(ids);
    schedulePlan();
  };
  const writeOnce = async (): Promise<'stored' | 'idle' | 'failed'> => {
    const batch = planner?.takeStoreBatch();
    if (planner === undefined || batch === undefined) return 'idle';
    const outcome = await store.write(batch.records);
    switch (outcome) {
      case 'stored':
        batch.handleStored();
        schedulePlan();
        return 'stored';
      case 'refused':
        planner.dropUnstored(batch);
        return 'failed';
      case 'lost':
        lose('store-fenced');
        return 'failed';
      default:
        return outcome satisfies never;
    }
  };
  const writeDirty = async () => {
    if (isWriting || isStopped) return;
    isWriting = true;
    await recordWorkers();
    let result: Awaited<ReturnType<typeof writeOnce>> = 'stored';
    while (result === 'stored' && !isStopped) {
      const waiting = waiters.splice(0);
      result = await writeOnce();
      const isStored = result !== 'failed';
      waiting.forEach((resolve) => resolve(isStored));
    }
    isWriting = false;
    if (waiters.length > 0) setImmediate(() => void writeDirty());
  };
  /** Resolves to whether everything that was dirty at the call is stored. */
  const waitStored = () =>
    new Promise<boolean>((resolve) => {
      if (isStopped) {
        resolve(false);
        return;
      }
      waiters.push(resolve);
      void writeDirty();
    });
  const handleReport = async (workerId: string) => {
    const worker = planner?.table.workers.get(workerId);
    schedulePlan();
    if (worker === undefined || worker.lastEnd <= worker.storedEnd) return;
    const { lastEnd, entry } = worker;
    const isStored = await Promise.race([
      waitStored(),
      waitMs(STORE_PATIENCE_MS).then(() => false),
    ]);
    if (isStored) planner?.markEndsStored(workerId, entry.bornMs, lastEnd);
  };
  const openLoops = () => {
    if (planner === undefined) return;
    const active = planner;
    [...loops.keys()].forEach((id) => {
      if (!active.table.workers.has(id)) loops.delete(id);
    });
    active.table.workers.forEach((_, workerId) => {
      if (loops.has(workerId)) return;
      const loop = startWorkerLoop({
        workerId,
        planner: active,
        workers,
        fencingToken: claim.token,
        handleReport,
        handlePaces: (paces) => paces.forEach((pace) => void carryOut(pace)),
        handleFenced: () => lose('worker-fenced'),
      });
      loops.set(workerId, loop);
    });
  };
  const observeEntries = (entries: ReadonlyMap<string, WorkerEntry>) => {
    if (planner === undefined) return;
    const own = [...entries.values()].filter((entry) => entry.pool === pool);
    planner.observeWorkers(own, readMoment());
    openLoops();
    schedulePlan();
  };
  const load = async () => {
    const startedMs = performance.now();
    const found = await store.load();
    if (found === undefined) {
      lose('store-fenced');
      return;
    }
    meta = { generation: found.meta.generation + 1, workers: found.meta.workers };
    let outcome = await store.write([store.encodeMeta(meta)]);
    while (outcome === 'refused') {
      await waitMs(PLAN_EVERY_MS);
      outcome = await store.write([store.encodeMeta(meta)]);
    }
    if (outcome === 'lost' || isStopped) {
      lose('store-fenced');
      return;
    }
    const at = readMoment();
    planner = createPoolPlanner(pool, {
      report: (event) => log.info({ pool, ...event }),
      runBase: found.meta.generation * RUNS_PER_GENERATION,
      inheritedWorkers: found.meta.workers,
      startedMs: at.nowMs,
      statusMs: options.statusMs,
    });
    const active = planner;
    found.jobs.forEach(({ record, progress }) => active.loadJob(record, progress, at));
    log.info({
      event: 'pool-taken',
      pool,
      token: claim.token,
      generation: meta.generation,
      jobs: found.jobs.length,
      inheritedWorkers: found.meta.workers.length,
      loadMs: Math.round(at.nowMs - startedMs),
    });
    subscription = options.entries.subscribe(observeEntries);
    ticker = setInterval(() => {
      openLoops();
      schedulePlan();
    }, PLAN_EVERY_MS);
    ticker.unref();
  };
  const submit = async (
    active: PoolPlanner,
    request: Extract<JobRequest, { kind: 'submit' }>,
  ): Promise<JobReply> => {
    const { id } = request.spec;
    const admission = active.submit(request.spec, request.policy, readMoment());
    if (admission !== 'known' && admission.kind === 'refused') {
      return { kind: 'refused', why: admission.why, retryAfterMs: admission.retryAfterMs };
    }
    if (admission !== 'known' || !active.isStored(id)) await waitStored();
    if (isStopped) return { kind: 'unknown', why: 'the planner has lost its pool' };
    if (active.table.jobs.get(id) === undefined) {
      return { kind: 'unavailable', why: 'store-refused', retryAfterMs: RETRY_AFTER_MS };
    }
    const isKept = active.table.jobs.get(id)?.storedPhase !== 'none';
    return isKept ? { kind: 'accepted' } : { kind: 'unknown', why: 'the store has not answered' };
  };
  const cancel = async (active: PoolPlanner, jobId: string): Promise<JobReply> => {
    const answer = active.cancel(jobId, readMoment());
    if (answer === 'unknown') return { kind: 'no-such-job' };
    if (answer === 'ended' && active.isStored(jobId)) return { kind: 'cancelled' };
    schedulePlan();
    await waitStored();
    return active.isStored(jobId) && !isStopped
      ? { kind: 'cancelled' }
      : { kind: 'unknown', why: 'the store has not answered' };
  };
  void load();
  return {
    claim,
    isReady: () => planner !== undefined && !isStopped,
    planner: () => planner,
    answer: async (request) => {
      if (planner === undefined || isStopped) {
        return { kind: 'unavailable', why: 'pool-loading', retryAfterMs: RETRY_AFTER_MS };
      }
      switch (request.kind) {
        case 'submit':
          return submit(planner, request);
        case 'cancel':
          return cancel(planner, request.jobId);
        case 'status': {
          const state = planner.getAnswer(request.jobId);
          return state === 'unknown' ? { kind: 'no-such-job' } : { kind: 'state', state };
        }
        case 'pending':
          return { kind: 'pending', count: planner.countPending(request.route) };
        case 'evacuate': {
          const content = planner.evacuate(request.workerId, readMoment());
          schedulePlan();
          return content === undefined
            ? { kind: 'unavailable', why: 'worker-not-heard', retryAfterMs: RETRY_AFTER_MS }
            : { kind: 'content', ...content };
        }
        case 'demand':
          return { kind: 'demand', demand: planner.getDemand(readMoment()) };
        case 'life-ended':
          planner.observeLifeEnd(request.workerId, 'ordered');
          schedulePlan();
          return { kind: 'accepted' };
        default:
          return request satisfies never;
      }
    },
    stop,
  };
}

/** An end that cannot be stored in this time is left to the next report. */
const STORE_PATIENCE_MS = 300;
