/** What the placement scenario drives: the decision core or the baseline. Times are in milliseconds. */
import type { WorkerCommand, WorkerReport } from 'vanilladock';
import type { WorkTask } from './workload.js';

/** How a worker answered; `lost` when no answer came. */
export type SentAnswer = 'done' | 'refused' | 'fenced' | 'lost';

/** Sends a command to a worker; the answer comes later. */
export type SendCommand = (
  workerId: string,
  command: WorkerCommand,
  onAnswer: (answer: SentAnswer) => void,
) => void;

/** Asks a worker for a report after a delay, besides those that it sends on its own. */
export type PollReport = (workerId: string, delayMs: number) => void;

/** A scheduler under measurement. */
export interface Scheduler {
  /** Takes in a submission; returns why it was refused, if it was. */
  readonly takeTask: (task: WorkTask, nowMs: number) => string | undefined;
  readonly cancelTask: (taskId: string, nowMs: number) => void;
  readonly observeReport: (workerId: string, report: WorkerReport, nowMs: number) => void;
  readonly runRound: (nowMs: number) => void;
  readonly setStoreUp: (isUp: boolean, nowMs: number) => void;
  /** Pauses one entry in the middle of its rounds, until a time. */
  readonly pauseEntry: (entry: number, nowMs: number, untilMs: number) => void;
  /** Says whether the scheduler has accepted the task, and has not refused it since. */
  readonly isAccepted: (taskId: string) => boolean;
}
