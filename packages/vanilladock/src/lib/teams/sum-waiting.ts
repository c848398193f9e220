/** Sums what waits to start, by team. */
import { addResources, computeMultiple } from '../placement/resources.js';
import type { Resources } from '../ports/workers.js';
import { computeMaximum, NO_RESOURCES } from '../jobs/free-capacity.js';
import type { Job } from '../jobs/state.js';
import { listStartableSteps } from '../jobs/waiting-tasks.js';

/** Waiting tasks of one team. */
export interface Waiting {
  readonly sum: Resources;
  readonly unit: Resources;
  readonly sinceMs: number;
}

/** Sums the tasks that could start, by team. */
export function sumWaiting(jobs: Iterable<Job>): Map<string, Waiting> {
  const sums = new Map<string, Waiting>();
  for (const job of jobs) {
    const { team } = job.record;
    const steps = team === undefined ? [] : listStartableSteps(job);
    steps.forEach(({ step, stepRun }) => {
      const known = sums.get(team ?? '') ?? {
        sum: NO_RESOURCES,
        unit: NO_RESOURCES,
        sinceMs: Infinity,
      };
      sums.set(team ?? '', {
        sum: addResources(known.sum, computeMultiple(step.size, stepRun.waiting.size)),
        unit: computeMaximum(known.unit, step.size),
        sinceMs: Math.min(known.sinceMs, job.arrivedMs),
      });
    });
  }
  return sums;
}
