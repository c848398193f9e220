/**
 * The baseline scheduler of the placement measurement: a FIFO queue for each pool, first fit on
 * declared sizes, no quotas, no quarantine, no urgency and unlimited retries. It restarts the tasks
 * of an unresponsive worker elsewhere at once, and it does nothing while the store is unavailable.
 */
import type { Resources, WorkerReport } from 'vanilladock';
import type { PoolView } from 'vanilladock/lib/placement/plan-input.js';
import type { Scheduler, SendCommand } from './scheduler.js';
import type { WorkTask } from './workload.js';
import { addResources, isWithin, subtractResources } from 'vanilladock/lib/placement/resources.js';

const UNRESPONSIVE_MS = 15_000;
const DECISION_DELAY_MS = 500;
const RETRY_DELAY_MS = 10_000;

/** A task that was started on a worker, with the fencing token of that start. */
interface PlacedTask {
  readonly task: WorkTask;
  readonly workerId: string;
  readonly token: number;
}

/** What the scheduler knows about a worker. */
interface WorkerState {
  /** Capacity less the declared sizes of the tasks placed on it. */
  readonly free: Resources;
  readonly report: WorkerReport | undefined;
  readonly lastReportMs: number;
}

/** Creates the baseline scheduler. */
export function createBaselineScheduler(pools: readonly PoolView[], send: SendCommand): Scheduler {
  const queues = new Map(
    pools.map(({ name }) => [name, [] as { readonly task: WorkTask; readonly readyMs: number }[]]),
  );
  const workers = new Map<string, WorkerState>(
    pools.flatMap((pool) =>
      pool.workers.map(({ id, capacity }) => [
        id,
        { free: capacity, report: undefined, lastReportMs: 0 },
      ]),
    ),
  );
  const placedTasks = new Map<string, PlacedTask>();
  const taskIdsByWorker = new Map<string, Set<string>>(
    [...workers.keys()].map((id) => [id, new Set()]),
  );
  const accepted = new Set<string>();
  const cancelled = new Set<string>();
  let token = 0;
  let isStoreAvailable = true;

  const release = (placedTask: PlacedTask): void => {
    placedTasks.delete(placedTask.task.taskId);
    taskIdsByWorker.get(placedTask.workerId)?.delete(placedTask.task.taskId);
    const worker = workers.get(placedTask.workerId);
    if (worker === undefined) return;
    const free = addResources(worker.free, placedTask.task.declared);
    workers.set(placedTask.workerId, { ...worker, free });
  };

  const addToQueue = (task: WorkTask, nowMs: number, delayMs = DECISION_DELAY_MS): void => {
    if (cancelled.has(task.taskId)) return;
    queues.get(task.pool)?.push({ task, readyMs: nowMs + delayMs });
  };

  const sendLease = (
    kind: 'start' | 'stop',
    { task, workerId, token: fencingToken }: PlacedTask,
  ) => {
    const reportId = workers.get(workerId)?.report?.reportId ?? '';
    const fence = { duty: 'baseline', plannerFence: 0, reportId };
    const lease = { taskId: task.taskId, fencingToken, durationMs: 30_000, ...fence };
    send(workerId, { kind, lease, size: task.declared }, () => undefined);
  };

  const startTask = (pool: PoolView, task: WorkTask, nowMs: number): boolean => {
    const chosen = pool.workers.find(({ id }) => {
      const worker = workers.get(id);
      if (worker === undefined || worker.report === undefined) return false;
      return nowMs - worker.lastReportMs < UNRESPONSIVE_MS && isWithin(task.declared, worker.free);
    });
    const worker = chosen && workers.get(chosen.id);
    if (chosen === undefined || worker === undefined) return false;
    token += 1;
    workers.set(chosen.id, { ...worker, free: subtractResources(worker.free, task.declared) });
    const placedTask = { task, workerId: chosen.id, token };
    placedTasks.set(task.taskId, placedTask);
    taskIdsByWorker.get(chosen.id)?.add(task.taskId);
    sendLease('start', placedTask);
    return true;
  };

  const runPool = (pool: PoolView, nowMs: number): void => {
    const queue = queues.get(pool.name) ?? [];
    let removedCount = 0;
    for (const { task, readyMs } of queue) {
      const isUnrunnable = !pool.workers.some(({ capacity }) => isWithin(task.declared, capacity));
      const isDropped = isUnrunnable || cancelled.has(task.taskId);
      if (readyMs > nowMs || (!isDropped && !startTask(pool, task, nowMs))) break;
      if (isUnrunnable) accepted.delete(task.taskId);
      removedCount += 1;
    }
    queue.splice(0, removedCount);
  };

  const releaseUnresponsive = (nowMs: number): void => {
    workers.forEach(({ lastReportMs }, workerId) => {
      if (nowMs - lastReportMs < UNRESPONSIVE_MS) return;
      [...(taskIdsByWorker.get(workerId) ?? [])].forEach((taskId) => {
        const placedTask = placedTasks.get(taskId);
        if (placedTask === undefined) return;
        release(placedTask);
        addToQueue(placedTask.task, nowMs);
      });
    });
  };

  return {
    submitTask: (task, nowMs) => {
      if (!isStoreAvailable) return 'store-unavailable';
      accepted.add(task.taskId);
      addToQueue(task, nowMs);
      return undefined;
    },
    cancelTask: (taskId) => {
      cancelled.add(taskId);
      const placedTask = placedTasks.get(taskId);
      if (placedTask !== undefined) sendLease('stop', placedTask);
    },
    observeReport: (workerId, report, nowMs) => {
      const worker = workers.get(workerId);
      if (worker === undefined || !isStoreAvailable) return;
      workers.set(workerId, { ...worker, report, lastReportMs: nowMs });
      const settled = report.tasks.filter(({ phase }) => phase !== 'running');
      settled.forEach(({ taskId, fencingToken, phase }) => {
        const placedTask = placedTasks.get(taskId);
        if (placedTask?.token !== fencingToken) return;
        release(placedTask);
        if (phase !== 'succeeded') addToQueue(placedTask.task, nowMs, RETRY_DELAY_MS);
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
      if (!isStoreAvailable) return;
      releaseUnresponsive(nowMs);
      pools.forEach((pool) => runPool(pool, nowMs));
    },
    setStoreAvailable: (isAvailable) => {
      isStoreAvailable = isAvailable;
    },
    pauseEntry: () => undefined,
    isAccepted: (taskId) => accepted.has(taskId),
  };
}
