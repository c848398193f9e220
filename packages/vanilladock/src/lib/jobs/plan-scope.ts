/**
 * Decides whether a plan looks at the whole pool or only at what has changed since the plan before.
 * What has not changed needs no new decision until a retry delay ends or the regular look at the
 * whole pool is due.
 */

/** What a plan looks at, by ids. */
export interface PlanScope {
  /** Whether all jobs are tried on all workers. */
  readonly isFull: boolean;
  /** Jobs that have changed since the plan before. */
  readonly jobIds: ReadonlySet<string>;
  /** All workers, or those that have changed or got no new tasks at the plan before. */
  readonly workerIds: ReadonlySet<string>;
}

/** Schedule of the plans that look at the whole pool. */
export interface PlanSchedule {
  /** Says whether the plan at the monotonic time `nowMs` has to look at everything. */
  readonly takeFullPlan: (nowMs: number, isInheritanceUncertain: boolean) => boolean;
  /** Records a monotonic time from which the next plan has to look at everything. */
  readonly addDueTime: (atMs: number) => void;
}

/** Longest time between two plans that look at everything. */
const FULL_PLAN_INTERVAL_MS = 200;

/** Creates the schedule; the first plan looks at everything. */
export function createPlanSchedule(): PlanSchedule {
  let dueMs = -Infinity;
  let wasInheritanceUncertain = false;
  return {
    takeFullPlan: (nowMs, isInheritanceUncertain) => {
      const isDue = nowMs >= dueMs || isInheritanceUncertain !== wasInheritanceUncertain;
      wasInheritanceUncertain = isInheritanceUncertain;
      if (isDue) dueMs = nowMs + FULL_PLAN_INTERVAL_MS;
      return isDue;
    },
    addDueTime: (atMs) => {
      dueMs = Math.min(dueMs, atMs);
    },
  };
}
