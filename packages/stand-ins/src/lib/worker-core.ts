/**
 * What a worker does, without its transport: runs tasks under leases by its own clock, obeys commands
 * whose tokens are not superseded, and keeps a ledger of what really ran. Time is a parameter, so that
 * tests and measurements can drive it; ends that fell between two calls are stamped with their own time.
 */
import type {
  Resources,
  TaskLease,
  TaskReport,
  WorkerCommand,
  WorkerReport,
} from 'vanilladock/lib/ports/workers.js';

/** What a task really needs, as opposed to what was declared. */
export interface Work {
  readonly needs: Resources;
  /** Running time in milliseconds with all the cores that it needs. */
  readonly runMs: number;
  /** Whether it fails wherever it runs. */
  readonly isFaulty: boolean;
}

/** One span of time in which a task ran. */
export interface LedgerEntry {
  readonly taskId: string;
  readonly workerId: string;
  readonly fencingToken: number;
  readonly cores: number;
  readonly startMs: number;
  readonly endMs: number;
  readonly phase: TaskReport['phase'];
}

/** Settings of a worker. */
export interface WorkerOptions {
  readonly workerId: string;
  readonly capacity: Resources;
  /** Rate of the true clock against the worker's own. */
  readonly clockRate: number;
  readonly getWork: (taskId: string) => Work;
  /** Progress of tasks in milliseconds of full speed, kept across checkpoints. */
  readonly progress: Map<string, number>;
  readonly onStart: (taskId: string, atMs: number) => void;
  readonly onEnd: (entry: LedgerEntry) => void;
}

/** How a worker misbehaves. */
export interface Behaviour {
  /** Every task fails soon after its start. */
  readonly isFailing: boolean;
  /** The worker does nothing and answers nothing. */
  readonly isPaused: boolean;
}

/** A worker without its transport. Times are in milliseconds. */
export interface WorkerCore {
  readonly apply: (command: WorkerCommand, nowMs: number) => 'done' | 'refused' | 'fenced';
  readonly report: (nowMs: number) => WorkerReport;
  readonly setBehaviour: (behaviour: Behaviour, nowMs: number) => void;
  /** Ends everything at once, as by a loss of power, and forgets it. */
  readonly stop: (nowMs: number) => void;
  readonly isPaused: () => boolean;
}

interface Held {
  readonly lease: TaskLease;
  readonly size: Resources;
  readonly phase: TaskReport['phase'];
  readonly share: number;
  readonly expiresMs: number;
  /** Start of the ledger entry. */
  readonly startMs: number;
  /** From when progress is counted at the present speed. */
  readonly sinceMs: number;
  readonly used: Resources;
  readonly checkpointAtMs: number;
}

interface End {
  readonly atMs: number;
  readonly phase: TaskReport['phase'];
}

const FAIL_AFTER_MS = 1_000;
const CHECKPOINT_MS = 2_000;
const REPORTS_KEPT = 32;
const TOKEN_KEPT_MS = 30 * 60_000;
const NOTHING: Resources = { cores: 0, memoryMb: 0, accelerators: 0 };

/** Computes the usage that a task shows: what it needs, within what it was granted. */
function computeUsage(granted: Resources, needs: Resources): Resources {
  return {
    cores: Math.min(granted.cores, needs.cores),
    memoryMb: Math.min(granted.memoryMb, needs.memoryMb),
    accelerators: Math.min(granted.accelerators, needs.accelerators),
  };
}

/** Creates a worker without its transport. */
export function createWorkerCore(options: WorkerOptions): WorkerCore {
  const { workerId, capacity, clockRate, getWork, progress } = options;
  const held = new Map<number, Held>();
  const newestTokens = new Map<string, { readonly token: number; readonly atMs: number }>();
  const fences = new Map<string, number>();
  const reportTimes = new Map<string, number>();
  let behaviour: Behaviour = { isFailing: false, isPaused: false };
  let pausedSinceMs = 0;
  let reports = 0;
  let epoch = 0;

  const computeSpeed = ({ lease, size, share }: Held): number =>
    Math.min(1, (size.cores * share) / getWork(lease.taskId).needs.cores);

  /** Finds how and when a running task ends if nothing changes. */
  const findEnd = (task: Held): End => {
    const work = getWork(task.lease.taskId);
    const left = work.runMs - (progress.get(task.lease.taskId) ?? 0);
    const isShort = task.size.memoryMb < work.needs.memoryMb;
    const isFailing = behaviour.isFailing || work.isFaulty || isShort;
    const failMs = isFailing ? Math.max(task.startMs + FAIL_AFTER_MS, task.sinceMs) : Infinity;
    const ends: readonly End[] = [
      { atMs: task.expiresMs, phase: 'lapsed' },
      { atMs: failMs, phase: 'failed' },
      { atMs: task.checkpointAtMs, phase: 'checkpointed' },
      { atMs: task.sinceMs + left / computeSpeed(task), phase: 'succeeded' },
    ];
    return ends.reduce((first, end) => (end.atMs < first.atMs ? end : first));
  };

  const addProgress = (task: Held, atMs: number): void => {
    const { taskId } = task.lease;
    const gained = Math.max(0, atMs - task.sinceMs) * computeSpeed(task);
    progress.set(taskId, (progress.get(taskId) ?? 0) + gained);
  };

  /** Ends a task and writes it to the ledger; what a failed or lapsed one did is lost. */
  const closeTask = (token: number, task: Held, end: End): void => {
    if (end.phase !== 'failed' && end.phase !== 'lapsed') addProgress(task, end.atMs);
    const { taskId } = task.lease;
    held.set(token, {
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
    held.forEach((task, token) => {
      if (task.phase !== 'running') return;
      const end = findEnd(task);
      if (end.atMs <= nowMs) closeTask(token, task, end);
    });
  };

  /** Computes when a lease that counts from a report runs out; -1 for an unknown report. */
  const computeExpiry = (reportId: string, durationMs: number): number => {
    const madeMs = reportTimes.get(reportId);
    return madeMs === undefined ? -1 : madeMs + durationMs * clockRate;
  };

  /** Starts a task unless it is known, late or too large. */
  const startTask = (lease: TaskLease, size: Resources, nowMs: number): 'done' | 'refused' => {
    if (held.has(lease.fencingToken)) return 'done';
    const expiresMs = computeExpiry(lease.reportId, lease.durationMs);
    if (expiresMs <= nowMs) return 'refused';
    const running = [...held.values()].filter(({ phase }) => phase === 'running');
    const memoryMb = running.reduce((sum, task) => sum + task.size.memoryMb, size.memoryMb);
    if (memoryMb > capacity.memoryMb) return 'refused';
    const times = { startMs: nowMs, sinceMs: nowMs, checkpointAtMs: Infinity, expiresMs };
    const used = computeUsage(size, getWork(lease.taskId).needs);
    held.set(lease.fencingToken, { lease, size, phase: 'running', share: 1, used, ...times });
    newestTokens.set(lease.taskId, { token: lease.fencingToken, atMs: nowMs });
    options.onStart(lease.taskId, nowMs);
    return 'done';
  };

  /** Changes a running task; one that is not running stays as it is. */
  const updateTask = (token: number, change: (task: Held) => Held): 'done' => {
    const task = held.get(token);
    if (task?.phase === 'running') held.set(token, change(task));
    return 'done';
  };

  /** Stops a task; one that never started is remembered as stopped. */
  const stopTask = (lease: TaskLease, nowMs: number): 'done' => {
    const task = held.get(lease.fencingToken);
    if (task?.phase === 'running') {
      closeTask(lease.fencingToken, task, { atMs: nowMs, phase: 'stopped' });
    }
    if (task !== undefined) return 'done';
    const newest = newestTokens.get(lease.taskId)?.token ?? -1;
    const token = Math.max(newest, lease.fencingToken);
    newestTokens.set(lease.taskId, { token, atMs: nowMs });
    const times = { startMs: nowMs, sinceMs: nowMs, expiresMs: nowMs, checkpointAtMs: Infinity };
    const stopped = { lease, size: NOTHING, used: NOTHING, phase: 'stopped', share: 1 } as const;
    held.set(lease.fencingToken, { ...stopped, ...times });
    return 'done';
  };

  const updateExpiry = (task: Held, reportId: string): Held => {
    const expiresMs = computeExpiry(reportId, task.lease.durationMs);
    return { ...task, expiresMs: Math.max(task.expiresMs, expiresMs) };
  };

  /** Renews the leases that were started under a duty, and forgets settled ones. */
  const refreshTasks = (duty: string, reportId: string, settled: readonly number[]): 'done' => {
    settled.forEach((token) => {
      if (held.get(token)?.phase !== 'running') held.delete(token);
    });
    held.forEach((task, token) => {
      const isRenewed = task.lease.duty === duty && task.phase === 'running';
      if (isRenewed) held.set(token, updateExpiry(task, reportId));
    });
    return 'done';
  };

  /** Says whether a command comes from a superseded planner or concerns a superseded or used lease. */
  const isFenced = (command: WorkerCommand): boolean => {
    const { duty, plannerFence } = command.kind === 'renew-worker' ? command : command.lease;
    if (plannerFence < (fences.get(duty) ?? -1)) return true;
    fences.set(duty, plannerFence);
    if (command.kind !== 'start') return false;
    const { taskId, fencingToken } = command.lease;
    const newest = newestTokens.get(taskId)?.token ?? -1;
    const isUsed = fencingToken === newest && !held.has(fencingToken);
    return fencingToken < newest || isUsed;
  };

  /** Forgets tokens of tasks for which no command can be valid any more. */
  const dropTokens = (nowMs: number): void => {
    newestTokens.forEach(({ token, atMs }, taskId) => {
      if (!held.has(token) && nowMs - atMs > TOKEN_KEPT_MS) newestTokens.delete(taskId);
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
            checkpointAtMs: Math.min(task.checkpointAtMs, nowMs + CHECKPOINT_MS),
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
      reports += 1;
      if (reports % REPORTS_KEPT === 0) dropTokens(nowMs);
      const reportId = `${workerId}/${epoch}/${reports}`;
      reportTimes.set(reportId, nowMs);
      const [oldest] = reportTimes.keys();
      if (reportTimes.size > REPORTS_KEPT && oldest !== undefined) reportTimes.delete(oldest);
      const tasks = [...held].map(([fencingToken, { lease, phase, used, share }]) => ({
        taskId: lease.taskId,
        fencingToken,
        phase,
        used,
        share,
      }));
      return { reportId, plannerFences: Object.fromEntries(fences), tasks };
    },
    setBehaviour: (next, nowMs) => {
      runUntil(nowMs);
      const wasPaused = behaviour.isPaused;
      behaviour = next;
      if (next.isPaused && !wasPaused) pausedSinceMs = nowMs;
      if (!wasPaused || next.isPaused) return;
      held.forEach((task, token) => {
        if (task.phase !== 'running') return;
        if (task.expiresMs <= nowMs) {
          closeTask(token, task, { atMs: pausedSinceMs, phase: 'lapsed' });
        } else {
          const sinceMs = task.sinceMs + nowMs - Math.max(pausedSinceMs, task.sinceMs);
          held.set(token, { ...task, sinceMs });
        }
      });
    },
    stop: (nowMs) => {
      runUntil(nowMs);
      held.forEach((task, token) => {
        const end = { atMs: behaviour.isPaused ? pausedSinceMs : nowMs, phase: 'lapsed' } as const;
        if (task.phase === 'running') closeTask(token, task, end);
      });
      held.clear();
      newestTokens.clear();
      fences.clear();
      reportTimes.clear();
      epoch += 1;
    },
    isPaused: () => behaviour.isPaused,
  };
}
