/**
 * Renews the leases of one incarnation of a worker and collects its reports: by long polls while
 * tasks run there, so that each end is reported at once, and with pauses while the worker is idle.
 */
import type { Moment, Worker } from 'vanilladock/lib/jobs/state.js';
import type { PoolPlanner } from 'vanilladock/lib/jobs/pool-planner.js';
import { estimateWorkerMs, LEASE_MS } from 'vanilladock/lib/jobs/lease-clock.js';
import type { TaskWorkers } from 'vanilladock/lib/ports/task-workers.js';
import { readMoment } from './clock.js';
import { hasRuns } from 'vanilladock/lib/jobs/worker-runs.js';

/** Dependencies and settings of a loop. */
export interface WorkerLoopOptions {
  readonly workerId: string;
  /** Start of the incarnation, in milliseconds since 1970. */
  readonly bornMs: number;
  readonly planner: PoolPlanner;
  readonly workers: TaskWorkers;
  readonly fencingToken: number;
  /** Says whether orders may be given under the claim now. */
  readonly isInForce: () => boolean;
  /** Called after each report; resolves when the next renewal may be sent. */
  readonly handleReport: (workerId: string, receivedAt: Moment) => Promise<void>;
  /** Called with the pace changes that a report calls for, before `handleReport`. */
  readonly handlePaces: (actions: ReturnType<PoolPlanner['observeReport']>) => void;
  /** Called when the worker has rejected the fencing token for a later one. */
  readonly handleFenced: () => void;
}

/** Why a loop ended: it was stopped, or the planner no longer has the incarnation. */
export type WorkerLoopEnd = 'stopped' | 'worker-gone';

/** Renewal loop of one incarnation. */
export interface WorkerLoop {
  /** Ends the current pause, so that the next renewal is sent at once; else has no effect. */
  readonly wake: () => void;
  /** Ends the loop; the reply to a renewal in progress is ignored. */
  readonly stop: () => void;
  /**
   * Resolves once the loop sends no more renewals; rejects when the planner cannot apply a report,
   * after which it sends none either.
   */
  readonly ended: Promise<WorkerLoopEnd>;
}

/** Longest time that a worker delays its reply to a renewal while it waits for a task to end. */
const POLL_MS = 700;

/** Pause after a missing or rejecting reply. */
const RETRY_MS = 150;

/** Pause between renewals of an idle worker. */
const IDLE_PAUSE_MS = 2_000;

/**
 * Starts the loop of one incarnation; it ends by itself when the planner no longer has the worker,
 * or has another incarnation of it.
 */
export function startWorkerLoop(options: WorkerLoopOptions): WorkerLoop {
  const { workerId, bornMs, planner, workers, fencingToken } = options;
  let isStopped = false;
  let endPause: (() => void) | undefined;
  /** Whether the last answer was a report of this incarnation that lists ends. */
  let hasListedEnds = false;

  const findWorker = () => {
    const worker = planner.table.workers.get(workerId);
    return worker?.entry.bornMs === bornMs ? worker : undefined;
  };
  const waitOrWake = (ms: number) =>
    new Promise<void>((resolve) => {
      const timer = setTimeout(resolve, ms);
      timer.unref();
      endPause = () => {
        clearTimeout(timer);
        resolve();
      };
    });
  const renew = async (worker: Worker) => {
    const isBusy = hasRuns(worker);
    const sent = readMoment();
    // A renewal without a reply may have been carried out. While the worker is unresponsive, no
    // renewal extends its lease, so that the lease is certain to expire and its tasks can run
    // elsewhere. Nor does a renewal of a holder that may be superseded, as its successor waits for
    // the leases to expire.
    const leaseUntilMs =
      worker.clock === undefined || !isBusy || worker.missedReports > 0 || !options.isInForce()
        ? undefined
        : Math.round(estimateWorkerMs(worker.clock, sent.nowMs) + LEASE_MS);
    if (leaseUntilMs !== undefined) {
      planner.table.updateWorker(workerId, {
        leaseUntilMs: Math.max(worker.leaseUntilMs, leaseUntilMs),
        lastLeaseCallMs: sent.nowMs,
      });
    }
    const outcome = await workers.renew(
      { id: workerId, address: worker.entry.address },
      {
        fencingToken,
        // The next incarnation numbers its ends anew and would forget them, so that ends are named
        // only after a report that lists some.
        lastSeenEnd: hasListedEnds ? worker.storedEnd : 0,
        leaseUntilMs,
        waitMs: isBusy && worker.clock !== undefined ? POLL_MS : 0,
      },
    );
    if (isStopped) return;
    const receivedAt = readMoment();
    hasListedEnds = false;
    switch (outcome.kind) {
      case 'report': {
        const timedReport = {
          report: outcome.report,
          sentMs: sent.nowMs,
          receivedMs: receivedAt.nowMs,
        };
        options.handlePaces(planner.observeReport(workerId, timedReport, receivedAt));
        const { ended, bornMs: reportedMs = bornMs } = outcome.report;
        hasListedEnds = reportedMs === bornMs && ended.length > 0;
        await options.handleReport(workerId, receivedAt);
        return;
      }
      case 'rejected':
        if (outcome.why === 'fenced') options.handleFenced();
        else if (outcome.why === 'other-life')
          planner.observeIncarnationEnd(workerId, bornMs, receivedAt);
        else planner.observeMissedReport(workerId, receivedAt, 'answered');
        await waitOrWake(RETRY_MS);
        return;
      case 'unknown':
        planner.observeMissedReport(
          workerId,
          receivedAt,
          outcome.isRefused === true ? 'refused' : 'unanswered',
        );
        await waitOrWake(RETRY_MS);
        return;
      default:
        outcome satisfies never;
    }
  };
  const run = async (): Promise<WorkerLoopEnd> => {
    for (;;) {
      const known = findWorker();
      if (known === undefined) return 'worker-gone';
      if (isStopped) return 'stopped';
      await renew(known);
      const worker = findWorker();
      const isIdle =
        worker !== undefined &&
        worker.clock !== undefined &&
        worker.missedReports === 0 &&
        worker.storedEnd >= worker.lastEnd &&
        !hasRuns(worker);
      if (isIdle) await waitOrWake(IDLE_PAUSE_MS);
    }
  };
  return {
    ended: run(),
    wake: () => endPause?.(),
    stop: () => {
      isStopped = true;
      endPause?.();
    },
  };
}
