/** What a caller submits: a job of steps, each of tasks alike. */
import type { Resources } from '../ports/workers.js';

/** Tasks of one size that start once all steps that they depend on are done. */
export interface StepSpec {
  readonly count: number;
  readonly size: Resources;
  /** The caller's rough estimate of one task's duration. */
  readonly estimateMs: number;
  readonly dependsOn: readonly number[];
  readonly isCheckpointing: boolean;
  /** All tasks run together, end together, and share one run number. */
  readonly isGang: boolean;
  readonly isSameRack: boolean;
  readonly requiredLabel: string | undefined;
  /** The rack that holds the data. */
  readonly dataRack: string | undefined;
  /** Most tasks of the step on one worker; undefined without a limit. */
  readonly maxPerWorker: number | undefined;
  readonly isSpeculative: boolean;
  /** Runs until the job is cancelled and is restarted however it ends. */
  readonly isLasting: boolean;
  readonly image: string;
  /** Highest tail latency of a lasting task; undefined without a target. */
  readonly tailTargetMs: number | undefined;
  /** Uses the processor that other tasks leave over; its cores take no room. */
  readonly isFilling: boolean;
  /** Most tasks of a lasting step that may be away at once through the system's own orders. */
  readonly maxUnavailable: number | undefined;
}

/** A job as submitted. */
export interface JobSpec {
  /** Chosen by the caller; unique. */
  readonly id: string;
  readonly route: string;
  /** Opaque text that every task is started with. */
  readonly payload: string;
  readonly steps: readonly StepSpec[];
  /** Number of occurrences; 0 for a job that runs once, at once. */
  readonly repeatCount: number;
  /** Due time of the first occurrence, in milliseconds since 1970. */
  readonly startAtMs: number;
  readonly intervalMs: number;
}

/** Policy of the route at the moment of submission. */
export interface JobPolicy {
  /** 0 is the most urgent. */
  readonly priority: number;
  /** Failed runs of a task after which the job has failed. */
  readonly maxAttempts: number;
  /** The latency objective is this many times the longest chain of work ... */
  readonly stretch: number;
  /** ... and this much more. */
  readonly targetLatencyMs: number;
  readonly advice: AdvicePolicy | undefined;
}

/** A route whose steps need tickets from an advisor. */
export interface AdvicePolicy {
  readonly decideMs: number;
  readonly perWorkerMs: number;
  readonly validMs: number;
}

/** A job as it lies in the store. */
export interface JobRecord {
  readonly spec: JobSpec;
  readonly policy: JobPolicy;
  /** Milliseconds since 1970. */
  readonly acceptedAtMs: number;
}

/** Says whether any task of the job lasts. */
export function isLastingJob(spec: JobSpec): boolean {
  return spec.steps.some((step) => step.isLasting);
}

/** Makes the name of a step: job, occurrence and step. */
export function makeStepKey(id: string, occurrence: number, step: number): string {
  return `${id}.${occurrence}.${step}`;
}

/** Makes the name of a task: its step and its index. */
export function makeTaskKey(id: string, occurrence: number, step: number, index: number): string {
  return `${makeStepKey(id, occurrence, step)}.${index}`;
}
