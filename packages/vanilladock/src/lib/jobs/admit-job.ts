/**
 * Admission of a job to its pool. Load pattern: a queue demands several times the capacity of its
 * pool. A job is refused at once if the backlog would delay it beyond the time when its result is
 * still useful to the caller. The refusal tells the caller when the backlog will have drained. A job
 * beyond its team's rate is behind all others and is refused as soon as it would miss its objective.
 */
import type { Resources } from '../ports/workers.js';
import { isWithin } from '../placement/resources.js';
import { computeChainMs, computeObjectiveMs, computeWork } from './estimate.js';
import type { Entitlement } from '../teams/pool-teams.js';
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
  /** The part of it of jobs beyond their teams' rates that have not begun, in core-seconds. */
  readonly excessCoreSeconds: number;
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
      readonly why: 'backlog' | 'never-runnable' | 'team-rate' | 'team-limit' | 'cancelled';
      readonly retryAfterMs: number | undefined;
    };

/** Refusal of a job that was cancelled before its submission arrived. */
export const CANCELLED_REFUSAL = {
  kind: 'refused',
  why: 'cancelled',
  retryAfterMs: undefined,
} as const satisfies Admission;

/** Says whether some step requires more than the largest worker has. */
function isNeverRunnable(spec: JobSpec, largestWorker: Resources): boolean {
  return spec.steps.some((step) => !isWithin(step.size, largestWorker));
}

/**
 * Decides whether to admit a job. Refuses any job with a step that exceeds the largest known
 * worker. The backlog limits only jobs that run once and end, and only while workers accept tasks.
 */
export function admitJob(
  spec: JobSpec,
  policy: JobPolicy,
  load: PoolLoad,
  entitlement: Entitlement = { kind: 'within-rate' },
): Admission {
  if (entitlement.kind === 'beyond-limit') {
    return { kind: 'refused', why: 'team-limit', retryAfterMs: undefined };
  }
  if (load.largestWorker !== undefined && isNeverRunnable(spec, load.largestWorker)) {
    return { kind: 'refused', why: 'never-runnable', retryAfterMs: undefined };
  }
  if (spec.repeatCount > 0 || isLastingJob(spec) || load.cores === 0) return { kind: 'admitted' };
  const isExcess = entitlement.kind === 'excess';
  const ahead = load.backlogCoreSeconds - (isExcess ? 0 : load.excessCoreSeconds);
  const waitMs = ((computeWork(spec) + ahead) / load.cores) * MS_PER_SECOND;
  const limitMs = (isExcess ? 1 : LATE_FACTOR) * computeObjectiveMs(spec, policy);
  if (waitMs + computeChainMs(spec) <= limitMs) return { kind: 'admitted' };
  const laterMs = Math.max(waitMs - limitMs, isExcess ? entitlement.retryAfterMs : 0);
  const retryAfterMs = Math.min(Math.max(laterMs, MIN_RETRY_AFTER_MS), MAX_RETRY_AFTER_MS);
  return { kind: 'refused', why: isExcess ? 'team-rate' : 'backlog', retryAfterMs };
}
