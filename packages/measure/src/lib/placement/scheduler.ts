/**
 * The interface between the placement scenario and a scheduler: the decision core or the baseline.
 */
import type { WorkerCommand, WorkerReport } from 'vanilladock';
import type { WorkTask } from './workload.js';

/** A worker's answer to a command; `lost` when the answer timed out. */
export type SentAnswer = 'done' | 'refused' | 'fenced' | 'lost';

/**
 * Sends a command to a worker; `onAnswer` is called later, when the answer arrives or times out.
 */
export type SendCommand = (
  workerId: string,
  command: WorkerCommand,
  onAnswer: (answer: SentAnswer) => void,
) => void;

/** Requests a report from a worker after a delay, in addition to its periodic ones. */
export type PollReport = (workerId: string, delayMs: number) => void;

/** A scheduler under measurement. Times are in milliseconds of the simulation's clock. */
export interface Scheduler {
  /** Handles a submission; returns the refusal code, or undefined when it was admitted. */
  readonly submitTask: (task: WorkTask, nowMs: number) => string | undefined;
  readonly cancelTask: (taskId: string, nowMs: number) => void;
  readonly observeReport: (workerId: string, report: WorkerReport, nowMs: number) => void;
  readonly runRound: (nowMs: number) => void;
  readonly setStoreAvailable: (isAvailable: boolean, nowMs: number) => void;
  /** Pauses one entry between planning and sending; it acts on its stale plan at `untilMs`. */
  readonly pauseEntry: (entry: number, nowMs: number, untilMs: number) => void;
  /** Says whether the task was accepted and has not been refused since. */
  readonly isAccepted: (taskId: string) => boolean;
}
