/**
 * Order in which jobs get room. Load pattern: a queue asks for five times its mean for some seconds,
 * more than its pool holds. Lasting work goes first, then jobs that can still meet their objective,
 * those with the most value for the core-seconds left first, then late jobs by their arrival.
 */
import { computeWorkLeft, isStepDone } from './ready-steps.js';
import type { Job } from './state.js';

/** Classes of urgency, first to last. */
export type QueueClass = 'lasting' | 'on-time' | 'late';

const CLASS_RANK: Readonly<Record<QueueClass, number>> = { lasting: 0, 'on-time': 1, late: 2 };

/** Value that a job has whatever its size, against its work measured in mean jobs. */
const BASE_VALUE = 0.3;
const WORK_VALUE = 0.7;

/** A job counts as at most this many mean jobs. */
const MAX_SHARE = 4;

/** Work below this is taken as this. */
const LEAST_CORE_SECONDS = 0.05;

/** Part of the estimated chain that is left at least, as estimates are rough. */
const CERTAIN_PART = 0.7;

/** A job's place in the queue. */
export interface QueueKey {
  readonly job: Job;
  readonly queueClass: QueueClass;
  readonly priority: number;
  /** Higher goes first within a class. */
  readonly weight: number;
}

/** What is left of a job. */
interface Remainder {
  readonly coreSeconds: number;
  readonly chainMs: number;
}

/** Computes what is left of a job: the work of tasks not done, and the longest chain of steps. */
function computeRemainder(job: Job): Remainder {
  const { spec } = job.record;
  let coreSeconds = 0;
  let chainMs = 0;
  job.occurrences.forEach((occurrence) => {
    coreSeconds += computeWorkLeft(spec, occurrence);
    job.tailChainsMs.forEach((tailMs, index) => {
      if (!isStepDone(spec, occurrence, index)) chainMs = Math.max(chainMs, tailMs);
    });
  });
  return { coreSeconds, chainMs };
}

/** Classifies a job by what its caller still gains from it. */
function classifyJob(job: Job, remainder: Remainder, nowMs: number): QueueClass {
  if (job.isLasting) return 'lasting';
  return nowMs + remainder.chainMs * CERTAIN_PART <= job.objectiveAtMs ? 'on-time' : 'late';
}

/** Says whether a job can still meet its objective. */
export function isOnTime(job: Job, nowMs: number): boolean {
  return classifyJob(job, computeRemainder(job), nowMs) === 'on-time';
}

/** Computes the value of a job for each core-second left, against the mean work of its kind. */
function computeValueDensity(job: Job, remainder: Remainder, meanWork: number): number {
  const share = job.workCoreSeconds / Math.max(meanWork, LEAST_CORE_SECONDS);
  const value = BASE_VALUE + WORK_VALUE * Math.min(share, MAX_SHARE);
  return value / Math.max(remainder.coreSeconds, LEAST_CORE_SECONDS);
}

/** Makes the queue key of a job. */
export function makeQueueKey(job: Job, meanWork: number, nowMs: number): QueueKey {
  const remainder = computeRemainder(job);
  const queueClass = classifyJob(job, remainder, nowMs);
  const weight =
    queueClass === 'on-time' ? computeValueDensity(job, remainder, meanWork) : -job.arrivedMs;
  return { job, queueClass, priority: job.record.policy.priority, weight };
}

/** Compares two keys; negative when the first goes first. */
export function compareQueueKeys(a: QueueKey, b: QueueKey): number {
  return (
    CLASS_RANK[a.queueClass] - CLASS_RANK[b.queueClass] ||
    a.priority - b.priority ||
    b.weight - a.weight ||
    a.job.arrivedMs - b.job.arrivedMs
  );
}
