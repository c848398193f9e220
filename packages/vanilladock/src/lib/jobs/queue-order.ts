/**
 * Order in which jobs get room. Load pattern: a queue asks for five times its mean for some seconds,
 * more than its pool holds. Lasting work goes first, then jobs that can still meet their objective,
 * those with the most value for the core-seconds left first, then late jobs by their arrival.
 */
import type { Job } from './state.js';

/** Classes of urgency, first to last. */
export type QueueClass = 'lasting' | 'on-time' | 'late';

const CLASS_RANK: Readonly<Record<QueueClass, number>> = { lasting: 0, 'on-time': 1, late: 2 };

/** Value that a job has whatever its size, against its work measured in mean jobs. */
const BASE_VALUE = 0.3;
const WORK_VALUE = 0.7;

/** A job's place in the queue. */
export interface QueueKey {
  readonly job: Job;
  readonly queueClass: QueueClass;
  readonly priority: number;
  /** Higher goes first within a class. */
  readonly weight: number;
}

/** Classifies a job by what its caller still gains from it. */
export function classifyJob(job: Job, nowMs: number): QueueClass {
  if (job.isLasting) return 'lasting';
  const chainMs = Math.max(0, ...job.tailChainsMs);
  const chainLeftMs = job.hasStarted ? 0 : chainMs;
  return nowMs + chainLeftMs <= job.objectiveAtMs ? 'on-time' : 'late';
}

/** Computes the value of a job for each core-second, against the mean work of its kind. */
function computeValueDensity(job: Job, meanWork: number): number {
  const work = Math.max(job.workCoreSeconds, Number.EPSILON);
  return (BASE_VALUE + WORK_VALUE * (work / Math.max(meanWork, Number.EPSILON))) / work;
}

/** Makes the queue key of a job. */
export function makeQueueKey(job: Job, meanWork: number, nowMs: number): QueueKey {
  const queueClass = classifyJob(job, nowMs);
  const isStarted = job.hasStarted ? 1 : 0;
  const weight =
    queueClass === 'on-time' ? isStarted + computeValueDensity(job, meanWork) : -job.arrivedMs;
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
