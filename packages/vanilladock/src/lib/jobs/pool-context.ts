/** What the parts of a pool's planner share: the tables, what must be stored, and the decision log. */
import type { TaskTable } from './task-table.js';

/** A decision for the log: what was decided and the inputs that decided it. */
export interface DecisionEvent {
  readonly event: string;
  readonly [field: string]: unknown;
}

/** Shared parts of one pool's planner. */
export interface PoolContext {
  readonly table: TaskTable;
  /** Jobs whose progress differs from what the store has. */
  readonly dirtyJobs: Set<string>;
  readonly report: (event: DecisionEvent) => void;
}
