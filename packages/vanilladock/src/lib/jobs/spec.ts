/** Specification of a submitted job: a graph of steps, each consisting of identical tasks. */
import type { Resources } from '../ports/workers.js';

/** A step: `count` identical tasks that may start once all steps in `dependsOn` are done. */
export interface StepSpec {
  readonly count: number;
  readonly size: Resources;
  /** The caller's rough estimate of one task's duration. */
  readonly estimateMs: number;
  /** Indices of steps; each is lower than the step's own index. */
  readonly dependsOn: readonly number[];
  /** Whether a task started again receives the newest checkpoint of its earlier run. */
  readonly isCheckpointing: boolean;
  /** Whether all tasks start together, end together and share one run number. */
  readonly isGang: boolean;
  /** Whether the step's tasks should share one rack; a preference, not a rule. */
  readonly isSameRack: boolean;
  /** Label that a worker must have to run the tasks; undefined if any worker may. */
  readonly requiredLabel: string | undefined;
  /** Rack that holds the input data and is preferred; undefined without a preference. */
  readonly dataRack: string | undefined;
  /** Maximum number of tasks of the step on one worker; undefined if unlimited. */
  readonly maxPerWorker: number | undefined;
  readonly isSpeculative: boolean;
  /** Whether the tasks run until the job is cancelled, and are restarted however they end. */
  readonly isLasting: boolean;
  readonly image: string;
  /** Target in milliseconds for the tail latency of a lasting task; undefined without one. */
  readonly tailTargetMs: number | undefined;
  /** Whether the tasks use only idle processor time; they reserve no cores. */
  readonly isFilling: boolean;
  /**
   * Maximum number of tasks of a lasting step that planned moves may make unavailable at once;
   * undefined means 1.
   */
  readonly maxUnavailable: number | undefined;
}

/** A job as submitted by a caller. */
export interface JobSpec {
  /** Chosen by the caller; unique. */
  readonly id: string;
  /** Route on which the job was submitted; it determines the job's policy. */
  readonly route: string;
  /** Opaque text that is passed to every task at its start. */
  readonly payload: string;
  readonly steps: readonly StepSpec[];
  /** Number of occurrences; 0 for a job that runs once, immediately. */
  readonly repeatCount: number;
  /** Due time of the first occurrence, in milliseconds since 1970; unused if it does not repeat. */
  readonly startAtMs: number;
  /** Time between the due times of two occurrences, in milliseconds. */
  readonly intervalMs: number;
}

/** Policy of the route, as it was when the job was submitted. */
export interface JobPolicy {
  /** Priority; 0 is the most urgent. */
  readonly priority: number;
  /** Number of failed runs of a task, or of a gang, after which the job fails, unless lasting. */
  readonly maxAttempts: number;
  /** Factor on the longest chain of steps in the latency objective. */
  readonly stretch: number;
  /** Constant part of the latency objective in milliseconds, added to the stretched chain. */
  readonly targetLatencyMs: number;
  /** Undefined if the steps need no tickets. */
  readonly advice: AdvicePolicy | undefined;
}

/** Policy of a route whose steps need tickets from an advisor. */
export interface AdvicePolicy {
  readonly decideMs: number;
  readonly perWorkerMs: number;
  readonly validMs: number;
}

/** A job as stored. */
export interface JobRecord {
  readonly spec: JobSpec;
  readonly policy: JobPolicy;
  /** When the job was admitted, in milliseconds since 1970. */
  readonly acceptedAtMs: number;
  /** Name of the team that submitted it; absent if its route needed no key. */
  readonly team?: string | undefined;
  /** Name of the queue that it was submitted to; absent if that is not known. */
  readonly queue?: string | undefined;
  /** Whether its team had exceeded its rate; absent counts as false. */
  readonly isExcess?: boolean | undefined;
}

/** Who submitted a job, and where. */
export type JobSource = Pick<JobRecord, 'team' | 'queue'>;

/** Says whether a job belongs to another team than the one that asks; undefined asks for any. */
export function isForeignJob(record: JobRecord, team: string | undefined): boolean {
  return team !== undefined && record.team !== undefined && record.team !== team;
}

/** Says whether a job was submitted to another queue; undefined stands for any. */
export function isOfOtherQueue(record: JobRecord, queue: string | undefined): boolean {
  return queue !== undefined && record.queue !== undefined && record.queue !== queue;
}

/** Says whether any step of the job is lasting. */
export function isLastingJob(spec: JobSpec): boolean {
  return spec.steps.some((step) => step.isLasting);
}

/** Makes the key of a step from job id, occurrence and step index. */
export function makeStepKey(id: string, occurrence: number, step: number): string {
  return `${id}.${occurrence}.${step}`;
}

/** Parses the id of the job from the key of one of its steps; ids contain no dot. */
export function parseJobId(stepKey: string): string {
  return stepKey.slice(0, stepKey.indexOf('.'));
}

/** Parses the key of the step from the key of one of its tasks. */
export function parseStepKey(taskKey: string): string {
  return taskKey.slice(0, taskKey.lastIndexOf('.'));
}

/** Makes the key of a task from its step key and its index within the step. */
export function makeTaskKey(id: string, occurrence: number, step: number, index: number): string {
  return `${makeStepKey(id, occurrence, step)}.${index}`;
}

/** Parses the id of the job and the index of the step from the key of a task. */
export function parseTaskKey(taskKey: string): {
  readonly jobId: string;
  readonly occurrence: number;
  readonly stepIndex: number;
} {
  const [jobId = '', occurrence, stepIndex] = taskKey.split('.');
  return { jobId, occurrence: Number(occurrence), stepIndex: Number(stepIndex) };
}
