/**
 * The drain of one entry as its requests see it: none at first, then the plan with its deadline.
 * Requests in progress are notified when it starts.
 */
import type { DrainPlan } from 'vanilladock';

/** The drain of one entry. */
export interface Drain {
  /** Gets the plan; undefined until the drain starts. */
  readonly getPlan: () => DrainPlan | undefined;
  /** Starts the drain and notifies the watchers; a second start has no effect. */
  readonly start: (plan: DrainPlan) => void;
  /** Calls `handle` when the drain starts, unless the returned function was called before. */
  readonly watch: (handle: (plan: DrainPlan) => void) => () => void;
}

/** Creates the drain of an entry that is not stopping. */
export function createDrain(): Drain {
  const watchers = new Set<(plan: DrainPlan) => void>();
  let current: DrainPlan | undefined;
  return {
    getPlan: () => current,
    start: (plan) => {
      if (current !== undefined) return;
      current = plan;
      watchers.forEach((handle) => handle(plan));
      watchers.clear();
    },
    watch: (handle) => {
      watchers.add(handle);
      return () => void watchers.delete(handle);
    },
  };
}
