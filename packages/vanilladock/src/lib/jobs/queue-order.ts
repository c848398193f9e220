/**
 * Order in which waiting jobs are placed. Load pattern: for some seconds a queue demands five times
 * its mean, more than the capacity of its pool. Lasting jobs go first. Jobs that can still meet
 * their objective follow, in descending order of value per remaining core-second. Late jobs come
 * next, in order of arrival, and last those of a team beyond its rate that have not begun.
 */
import { computeRemainingWork, isStepDone } from './ready-steps.js';
import type { Job } from './state.js';

/** Classes of jobs in the queue, from first to last. */
export type QueueClass = 'lasting' | 'on-time' | 'late' | 'excess';

const CLASS_RANK: Readonly<Record<QueueClass, number>> = {
  lasting: 0,
  'on-time': 1,
  late: 2,
  excess: 3,
};

/** Value of a job regardless of its size. */
const BASE_VALUE = 0.3;
/** Value of a job for each mean job that its work amounts to. */
const WORK_VALUE = 0.7;

/** Limit on the number of mean jobs that the work of one job counts as. */
const MAX_MEAN_JOBS = 4;

/** Lower limit on work as a divisor. */
const MIN_CORE_SECONDS = 0.05;

/** Smallest share of the estimated remaining chain that may be needed, as estimates are rough. */
const MIN_CHAIN_SHARE = 0.7;

/** Sort key of a job in the queue. */
export interface QueueKey {
  readonly job: Job;
  readonly queueClass: QueueClass;
  /** Priority of the route; 0 is the most urgent. */
  readonly priority: number;
  /** Higher weights go first within the same class and priority. */
  readonly weight: number;
}

/** Remaining work and longest remaining chain of a job. */
export interface Remainder {
  readonly coreSeconds: number;
  readonly chainMs: number;
}

/** Computes the work of a job's unfinished tasks and its longest chain of unfinished steps. */
export function computeRemainder(job: Job): Remainder {
  const { spec } = job.record;
  let coreSeconds = 0;
  let chainMs = 0;
  job.occurrences.forEach((occurrence) => {
    coreSeconds += computeRemainingWork(spec, occurrence);
    job.tailChainsMs.forEach((tailMs, index) => {
      if (!isStepDone(spec, occurrence, index)) chainMs = Math.max(chainMs, tailMs);
    });
  });
  return { coreSeconds, chainMs };
}

/** Classifies a job by whether it is lasting and whether it can still meet its objective. */
function classifyJob(job: Job, remainder: Remainder, nowMs: number): QueueClass {
  if (job.isLasting) return 'lasting';
  if (job.record.isExcess === true && !job.hasStarted) return 'excess';
  return nowMs + remainder.chainMs * MIN_CHAIN_SHARE <= job.objectiveAtMs ? 'on-time' : 'late';
}

/** Says whether a batch job can still meet its latency objective; false for a lasting job. */
export function isOnTime(job: Job, nowMs: number): boolean {
  return classifyJob(job, computeRemainder(job), nowMs) === 'on-time';
}

/**
 * Computes the value of a job per remaining core-second, relative to the mean work of its route.
 */
function computeValueDensity(job: Job, remainder: Remainder, meanWork: number): number {
  const meanJobs = job.workCoreSeconds / Math.max(meanWork, MIN_CORE_SECONDS);
  const value = BASE_VALUE + WORK_VALUE * Math.min(meanJobs, MAX_MEAN_JOBS);
  return value / Math.max(remainder.coreSeconds, MIN_CORE_SECONDS);
}

/**
 * Makes the queue key of a job at the monotonic time `nowMs`; `meanWork` is the mean work of a job
 * of its route, in core-seconds. A caller that knows the present remainder passes it.
 */
export function makeQueueKey(
  job: Job,
  meanWork: number,
  nowMs: number,
  remainder = computeRemainder(job),
): QueueKey {
  const queueClass = classifyJob(job, remainder, nowMs);
  const weight =
    queueClass === 'on-time' ? computeValueDensity(job, remainder, meanWork) : -job.arrivedMs;
  return { job, queueClass, priority: job.record.policy.priority, weight };
}

/** Compares two keys; negative if the first key precedes the second. */
export function compareQueueKeys(a: QueueKey, b: QueueKey): number {
  return (
    CLASS_RANK[a.queueClass] - CLASS_RANK[b.queueClass] ||
    a.priority - b.priority ||
    b.weight - a.weight ||
    a.job.arrivedMs - b.job.arrivedMs
  );
}
