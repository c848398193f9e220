/** What the worker stand-in runs, how it fails, and what it offers to its transport. */
import type {
  Resources,
  TaskReport,
  WorkerCommand,
  WorkerReport,
} from 'vanilladock/lib/ports/workers.js';

/** The true needs of a task, as opposed to the declared ones. */
export interface Work {
  readonly needs: Resources;
  /** Running time with all the cores that it needs, in milliseconds. */
  readonly runMs: number;
  /** Whether the task fails on every worker. */
  readonly isFaulty: boolean;
}

/** One run of a task, from its start to its end. Times are in milliseconds by the `nowMs` clock. */
export interface TaskRun {
  readonly taskId: string;
  readonly workerId: string;
  readonly fencingToken: number;
  /** Cores granted to the run, not those that the task needs. */
  readonly cores: number;
  readonly startMs: number;
  readonly endMs: number;
  /** How the run ended: `succeeded`, `failed`, `checkpointed`, `stopped` or `lapsed`. */
  readonly phase: TaskReport['phase'];
}

/** Options of a worker. */
export interface WorkerOptions {
  readonly workerId: string;
  readonly capacity: Resources;
  /** Rate of the clock behind `nowMs`, relative to the worker's own clock. */
  readonly clockRate: number;
  readonly getWork: (taskId: string) => Work;
  /** Progress by task id, in milliseconds at full speed; it survives checkpoints. */
  readonly progress: Map<string, number>;
  readonly onStart: (taskId: string, atMs: number) => void;
  readonly onEnd: (run: TaskRun) => void;
}

/** Faults of a worker. */
export interface Behaviour {
  /** Whether every task fails `FAILURE_DELAY_MS` after its start; one that ran longer, at once. */
  readonly isFailing: boolean;
  /** Whether the worker makes no progress and answers nothing. */
  readonly isPaused: boolean;
}

/** A worker without its transport. Times are in milliseconds. */
export interface WorkerCore {
  readonly apply: (command: WorkerCommand, nowMs: number) => 'done' | 'refused' | 'fenced';
  readonly report: (nowMs: number) => WorkerReport;
  readonly setBehaviour: (behaviour: Behaviour, nowMs: number) => void;
  /** Ends all tasks at once and discards all state, as a power loss does. */
  readonly stop: (nowMs: number) => void;
  readonly isPaused: () => boolean;
}
