/**
 * Context shared by the parts of a pool's planner: tables, unstored changes and the decision log.
 */
import type { PoolInterference } from '../interference/pool-interference.js';
import type { TaskTable } from './task-table.js';

/** Entry of the decision log: the decision and the inputs that led to it. */
export interface DecisionEvent {
  readonly event: string;
  readonly [field: string]: unknown;
}

/** Context of one pool's planner. */
export interface PoolContext {
  readonly table: TaskTable;
  /** Ids of jobs with progress that is not stored yet. */
  readonly dirtyJobs: Set<string>;
  /** Which tasks slow each other down; undefined if that is not learned. */
  readonly interference?: Pick<PoolInterference, 'estimateEffect'> | undefined;
  /** Writes an entry of the decision log. */
  readonly report: (event: DecisionEvent) => void;
}
