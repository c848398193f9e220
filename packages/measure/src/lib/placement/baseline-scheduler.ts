/**
 * The baseline of the placement measurement: first in, first out in each pool, first fit on declared
 * sizes, no quotas, no quarantine, no urgency, retries without end, and tasks of a worker that has been
 * silent for a while start elsewhere at once. It does nothing while the store is down.
 */
import type { Resources, WorkerReport } from 'vanilladock';
import type { PoolView } from 'vanilladock/lib/placement/plan-input.js';
import type { Scheduler, SendCommand } from './scheduler.js';
import type { WorkTask } from './workload.js';
import { addResources, isWithin, removeResources } from 'vanilladock/lib/placement/resources.js';

const SILENT_MS = 15_000;
const DECISION_DELAY_MS = 500;
const RETRY_DELAY_MS = 5_000;

interface Placed {
  readonly task: WorkTask;
  readonly workerId: string;
  readonly token: number;
}

interface KnownWorker {
  readonly free: Resources;
  readonly report: WorkerReport | undefined;
  readonly seenMs: number;
}

/** Creates the baseline. */
export function createBaselineScheduler(pools: readonly PoolView[], send: SendCommand): Scheduler {
  const queues = new Map(
    pools.map(({ name }) => [name, [] as { readonly task: WorkTask; readonly readyMs: number }[]]),
  );
  const workers = new Map<string, KnownWorker>(
    pools.flatMap((pool) =>
      pool.workers.map(({ id, capacity }) => [
        id,
        { free: capacity, report: undefined, seenMs: 0 },
      ]),
    ),
  );
  const placed = new Map<string, Placed>();
  const byWorker = new Map<string, Set<string>>([...workers.keys()].map((id) => [id, new Set()]));
  const accepted = new Set<string>();
  const cancelled = new Set<string>();
  let token = 0;
  let isStoreUp = true;

  const release = (item: Placed): void => {
    placed.delete(item.task.taskId);
    byWorker.get(item.workerId)?.delete(item.task.taskId);
    const known = workers.get(item.workerId);
    if (known === undefined) return;
    const free = addResources(known.free, item.task.declared);
    workers.set(item.workerId, { ...known, free });
  };

  const append = (task: WorkTask, nowMs: number, delayMs = DECISION_DELAY_MS): void => {
    if (cancelled.has(task.taskId)) return;
    queues.get(task.pool)?.push({ task, readyMs: nowMs + delayMs });
  };

  const sendLease = (kind: 'start' | 'stop', { task, workerId, token: fencingToken }: Placed) => {
    const reportId = workers.get(workerId)?.report?.reportId ?? '';
    const fence = { duty: 'baseline', plannerFence: 0, reportId };
    const lease = { taskId: task.taskId, fencingToken, durationMs: 30_000, ...fence };
    send(workerId, { kind, lease, size: task.declared }, () => undefined);
  };

  const startTask = (pool: PoolView, task: WorkTask, nowMs: number): boolean => {
    const chosen = pool.workers.find(({ id }) => {
      const known = workers.get(id);
      if (known === undefined || known.report === undefined) return false;
      return nowMs - known.seenMs < SILENT_MS && isWithin(task.declared, known.free);
    });
    const known = chosen && workers.get(chosen.id);
    if (chosen === undefined || known === undefined) return false;
    token += 1;
    workers.set(chosen.id, { ...known, free: removeResources(known.free, task.declared) });
    const item = { task, workerId: chosen.id, token };
    placed.set(task.taskId, item);
    byWorker.get(chosen.id)?.add(task.taskId);
    sendLease('start', item);
    return true;
  };

  const runPool = (pool: PoolView, nowMs: number): void => {
    const queue = queues.get(pool.name) ?? [];
    let taken = 0;
    for (const { task, readyMs } of queue) {
      const isNever = !pool.workers.some(({ capacity }) => isWithin(task.declared, capacity));
      const isDropped = isNever || cancelled.has(task.taskId);
      if (readyMs > nowMs || (!isDropped && !startTask(pool, task, nowMs))) break;
      if (isNever) accepted.delete(task.taskId);
      taken += 1;
    }
    queue.splice(0, taken);
  };

  const releaseSilent = (nowMs: number): void => {
    workers.forEach(({ seenMs }, workerId) => {
      if (nowMs - seenMs < SILENT_MS) return;
      [...(byWorker.get(workerId) ?? [])].forEach((taskId) => {
        const item = placed.get(taskId);
        if (item === undefined) return;
        release(item);
        append(item.task, nowMs);
      });
    });
  };

  return {
    takeTask: (task, nowMs) => {
      if (!isStoreUp) return 'store-unavailable';
      accepted.add(task.taskId);
      append(task, nowMs);
      return undefined;
    },
    cancelTask: (taskId) => {
      cancelled.add(taskId);
      const item = placed.get(taskId);
      if (item !== undefined) sendLease('stop', item);
    },
    observeReport: (workerId, report, nowMs) => {
      const known = workers.get(workerId);
      if (known === undefined || !isStoreUp) return;
      workers.set(workerId, { ...known, report, seenMs: nowMs });
      const settled = report.tasks.filter(({ phase }) => phase !== 'running');
      settled.forEach(({ taskId, fencingToken, phase }) => {
        const item = placed.get(taskId);
        if (item?.token !== fencingToken) return;
        release(item);
        if (phase !== 'succeeded') append(item.task, nowMs, RETRY_DELAY_MS);
      });
      const command = {
        kind: 'renew-worker',
        duty: 'baseline',
        plannerFence: 0,
        reportId: report.reportId,
        settled: settled.map(({ fencingToken }) => fencingToken),
      } as const;
      send(workerId, command, () => undefined);
    },
    runRound: (nowMs) => {
      if (!isStoreUp) return;
      releaseSilent(nowMs);
      pools.forEach((pool) => runPool(pool, nowMs));
    },
    setStoreUp: (isUp) => {
      isStoreUp = isUp;
    },
    pauseEntry: () => undefined,
    isAccepted: (taskId) => accepted.has(taskId),
  };
}
