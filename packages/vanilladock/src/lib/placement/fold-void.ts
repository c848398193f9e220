/** Keeps why records were void, for the planner that appended them and for `explain`. */
import type { PlacementState, VoidReason } from './state.js';

/** Most void records whose reasons are kept. */
export const VOIDS_KEPT = 1_000;

/** Stores why a record was void; evicts the oldest entry when there are too many. */
export function setVoid(
  state: PlacementState,
  recordId: string,
  reason: VoidReason,
): PlacementState {
  const voids = state.voids.set(recordId, reason);
  const voidOrder = state.voidOrder.push(recordId);
  const oldest = voidOrder.first();
  if (voidOrder.size <= VOIDS_KEPT || oldest === undefined) return { ...state, voids, voidOrder };
  return { ...state, voids: voids.remove(oldest), voidOrder: voidOrder.shift() };
}
