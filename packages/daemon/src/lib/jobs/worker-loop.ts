/**
 * Renews the leases of one worker and brings in its lists: a long poll while tasks run there, so that
 * each end is heard at once, and nothing while the worker is idle and known.
 */
import type { Moment } from 'vanilladock/lib/jobs/state.js';
import type { PoolPlanner } from 'vanilladock/lib/jobs/pool-planner.js';
import { estimateWorkerMs, LEASE_MS } from 'vanilladock/lib/jobs/lease-clock.js';
import type { TaskWorkers } from 'vanilladock/lib/ports/task-workers.js';
import { readMoment } from './clock.js';

/** What a loop needs. */
export interface WorkerLoopOptions {
  readonly workerId: string;
  readonly planner: PoolPlanner;
  readonly workers: TaskWorkers;
  readonly fencingToken: number;
  /** Says whether orders may be given under the claim now. */
  readonly isInForce: () => boolean;
  /** Called after each report; resolves when the next renewal may be sent. */
  readonly handleReport: (workerId: string, at: Moment) => Promise<void>;
  readonly handlePaces: (actions: ReturnType<PoolPlanner['observeReport']>) => void;
  readonly handleFenced: () => void;
}

/** A loop that can be stopped. */
export interface WorkerLoop {
  readonly wake: () => void;
  readonly stop: () => void;
}

/** The answer of a renewal waits this long for an end. */
const POLL_MS = 700;

/** Pause after a missing answer. */
const RETRY_MS = 150;

/** Pause between looks at an idle worker. */
const IDLE_MS = 2_000;

/** Starts the loop of one worker. */
export function startWorkerLoop(options: WorkerLoopOptions): WorkerLoop {
  const { workerId, planner, workers, fencingToken } = options;
  let isStopped = false;
  let wakeUp: (() => void) | undefined;

  const waitOrWake = (ms: number) =>
    new Promise<void>((resolve) => {
      const timer = setTimeout(resolve, ms);
      timer.unref();
      wakeUp = () => {
        clearTimeout(timer);
        resolve();
      };
    });
  const renew = async () => {
    const worker = planner.table.workers.get(workerId);
    if (worker === undefined) return;
    const isBusy = worker.tasks.size > 0 || worker.strays.size > 0;
    const sent = readMoment();
    // A renewal without an answer may have been carried out: while the worker is silent, no renewal
    // extends its lease, so that the lease passes for sure and its tasks can run elsewhere. Nor does
    // one of a holder that may have been superseded, as its successor waits for the leases to pass.
    const leaseUntilMs =
      worker.clock === undefined || !isBusy || worker.misses > 0 || !options.isInForce()
        ? undefined
        : Math.round(estimateWorkerMs(worker.clock, sent.nowMs) + LEASE_MS);
    if (leaseUntilMs !== undefined) {
      planner.table.updateWorker(workerId, {
        leaseUntilMs: Math.max(worker.leaseUntilMs, leaseUntilMs),
      });
    }
    const outcome = await workers.renew(
      { id: workerId, address: worker.entry.address },
      {
        fencingToken,
        lastSeenEnd: worker.storedEnd,
        leaseUntilMs,
        waitMs: isBusy && worker.clock !== undefined ? POLL_MS : 0,
      },
    );
    if (isStopped) return;
    const at = readMoment();
    switch (outcome.kind) {
      case 'report': {
        const timed = { report: outcome.report, sentMs: sent.nowMs, heardMs: at.nowMs };
        options.handlePaces(planner.observeReport(workerId, timed, at));
        await options.handleReport(workerId, at);
        return;
      }
      case 'rejected':
        if (outcome.why === 'fenced') options.handleFenced();
        else if (outcome.why === 'other-life') planner.observeLifeEnd(workerId, 'other-life');
        else planner.observeMiss(workerId, at);
        await waitOrWake(RETRY_MS);
        return;
      case 'unknown':
        planner.observeMiss(workerId, at);
        await waitOrWake(RETRY_MS);
        return;
      default:
        outcome satisfies never;
    }
  };
  const run = async () => {
    while (!isStopped && planner.table.workers.has(workerId)) {
      await renew();
      const worker = planner.table.workers.get(workerId);
      const isIdle =
        worker !== undefined &&
        worker.clock !== undefined &&
        worker.misses === 0 &&
        worker.storedEnd >= worker.lastEnd &&
        worker.tasks.size + worker.strays.size === 0;
      if (isIdle) await waitOrWake(IDLE_MS);
    }
  };
  void run();
  return {
    wake: () => wakeUp?.(),
    stop: () => {
      isStopped = true;
      wakeUp?.();
    },
  };
}
