/**
 * The worker stand-in without its transport: runs tasks under leases by its own clock, applies
 * commands whose tokens are not superseded, and reports each run to `onEnd`. Tests and measurements
 * control the time, which is a parameter; a run that ended between two calls keeps its end time.
 */
import type {
  Resources,
  TaskLease,
  TaskReport,
  WorkerCommand,
} from 'vanilladock/lib/ports/workers.js';
import type { Behaviour, WorkerCore, WorkerOptions } from './worker-model.js';

interface TaskState {
  readonly lease: TaskLease;
  readonly size: Resources;
  readonly phase: TaskReport['phase'];
  readonly share: number;
  readonly expiresMs: number;
  readonly startMs: number;
  /** Time since which progress accrues at the current speed. */
  readonly sinceMs: number;
  readonly used: Resources;
  /** Time at which the ordered checkpoint completes; infinite if none was ordered. */
  readonly checkpointAtMs: number;
}

interface TaskEnd {
  readonly atMs: number;
  readonly phase: TaskReport['phase'];
}

const FAILURE_DELAY_MS = 1_000;
const CHECKPOINT_DURATION_MS = 2_000;
const MAX_KEPT_REPORTS = 32;
const TOKEN_RETENTION_MS = 30 * 60_000;
const EMPTY: Resources = { cores: 0, memoryMb: 0, accelerators: 0 };

/** Computes the usage that a task reports: its needs, limited to what it was granted. */
function computeUsage(granted: Resources, needs: Resources): Resources {
  return {
    cores: Math.min(granted.cores, needs.cores),
    memoryMb: Math.min(granted.memoryMb, needs.memoryMb),
    accelerators: Math.min(granted.accelerators, needs.accelerators),
  };
}

/** Creates a worker without its transport; it has no tasks and no faults. */
export function createWorkerCore(options: WorkerOptions): WorkerCore {
  const { workerId, capacity, clockRate, getWork, progress } = options;
  const tasks = new Map<number, TaskState>();
  const newestTokens = new Map<string, { readonly token: number; readonly atMs: number }>();
  const fences = new Map<string, number>();
  const reportTimes = new Map<string, number>();
  let behaviour: Behaviour = { isFailing: false, isPaused: false };
  let pausedSinceMs = 0;
  let reportCount = 0;
  let epoch = 0;

  const computeSpeed = ({ lease, size, share }: TaskState): number =>
    Math.min(1, (size.cores * share) / getWork(lease.taskId).needs.cores);

  /** Finds how and when a running task ends if no further command arrives. */
  const findEnd = (task: TaskState): TaskEnd => {
    const work = getWork(task.lease.taskId);
    const remainingMs = work.runMs - (progress.get(task.lease.taskId) ?? 0);
    const isShortOfMemory = task.size.memoryMb < work.needs.memoryMb;
    const isFailing = behaviour.isFailing || work.isFaulty || isShortOfMemory;
    const failAtMs = isFailing ? Math.max(task.startMs + FAILURE_DELAY_MS, task.sinceMs) : Infinity;
    const ends: readonly TaskEnd[] = [
      { atMs: task.expiresMs, phase: 'lapsed' },
      { atMs: failAtMs, phase: 'failed' },
      { atMs: task.checkpointAtMs, phase: 'checkpointed' },
      { atMs: task.sinceMs + remainingMs / computeSpeed(task), phase: 'succeeded' },
    ];
    return ends.reduce((earliest, end) => (end.atMs < earliest.atMs ? end : earliest));
  };

  const addProgress = (task: TaskState, atMs: number): void => {
    const { taskId } = task.lease;
    const gainedMs = Math.max(0, atMs - task.sinceMs) * computeSpeed(task);
    progress.set(taskId, (progress.get(taskId) ?? 0) + gainedMs);
  };

  /** Ends a task and reports its run; a failed or lapsed one loses its progress since `sinceMs`. */
  const closeTask = (token: number, task: TaskState, end: TaskEnd): void => {
    if (end.phase !== 'failed' && end.phase !== 'lapsed') addProgress(task, end.atMs);
    const { taskId } = task.lease;
    tasks.set(token, {
      ...task,
      phase: end.phase,
      used: computeUsage(task.size, getWork(taskId).needs),
    });
    options.onEnd({
      taskId,
      workerId,
      fencingToken: token,
      cores: task.size.cores,
      startMs: task.startMs,
      endMs: Math.max(task.startMs, end.atMs),
      phase: end.phase,
    });
  };

  const runUntil = (nowMs: number): void => {
    if (behaviour.isPaused) return;
    tasks.forEach((task, token) => {
      if (task.phase !== 'running') return;
      const end = findEnd(task);
      if (end.atMs <= nowMs) closeTask(token, task, end);
    });
  };

  /** Computes when a lease that starts at a report's time expires; -1 for an unknown report. */
  const computeExpiry = (reportId: string, durationMs: number): number => {
    const reportedAtMs = reportTimes.get(reportId);
    return reportedAtMs === undefined ? -1 : reportedAtMs + durationMs * clockRate;
  };

  /** Starts a task unless its lease has expired or its memory exceeds the free capacity. */
  const startTask = (lease: TaskLease, size: Resources, nowMs: number): 'done' | 'refused' => {
    if (tasks.has(lease.fencingToken)) return 'done';
    const expiresMs = computeExpiry(lease.reportId, lease.durationMs);
    if (expiresMs <= nowMs) return 'refused';
    const running = [...tasks.values()].filter(({ phase }) => phase === 'running');
    const memoryMb = running.reduce((sum, task) => sum + task.size.memoryMb, size.memoryMb);
    if (memoryMb > capacity.memoryMb) return 'refused';
    const times = { startMs: nowMs, sinceMs: nowMs, checkpointAtMs: Infinity, expiresMs };
    const used = computeUsage(size, getWork(lease.taskId).needs);
    tasks.set(lease.fencingToken, { lease, size, phase: 'running', share: 1, used, ...times });
    newestTokens.set(lease.taskId, { token: lease.fencingToken, atMs: nowMs });
    options.onStart(lease.taskId, nowMs);
    return 'done';
  };

  /** Changes a running task; any other task stays unchanged. */
  const updateTask = (token: number, change: (task: TaskState) => TaskState): 'done' => {
    const task = tasks.get(token);
    if (task?.phase === 'running') tasks.set(token, change(task));
    return 'done';
  };

  /** Stops a task; one that never started is recorded as stopped, so that it cannot start later. */
  const stopTask = (lease: TaskLease, nowMs: number): 'done' => {
    const task = tasks.get(lease.fencingToken);
    if (task?.phase === 'running') {
      closeTask(lease.fencingToken, task, { atMs: nowMs, phase: 'stopped' });
    }
    if (task !== undefined) return 'done';
    const newestToken = newestTokens.get(lease.taskId)?.token ?? -1;
    const token = Math.max(newestToken, lease.fencingToken);
    newestTokens.set(lease.taskId, { token, atMs: nowMs });
    const times = { startMs: nowMs, sinceMs: nowMs, expiresMs: nowMs, checkpointAtMs: Infinity };
    const stopped = { lease, size: EMPTY, used: EMPTY, phase: 'stopped', share: 1 } as const;
    tasks.set(lease.fencingToken, { ...stopped, ...times });
    return 'done';
  };

  const updateExpiry = (task: TaskState, reportId: string): TaskState => {
    const expiresMs = computeExpiry(reportId, task.lease.durationMs);
    return { ...task, expiresMs: Math.max(task.expiresMs, expiresMs) };
  };

  /** Renews the leases of running tasks of a duty and removes the settled tasks. */
  const refreshTasks = (duty: string, reportId: string, settled: readonly number[]): 'done' => {
    settled.forEach((token) => {
      if (tasks.get(token)?.phase !== 'running') tasks.delete(token);
    });
    tasks.forEach((task, token) => {
      const isRenewed = task.lease.duty === duty && task.phase === 'running';
      if (isRenewed) tasks.set(token, updateExpiry(task, reportId));
    });
    return 'done';
  };

  /** Whether a command is from a superseded planner or starts a superseded or used lease. */
  const isFenced = (command: WorkerCommand): boolean => {
    const { duty, plannerFence } = command.kind === 'renew-worker' ? command : command.lease;
    if (plannerFence < (fences.get(duty) ?? -1)) return true;
    fences.set(duty, plannerFence);
    if (command.kind !== 'start') return false;
    const { taskId, fencingToken } = command.lease;
    const newestToken = newestTokens.get(taskId)?.token ?? -1;
    const isUsed = fencingToken === newestToken && !tasks.has(fencingToken);
    return fencingToken < newestToken || isUsed;
  };

  /** Removes the tokens of tasks for which no valid command can arrive any more. */
  const dropTokens = (nowMs: number): void => {
    newestTokens.forEach(({ token, atMs }, taskId) => {
      if (!tasks.has(token) && nowMs - atMs > TOKEN_RETENTION_MS) newestTokens.delete(taskId);
    });
  };

  return {
    apply: (command, nowMs) => {
      runUntil(nowMs);
      if (isFenced(command)) return 'fenced';
      switch (command.kind) {
        case 'start':
          return startTask(command.lease, command.size, nowMs);
        case 'renew-worker':
          return refreshTasks(command.duty, command.reportId, command.settled);
        case 'renew':
          return updateTask(command.lease.fencingToken, (task) =>
            updateExpiry(task, command.lease.reportId),
          );
        case 'checkpoint':
          return updateTask(command.lease.fencingToken, (task) => ({
            ...task,
            checkpointAtMs: Math.min(task.checkpointAtMs, nowMs + CHECKPOINT_DURATION_MS),
          }));
        case 'throttle':
          return updateTask(command.lease.fencingToken, (task) => {
            addProgress(task, nowMs);
            return { ...task, share: command.share, sinceMs: nowMs };
          });
        case 'stop':
          return stopTask(command.lease, nowMs);
        default:
          return command satisfies never;
      }
    },
    report: (nowMs) => {
      runUntil(nowMs);
      reportCount += 1;
      if (reportCount % MAX_KEPT_REPORTS === 0) dropTokens(nowMs);
      const reportId = `${workerId}/${epoch}/${reportCount}`;
      reportTimes.set(reportId, nowMs);
      const [oldest] = reportTimes.keys();
      if (reportTimes.size > MAX_KEPT_REPORTS && oldest !== undefined) reportTimes.delete(oldest);
      const taskReports = [...tasks].map(([fencingToken, { lease, phase, used, share }]) => ({
        taskId: lease.taskId,
        fencingToken,
        phase,
        used,
        share,
      }));
      return { reportId, plannerFences: Object.fromEntries(fences), tasks: taskReports };
    },
    setBehaviour: (newBehaviour, nowMs) => {
      runUntil(nowMs);
      const wasPaused = behaviour.isPaused;
      behaviour = newBehaviour;
      if (newBehaviour.isPaused && !wasPaused) pausedSinceMs = nowMs;
      if (!wasPaused || newBehaviour.isPaused) return;
      tasks.forEach((task, token) => {
        if (task.phase !== 'running') return;
        if (task.expiresMs <= nowMs) {
          closeTask(token, task, { atMs: pausedSinceMs, phase: 'lapsed' });
        } else {
          const sinceMs = task.sinceMs + nowMs - Math.max(pausedSinceMs, task.sinceMs);
          tasks.set(token, { ...task, sinceMs });
        }
      });
    },
    stop: (nowMs) => {
      runUntil(nowMs);
      tasks.forEach((task, token) => {
        const end = { atMs: behaviour.isPaused ? pausedSinceMs : nowMs, phase: 'lapsed' } as const;
        if (task.phase === 'running') closeTask(token, task, end);
      });
      tasks.clear();
      newestTokens.clear();
      fences.clear();
      reportTimes.clear();
      epoch += 1;
    },
    isPaused: () => behaviour.isPaused,
  };
}
