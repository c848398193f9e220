/**
 * Admission of a job to its pool. Load pattern: a queue demands several times the capacity of its
 * pool. A job is refused at once if the backlog would delay it beyond the time when its result is
 * still useful to the caller. The refusal tells the caller when the backlog will have drained.
 */
import type { Resources } from '../ports/workers.js';
import { isWithin } from '../placement/resources.js';
import { computeChainMs, computeObjectiveMs, computeWork } from './estimate.js';
import { isLastingJob, type JobPolicy, type JobSpec } from './spec.js';

/**
 * A result that takes longer than this multiple of the latency objective is useless to its caller.
 */
export const LATE_FACTOR = 3;

const MS_PER_SECOND = 1000;
const MIN_RETRY_AFTER_MS = 1000;
const MAX_RETRY_AFTER_MS = 10_000;

/** Load of the pool as an input for admission. */
export interface PoolLoad {
  /** Accepted work that has not finished, in core-seconds. */
  readonly backlogCoreSeconds: number;
  /** Total number of cores of the workers that accept tasks. */
  readonly cores: number;
  /** Largest capacity of any worker, for each resource; undefined while no worker is known. */
  readonly largestWorker: Resources | undefined;
}

/**
 * Decision on a submission; `retryAfterMs` is a delay in milliseconds, undefined if a retry is
 * pointless.
 */
export type Admission =
  | { readonly kind: 'admitted' }
  | {
      readonly kind: 'refused';
      readonly why: 'backlog' | 'never-runnable';
      readonly retryAfterMs: number | undefined;
    };

/** Says whether some step requires more than the largest worker has. */
function isNeverRunnable(spec: JobSpec, largestWorker: Resources): boolean {
  return spec.steps.some((step) => !isWithin(step.size, largestWorker));
}

/**
 * Decides whether to admit a job. Refuses any job with a step that exceeds the largest known
 * worker. The backlog limits only jobs that run once and end, and only while workers accept tasks.
 */
export function admitJob(spec: JobSpec, policy: JobPolicy, load: PoolLoad): Admission {
  if (load.largestWorker !== undefined && isNeverRunnable(spec, load.largestWorker)) {
    return { kind: 'refused', why: 'never-runnable', retryAfterMs: undefined };
  }
  if (spec.repeatCount > 0 || isLastingJob(spec) || load.cores === 0) return { kind: 'admitted' };
  const work = computeWork(spec) + load.backlogCoreSeconds;
  const waitMs = (work / load.cores) * MS_PER_SECOND;
  const limitMs = LATE_FACTOR * computeObjectiveMs(spec, policy);
  if (waitMs + computeChainMs(spec) <= limitMs) return { kind: 'admitted' };
  const excessMs = waitMs - limitMs;
  const retryAfterMs = Math.min(Math.max(excessMs, MIN_RETRY_AFTER_MS), MAX_RETRY_AFTER_MS);
  return { kind: 'refused', why: 'backlog', retryAfterMs };
}
