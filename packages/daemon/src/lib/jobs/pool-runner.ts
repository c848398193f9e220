/**
 * Runs the planner of one pool under one claim: loads the stored state, calls every worker with the
 * claim's token, carries out the planner's actions, and stores what must be durable before it
 * takes effect. An error in the planner gives up the pool, whose next planner starts from the stored
 * state; the process and its other pools go on.
 */
import type { Subscription } from 'rxjs';
import type { TimedHandOver } from 'vanilladock/lib/jobs/hand-over.js';
import { createPoolPlanner, type PoolPlanner } from 'vanilladock/lib/jobs/pool-planner.js';
import type { WorkerEntry } from 'vanilladock/lib/ports/task-workers.js';
import { createActionRunner } from './action-runner.js';
import { answerRequest } from './answer-request.js';
import { createErrorGuard, makeErrorFields } from '../error-guard.js';
import { readMoment } from './clock.js';
import { createContainedWorkers } from './contained-workers.js';
import { makeUnavailable } from './job-request.js';
import { createPlanPauseLog } from './plan-pause-log.js';
import { watchPredecessor } from './predecessor-watch.js';
import type { PoolRunner, PoolRunnerOptions } from './pool-runner-types.js';
import { createPoolStateWriter } from './pool-state-writer.js';
import { createPoolStore } from './pool-store.js';
import { createSettlingLog } from './settling-log.js';
import type { PoolMeta } from './stored-pool.js';
import { countTaken, takeOverPool } from './take-over.js';
import { createWorkerLoops } from './worker-loops.js';

export type {
  PoolFigures,
  PoolRunner,
  PoolRunnerOptions,
  PoolSources,
} from './pool-runner-types.js';

/** Runs of inherited tasks are numbered from the pool's generation multiplied by this. */
const RUNS_PER_GENERATION = 100;

/** Plans that are requested within this time are combined into one. */
const PLAN_DELAY_MS = 4;

/** A plan is made at least this often, for what becomes due over time. */
const PLAN_INTERVAL_MS = 250;

/** A task end that cannot be stored within this time is left to the next report. */
const END_STORE_TIMEOUT_MS = 300;

/** A floor that cannot be stored within this time is left to the next attempt. */
const FLOOR_TIMEOUT_MS = 900;

/** Starts the planner of a pool. */
export function startPoolRunner(options: PoolRunnerOptions): PoolRunner {
  const { pool, claim, advisor, log } = options;
  const workers = createContainedWorkers(options.workers, log);
  const predecessor = watchPredecessor(options.queryPredecessor);
  const store = createPoolStore({
    ...options,
    token: claim.token,
    partitions: options.storePartitions,
  });
  const claimedMs = performance.now();
  const pauseLog = createPlanPauseLog({ pool, token: claim.token, log }, claimedMs);
  const settlingLog = createSettlingLog({ pool, token: claim.token, claimedMs, log });
  let planner: PoolPlanner | undefined;
  let isStopped = false;
  let isPlanScheduled = false;
  let ticker: NodeJS.Timeout | undefined;
  let subscription: Subscription | undefined;
  /** What this planner tells; set when it stops. */
  let telling: TimedHandOver | undefined;

  const recordTelling = () => {
    const atMs = performance.now();
    const { token } = claim;
    telling = planner
      ? { handOver: planner.makeHandOver(token, atMs), atMs }
      : predecessor.makePassedOn(token);
  };
  const stop = () => {
    if (isStopped) return;
    isStopped = true;
    store.close();
    clearInterval(ticker);
    subscription?.unsubscribe();
    loops.stop();
    stateWriter.stop();
    settlingLog.logEnd(planner, performance.now());
    guard.wrap('hand-over', recordTelling)();
  };
  const handleLoss = (why: string) => {
    if (isStopped) return;
    stop();
    options.handleLost(why);
  };
  const handleFailure = (where: string, error: unknown) => {
    const { token } = claim;
    log.error({ event: 'planner-failed', pool, token, where, ...makeErrorFields(error) });
    handleLoss('planner-failed');
  };
  const guard = createErrorGuard(handleFailure);
  const schedulePlan = () => {
    if (isPlanScheduled || isStopped) return;
    isPlanScheduled = true;
    setTimeout(guard.wrap('plan', runPlan), PLAN_DELAY_MS);
  };
  const runAction = createActionRunner({
    workers,
    advisor,
    fencingToken: claim.token,
    log,
    getPlanner: () => planner,
    isStopped: () => isStopped,
    wakeLoop: (workerId) => loops.wake(workerId),
    schedulePlan,
    handleFenced: () => handleLoss('worker-fenced'),
  });
  const runPlan = () => {
    isPlanScheduled = false;
    if (planner === undefined || isStopped) return;
    if (options.isInForce()) {
      const at = readMoment();
      pauseLog.observePlan(at.nowMs);
      planner.plan(at).forEach((action) => guard.watch('action', runAction(action)));
      settlingLog.observeWaits(planner.explainWaits(at.nowMs), at.nowMs);
    } else {
      pauseLog.observeSkip(performance.now());
    }
    void stateWriter.writeDirty();
  };
  const stateWriter = createPoolStateWriter({
    store,
    getPlanner: () => planner,
    schedulePlan,
    handleLost: () => handleLoss('store-fenced'),
    handleFailed: (error) => handleFailure('store', error),
  });
  const handleReport = async (workerId: string) => {
    const worker = planner?.table.workers.get(workerId);
    schedulePlan();
    if (worker === undefined || worker.lastEnd <= worker.storedEnd) return;
    const { lastEnd, entry } = worker;
    const isStored = await stateWriter.waitStored(END_STORE_TIMEOUT_MS);
    if (isStored) planner?.markEndsStored(workerId, entry.bornMs, lastEnd);
  };
  const loops = createWorkerLoops({
    pool,
    log,
    workers,
    fencingToken: claim.token,
    isInForce: options.isInForce,
    handleReport,
    handlePaces: (paces) => {
      if (options.isInForce()) paces.forEach((pace) => guard.watch('action', runAction(pace)));
    },
    handleFenced: () => handleLoss('worker-fenced'),
    handleFailed: (error) => handleFailure('report', error),
  });
  const observeEntries = (entries: ReadonlyMap<string, WorkerEntry>) => {
    if (planner === undefined) return;
    const ownEntries = [...entries.values()].filter((entry) => entry.pool === pool);
    planner.observeWorkers(ownEntries, readMoment());
    loops.update(planner);
    schedulePlan();
  };
  const waitPredecessor = async (loaded: PoolPlanner, stored: PoolMeta) => {
    await predecessor.apply(loaded, stored);
    loops.wakeAll();
    schedulePlan();
  };
  const load = async () => {
    const stored = await takeOverPool(store, claim.token);
    if (stored === undefined || isStopped) {
      handleLoss('store-fenced');
      return;
    }
    stateWriter.setMeta(stored.meta);
    const loadedAt = readMoment();
    planner = createPoolPlanner(pool, {
      report: (event) => log.info({ pool, ...event }),
      runBase: stored.previous.generation * RUNS_PER_GENERATION,
      inheritedWorkers: stored.meta.workers,
      claimedMs,
      statusMs: options.statusMs,
      teams: options.teams,
      teamCeilings: stored.previous.teamCeilings,
    });
    const active = planner;
    guard.watch('predecessor', waitPredecessor(active, stored.previous));
    stored.jobs.forEach(({ record, progress }) => active.loadJob(record, progress, loadedAt));
    stored.tombstones.forEach((tombstone) => active.loadTombstone(tombstone, loadedAt));
    active.removeStored(stored.expiredJobs);
    const loadMs = Math.round(loadedAt.nowMs - claimedMs);
    const { token } = claim;
    log.info({ event: 'pool-taken', pool, token, ...countTaken(stored), loadMs });
    subscription = options.entries.subscribe(guard.wrap('entries', observeEntries));
    const runTick = () => {
      loops.update(active);
      schedulePlan();
    };
    ticker = setInterval(guard.wrap('tick', runTick), PLAN_INTERVAL_MS);
    ticker.unref();
  };
  guard.watch('load', load());
  return {
    claim,
    answer: async (request) => {
      if (planner === undefined || isStopped) {
        return makeUnavailable('pool-loading');
      }
      const context = {
        planner,
        waitStored: stateWriter.waitStored,
        isStoreUnavailable: stateWriter.isStoreUnavailable,
        getFloor: stateWriter.getFloor,
        recordFloors: stateWriter.recordFloors,
        isStopped: () => isStopped,
        isInForce: options.isInForce,
        wakeWorker: loops.wake,
        schedulePlan,
      };
      try {
        return await answerRequest(context, request);
      } catch (error) {
        const { kind } = request;
        log.error({ event: 'request-failed', pool, kind, ...makeErrorFields(error) });
        return { kind: 'unknown', why: 'internal-error' };
      }
    },
    closeQueues: async (queues, version) => {
      const listEmpty = (of: readonly string[]) => {
        const used = isStopped ? undefined : planner?.listQueues();
        return used === undefined ? [] : of.filter((queue) => !used.has(queue));
      };
      const empty = listEmpty(queues);
      const areRecorded = await stateWriter.recordFloors(empty, version, FLOOR_TIMEOUT_MS);
      return areRecorded ? listEmpty(empty) : [];
    },
    getFigures: () => {
      const nowMs = performance.now();
      const pausedMs = pauseLog.getPausedMs(nowMs);
      return planner === undefined ? undefined : { pool, pausedMs, ...planner.getFigures(nowMs) };
    },
    getHandOver: () => telling,
    stop,
  };
}
