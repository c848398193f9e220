/** Records about maintenance: permits, their outcomes, and observed losses and returns. */
import type { RecordHead } from '../log/record.js';

/**
 * Requests that an instance may become unavailable; void when its pool's budget is exhausted, or
 * for any other `PermitRefusal`.
 */
export interface PermitRecord extends RecordHead {
  readonly kind: 'maintenance.permit';
  readonly instanceId: string;
  readonly wave: string;
  readonly isCanary: boolean;
  /** Fencing token of the claim on `MAINTENANCE_DUTY`; void unless current. */
  readonly fence: number;
}

/** How a permit ended; void unless the permit is the open one of its instance. */
export interface OutcomeRecord extends RecordHead {
  readonly kind: 'maintenance.outcome';
  /** Offset of the permit. */
  readonly permitOffset: number;
  readonly instanceId: string;
  readonly result: 'returned' | 'gave-back' | 'failed';
}

/** Instances that were observed to become unavailable or available again without a permit. */
export interface ObservationRecord extends RecordHead {
  readonly kind: 'maintenance.observation';
  readonly lost: readonly string[];
  readonly returned: readonly string[];
  /** Fencing token of the claim on `MAINTENANCE_DUTY`; void unless current. */
  readonly fence: number;
}

/** Any record about maintenance. */
export type MaintenanceRecord = PermitRecord | OutcomeRecord | ObservationRecord;
