/**
 * Keeps the jobs with tasks that could start, in memory between plans, so that only those that have
 * changed are looked at again.
 */
import { isWithin } from '../placement/resources.js';
import type { Resources } from '../ports/workers.js';
import { computeFootprint, computeMinimum } from './free-capacity.js';
import { computeRemainder, type Remainder } from './queue-order.js';
import type { Job } from './state.js';
import type { TaskTable } from './task-table.js';
import { listStartableSteps, type StartableStep } from './waiting-tasks.js';

/** A stored, active job with tasks that could start. */
export interface WaitingJob {
  readonly job: Job;
  readonly steps: readonly StartableStep[];
  readonly remainder: Remainder;
  /** The smallest amount of each resource that any of the steps needs for a task. */
  readonly smallest: Resources;
}

/** The waiting jobs of a pool. */
export interface WaitingJobs {
  /** Looks again at the jobs with these ids. */
  readonly refresh: (jobIds: Iterable<string>) => void;
  readonly find: (jobId: string) => WaitingJob | undefined;
  readonly list: () => readonly WaitingJob[];
  /** Says whether some waiting task may fit into a free capacity; false is certain. */
  readonly mayFit: (capacity: Resources) => boolean;
}

/** Makes the entry of a job; undefined if none of its tasks could start. */
function makeWaitingJob(job: Job | undefined): WaitingJob | undefined {
  if (job === undefined || job.storedPhase === 'none') return undefined;
  const steps = listStartableSteps(job);
  const [first, ...others] = steps.map(({ step }) => computeFootprint(step));
  if (first === undefined) return undefined;
  const smallest = others.reduce(computeMinimum, first);
  return { job, steps, remainder: computeRemainder(job), smallest };
}

/** Creates the collection of a pool; it is empty before the first refresh. */
export function createWaitingJobs(table: TaskTable): WaitingJobs {
  const waitingJobs = new Map<string, WaitingJob>();
  /** Smallest amounts over all jobs; undefined while they have to be computed again. */
  let smallest: Resources | undefined;

  const refreshJob = (jobId: string) => {
    const waitingJob = makeWaitingJob(table.activeJobs.get(jobId));
    if (waitingJob === undefined) waitingJobs.delete(jobId);
    else waitingJobs.set(jobId, waitingJob);
  };
  const computeSmallest = () => {
    const [first, ...others] = [...waitingJobs.values()].map((waiting) => waiting.smallest);
    return first === undefined ? undefined : others.reduce(computeMinimum, first);
  };
  return {
    refresh: (jobIds) => {
      const ids = [...jobIds];
      ids.forEach(refreshJob);
      if (ids.length > 0) smallest = undefined;
    },
    find: (jobId) => waitingJobs.get(jobId),
    list: () => [...waitingJobs.values()],
    mayFit: (capacity) => {
      smallest ??= computeSmallest();
      return smallest !== undefined && isWithin(smallest, capacity);
    },
  };
}
