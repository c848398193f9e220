/** Input of a planning round and the limits that it observes. */
import type { Resources, WorkerReport } from '../ports/workers.js';
import type { Location } from '../topology.js';
import type { DutyView } from './leases.js';
import type { PlacementRules, PlacementState } from './state.js';

/** A worker of a pool according to the instance list. */
export interface WorkerView {
  readonly id: string;
  readonly location: Location;
  readonly capacity: Resources;
  /** Whether it accepts new tasks: live, and not due for maintenance or a move. */
  readonly isOpen: boolean;
}

/** A pool in which the planner places tasks. */
export interface PoolView {
  readonly name: string;
  readonly workers: readonly WorkerView[];
  /** Share of the pool's cores and memory reserved for quick tasks. */
  readonly urgentReserveShare: number;
  /** Duration of a task's lease, in milliseconds. */
  readonly taskLeaseMs: number;
}

/** A worker's newest report and its time of receipt on the planner's monotonic clock. */
export interface ReceivedReport {
  readonly report: WorkerReport;
  readonly receivedMs: number;
}

/** Input of one planning round. */
export interface PlanInput {
  readonly state: PlacementState;
  readonly rules: PlacementRules;
  /** The claim under which the planner acts. */
  readonly duty: DutyView;
  readonly pools: readonly PoolView[];
  /** Newest report of each worker, by worker id; without an entry before its first report. */
  readonly reports: ReadonlyMap<string, ReceivedReport>;
  /** Monotonic clock, in milliseconds. */
  readonly nowMs: number;
  /** Wall clock, in milliseconds since 1970; used in records only. */
  readonly at: number;
}

/** Most leases granted in one round, so that they fit into one append. */
export const GRANTS_PER_ROUND = 64;

/** Skipped tasks of one team and urgency after which a round tries no more of them. */
export const MAX_SKIPPED_TASKS_PER_TEAM = 4;

/** Skipped tasks of one pool and urgency after which a round tries no more of them. */
export const MAX_SKIPPED_TASKS_PER_POOL = 32;

/** Time without a report after which a worker is granted no new tasks. */
export const UNRESPONSIVE_AFTER_MS = 12_000;

/** Time after which a decision whose append was not read back is made again. */
export const APPEND_TIMEOUT_MS = 3_000;

/** Time after which a command without a visible effect in the reports is sent again. */
export const RESEND_AFTER_MS = 8_000;

/** Time that a task must have been reported as running before its start counts as confirmed. */
export const CONFIRMED_AFTER_MS = 2_000;

/** Most unconfirmed tasks that a worker may hold. */
export const UNCONFIRMED_MAX = 6;

/** Smallest share of its cores to which a task is throttled in favour of quick tasks. */
export const THROTTLE_FLOOR = 0.1;
