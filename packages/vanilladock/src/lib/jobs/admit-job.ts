/**
 * Admission of a job at its pool. Load pattern: a queue asks for several times what its pool serves.
 * A job is refused at once when the backlog before it would take it past the time up to which its
 * caller still gains from it; the caller is told when the backlog will have drained.
 */
import type { Resources } from '../ports/workers.js';
import { isWithin } from '../placement/resources.js';
import { computeChainMs, computeObjectiveMs, computeWork } from './estimate.js';
import { isLastingJob, type JobPolicy, type JobSpec } from './spec.js';

/** A result later than this many objectives is worth nothing to its caller. */
export const LATE_FACTOR = 3;

const MS_PER_SECOND = 1000;
const MIN_RETRY_AFTER_MS = 1000;
const MAX_RETRY_AFTER_MS = 10_000;

/** What admission knows of the pool. */
export interface PoolLoad {
  /** Core-seconds of accepted work that has not ended. */
  readonly backlogCoreSeconds: number;
  /** Cores of the workers that take work. */
  readonly cores: number;
  /** The largest worker; undefined while no worker is known. */
  readonly largestWorker: Resources | undefined;
}

/** Decision on a submission. */
export type Admission =
  | { readonly kind: 'admitted' }
  | {
      readonly kind: 'refused';
      readonly why: 'backlog' | 'never-runnable';
      readonly retryAfterMs: number | undefined;
    };

/** Says whether some step asks for more than any worker has. */
function isNeverRunnable(spec: JobSpec, largestWorker: Resources): boolean {
  return spec.steps.some((step) => !isWithin(step.size, largestWorker));
}

/** Decides whether a job is accepted. */
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
