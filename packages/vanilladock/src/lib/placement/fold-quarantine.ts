/** Folds quarantine records. */
import { findPlacementDuty } from './duty.js';
import { setWorker } from './fold-index.js';
import { setVoid } from './fold-void.js';
import type { QuarantineRecord } from './records.js';
import type { PlacementRules, PlacementState } from './state.js';
import { EMPTY_WORKER } from './state.js';

/**
 * Folds one record that quarantines or readmits a worker, and resets the worker's failures. Void
 * when the planner's claim is superseded, or when the record does not follow the worker's newest
 * one.
 */
export function foldQuarantine(
  state: PlacementState,
  record: QuarantineRecord,
  offset: number,
  rules: PlacementRules,
): PlacementState {
  const worker = state.workers.get(record.workerId) ?? EMPTY_WORKER;
  if (!rules.isCurrentClaim(findPlacementDuty(record.pool), record.fence)) {
    return setVoid(state, record.id, 'stale-claim');
  }
  if (record.follows !== worker.quarantineOffset) return setVoid(state, record.id, 'superseded');
  return setWorker(state, record.workerId, {
    ...worker,
    isQuarantined: record.isQuarantined,
    hasPassedProbe: false,
    quarantineOffset: offset,
    quarantineReason: record.reason,
    streak: [],
  });
}
