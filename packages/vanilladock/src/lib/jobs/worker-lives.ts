/**
 * Lives of a pool's workers: which there are, which have ended, and which may still run tasks of an
 * earlier planner.
 */
import type { WorkerEntry } from '../ports/task-workers.js';
import { SUCCESSION_MS } from '../duties/authority.js';
import { releaseTask } from './apply-ends.js';
import { CLOCK_DRIFT, hasLeasePassed, LEASE_MS } from './lease-clock.js';
import type { PoolContext } from './pool-context.js';
import type { Moment, Worker } from './state.js';

/** What a successor knows of its predecessor's workers. */
export interface LivesOptions {
  /** Workers that may hold leases from an earlier planner. */
  readonly inheritedWorkers: readonly string[];
  /** When the successor's claim was known to be stored, or later. */
  readonly claimedMs: number;
}

/** Lives of workers. */
export interface WorkerLives {
  readonly observeEntries: (entries: readonly WorkerEntry[], at: Moment) => void;
  readonly observeMiss: (workerId: string, at: Moment) => void;
  readonly observeLifeEnd: (workerId: string, why: LifeEnd) => void;
  /** Keeps a worker free of new tasks for a while, also one whose entry comes later. */
  readonly markLeaving: (workerId: string, at: Moment) => void;
  readonly observeNewLife: (worker: Worker, bornMs: number) => void;
  /** Notes a report; one that was asked for before the earlier planner had stopped settles nothing. */
  readonly markHeard: (workerId: string, sentMs: number) => void;
  /** Takes back the tasks of silent workers whose leases have surely passed. */
  readonly releaseSilent: (nowMs: number) => void;
  /** Notes that the planner before this one gives no more orders. */
  readonly observePredecessorStopped: (nowMs: number) => void;
  /** Says whether leases of an earlier planner may last. */
  readonly isWithinDoubt: (nowMs: number) => boolean;
  /** Says whether an earlier planner may still give orders, or a worker with such a lease was not heard yet. */
  readonly isInheritanceDoubtful: (nowMs: number) => boolean;
  readonly listLeaseHolders: () => readonly string[];
}

/** Why a life ended: an order for its instance ended it, or another life answers at its address. */
export type LifeEnd = 'ordered' | 'other-life';

/** An order to empty a worker holds for this long after it was last given. */
const EVACUATION_MS = 3_000;

/** Extra wait for leases of an earlier planner beyond their length. */
const INHERITED_SLACK_MS = 200;

/** Creates the lives of a pool's workers. */
export function createWorkerLives(context: PoolContext, options: LivesOptions): WorkerLives {
  const { table, report } = context;
  const unheard = new Set(options.inheritedWorkers);
  const endedLives = new Map<string, number>();
  /** Until when workers take no task, by id; some have no entry yet. */
  const leavingUntilMs = new Map<string, number>();
  let predecessorUntilMs = options.claimedMs + SUCCESSION_MS;
  const getDoubtUntilMs = () =>
    predecessorUntilMs + LEASE_MS / (1 - CLOCK_DRIFT) + INHERITED_SLACK_MS;

  const dropWorker = (worker: Worker, why: string) => {
    report({
      event: 'worker-lost',
      worker: worker.entry.id,
      why,
      tasks: worker.tasks.size,
      silentMs: worker.misses,
    });
    [...worker.tasks].forEach((key) => {
      const task = table.findTask(key);
      if (task !== undefined) releaseTask(context, task);
    });
    table.dropWorker(worker.entry.id);
    unheard.delete(worker.entry.id);
  };
  const observeLifeEnd = (workerId: string, why: LifeEnd) => {
    const worker = table.workers.get(workerId);
    if (worker !== undefined) {
      if (why === 'ordered') endedLives.set(workerId, worker.entry.bornMs);
      dropWorker(worker, why);
    }
    unheard.delete(workerId);
  };
  /** The entry of a life that an order has ended stays listed for some seconds. */
  const isOver = ({ id, bornMs }: WorkerEntry) => bornMs > 0 && endedLives.get(id) === bornMs;
  const observeEntry = (entry: WorkerEntry) => {
    if (isOver(entry)) return;
    const known = table.workers.get(entry.id);
    if (known !== undefined && known.entry.bornMs !== entry.bornMs) {
      if (known.entry.bornMs > entry.bornMs) return;
      dropWorker(known, 'new-life');
    }
    if (table.workers.has(entry.id)) table.updateWorker(entry.id, { entry, isListed: true });
    else {
      table.addWorker(entry);
      table.updateWorker(entry.id, { evacuateUntilMs: leavingUntilMs.get(entry.id) ?? 0 });
      report({
        event: 'worker-seen',
        worker: entry.id,
        bornMs: entry.bornMs,
        address: entry.address,
        rack: entry.rack,
        phase: entry.phase,
      });
    }
  };
  const releaseSilent = (nowMs: number) => {
    [...table.workers.values()].forEach((worker) => {
      const isSilent =
        worker.misses > 0 && hasLeasePassed(worker.clock, worker.leaseUntilMs, nowMs);
      const hasLeft = !worker.isListed && worker.tasks.size === 0;
      if (isSilent && (worker.tasks.size > 0 || worker.strays.size > 0)) {
        [...worker.tasks].forEach((key) => {
          const task = table.findTask(key);
          if (task !== undefined) releaseTask(context, task);
        });
        worker.strays.clear();
        table.refreshLoad(worker.entry.id);
        report({ event: 'worker-leases-passed', worker: worker.entry.id });
      }
      if (hasLeft && (worker.misses > 0 || worker.strays.size === 0)) {
        table.dropWorker(worker.entry.id);
      }
    });
  };
  return {
    observeEntries: (entries, { nowMs }) => {
      entries.forEach(observeEntry);
      const ids = new Set(entries.map((entry) => entry.id));
      [...endedLives.keys()].filter((id) => !ids.has(id)).forEach((id) => endedLives.delete(id));
      table.workers.forEach((worker, id) => {
        if (ids.has(id) || !worker.isListed) return;
        table.updateWorker(id, { isListed: false });
        report({
          event: 'worker-unlisted',
          worker: id,
          answeredAgoMs: Math.round(nowMs - worker.answeredMs),
        });
      });
    },
    observeMiss: (workerId, { nowMs }) => {
      const worker = table.workers.get(workerId);
      if (worker === undefined) return;
      const answeredAgoMs = Math.round(nowMs - worker.answeredMs);
      if (worker.misses === 0) {
        report({ event: 'worker-silent', worker: workerId, answeredAgoMs });
      }
      table.updateWorker(workerId, { misses: worker.misses + 1 });
    },
    observeLifeEnd,
    markLeaving: (workerId, { nowMs }) => {
      const untilMs = nowMs + EVACUATION_MS;
      [...leavingUntilMs]
        .filter(([, endMs]) => endMs < nowMs)
        .forEach(([id]) => leavingUntilMs.delete(id));
      leavingUntilMs.set(workerId, untilMs);
      table.updateWorker(workerId, { evacuateUntilMs: untilMs });
    },
    observeNewLife: (worker, bornMs) => {
      dropWorker(worker, 'new-life');
      table.addWorker({ ...worker.entry, bornMs });
    },
    markHeard: (workerId, sentMs) => {
      if (sentMs >= predecessorUntilMs) unheard.delete(workerId);
    },
    releaseSilent: (nowMs) => {
      if (nowMs > getDoubtUntilMs()) unheard.clear();
      releaseSilent(nowMs);
    },
    observePredecessorStopped: (nowMs) => {
      predecessorUntilMs = Math.min(predecessorUntilMs, nowMs);
    },
    isWithinDoubt: (nowMs) => nowMs < getDoubtUntilMs(),
    isInheritanceDoubtful: (nowMs) =>
      nowMs < predecessorUntilMs || (unheard.size > 0 && nowMs < getDoubtUntilMs()),
    listLeaseHolders: () => [...new Set([...table.workers.keys(), ...unheard])],
  };
}
