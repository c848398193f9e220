/**
 * Folds claims into the current claim of each duty. A claim is void unless it follows the current
 * one, so that of racing claimants every reader picks the same owner. The offset of the current claim
 * is the fencing token: what an owner writes with an older one is void.
 */
import { Map } from 'immutable';
import type { PlacedRecord } from '../log/record.js';
import type { ClaimRecord } from './records.js';

/** The current claim on a duty. */
export interface Claim {
  readonly owner: string;
  /** Id of the claim's record, by which its sender knows it. */
  readonly id: string;
  /** Offset of the claim; the fencing token. */
  readonly offset: number;
  /** Length of the lease in milliseconds; 0 gives the duty back. */
  readonly leaseMs: number;
}

/** Current claims by duty. */
export interface DutyState {
  readonly claims: Map<string, Claim>;
}

/** Duties that are kept; claims on further ones are void. */
export const MAX_DUTIES = 4096;

/** Creates the state before any claim. */
export function createDutyState(): DutyState {
  return { claims: Map() };
}

/** Folds one claim. */
export function foldDuty(state: DutyState, placed: PlacedRecord<ClaimRecord>): DutyState {
  const { record, offset } = placed;
  const current = state.claims.get(record.duty);
  if (record.follows !== (current?.offset ?? -1)) return state;
  if (current === undefined && state.claims.size >= MAX_DUTIES) return state;
  const claim = { owner: record.by, id: record.id, offset, leaseMs: record.leaseMs };
  return { claims: state.claims.set(record.duty, claim) };
}

/** Says whether a fencing token is that of the duty's current claim. */
export function isCurrentClaim(state: DutyState, duty: string, fence: number): boolean {
  return state.claims.get(duty)?.offset === fence;
}
