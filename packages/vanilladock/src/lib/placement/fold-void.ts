/** Remembers why records had no effect, for the planner that wrote them and for `explain`. */
import type { PlacementState, VoidReason } from './state.js';

/** Records without effect that are remembered. */
export const VOIDS_KEPT = 1_000;

/** Remembers why a record had no effect. */
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
