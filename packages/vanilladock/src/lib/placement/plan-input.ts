/** What a planning round is given, and the limits that it keeps to. */
import type { Resources, WorkerReport } from '../ports/workers.js';
import type { Location } from '../topology.js';
import type { DutyView } from './leases.js';
import type { PlacementRules, PlacementState } from './state.js';

/** A worker of a pool as the instance list shows it. */
export interface WorkerView {
  readonly id: string;
  readonly location: Location;
  readonly capacity: Resources;
  /** Whether it may be given new tasks: live, and not about to be maintained or moved. */
  readonly isOpen: boolean;
}

/** A pool that the planner places tasks in. */
export interface PoolView {
  readonly name: string;
  readonly workers: readonly WorkerView[];
  /** Share of the pool's cores kept free for quick tasks. */
  readonly urgentReserveShare: number;
  /** Lease of a task, in milliseconds. */
  readonly taskLeaseMs: number;
}

/** A worker's newest report and when it was received by the planner's clock, in milliseconds. */
export interface ReceivedReport {
  readonly report: WorkerReport;
  readonly receivedMs: number;
}

/** Everything that one planning round may look at. */
export interface PlanInput {
  readonly state: PlacementState;
  readonly rules: PlacementRules;
  readonly duty: DutyView;
  readonly pools: readonly PoolView[];
  readonly reports: ReadonlyMap<string, ReceivedReport>;
  /** Monotonic clock, in milliseconds. */
  readonly nowMs: number;
  /** Wall clock, in milliseconds since 1970; goes into records only. */
  readonly at: number;
}

/** Leases granted in one round at most, so that one append carries them. */
export const GRANTS_PER_ROUND = 64;

/** Tasks of one team that are looked at in one round when the first ones fit nowhere. */
export const LOOKAHEAD = 4;

/** Tasks that fit nowhere after which a round leaves a pool. */
export const MISSES_PER_POOL = 32;

/** Time after which a worker without a report is given no new tasks. */
export const SILENT_AFTER_MS = 12_000;

/** Time after which an append without a result is decided anew. */
export const APPEND_TIMEOUT_MS = 3_000;

/** Time after which a command that shows no effect in the reports is sent again. */
export const RESEND_AFTER_MS = 8_000;

/** Time that a task runs before its worker counts as able to start it. */
export const CONFIRMED_AFTER_MS = 2_000;

/** Tasks that a worker may hold which it has not yet shown to be able to run. */
export const UNCONFIRMED_MAX = 6;

/** Smallest share of its cores to which a task is throttled for quick ones. */
export const THROTTLE_FLOOR = 0.1;
