/** Keeps the mean work of the jobs of each route. */
import type { Job } from './state.js';

/** Mean work by route, in core-seconds. */
export interface MeanWork {
  readonly addJob: (job: Job) => void;
  /** Returns the mean over the route's jobs; 1 while there is none. */
  readonly get: (route: string) => number;
}

/** Creates the means; there are none at first. */
export function createMeanWork(): MeanWork {
  const sums = new Map<string, { readonly sum: number; readonly count: number }>();
  return {
    addJob: ({ record, workCoreSeconds }) => {
      const { route } = record.spec;
      const known = sums.get(route) ?? { sum: 0, count: 0 };
      sums.set(route, { sum: known.sum + workCoreSeconds, count: known.count + 1 });
    },
    get: (route) => {
      const known = sums.get(route);
      return known === undefined ? 1 : known.sum / known.count;
    },
  };
}
