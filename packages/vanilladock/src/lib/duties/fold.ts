/**
 * Folds claim records into the current claim of each duty. A claim is void unless it names the
 * current claim as its predecessor, so every reader selects the same owner among concurrent
 * claimants. The offset of the current claim is the fencing token: writes with an older token are
 * void.
 */
import { Map } from 'immutable';
import type { PlacedRecord } from '../log/record.js';
import type { ClaimRecord } from './records.js';

/** The current claim on a duty; a released duty keeps it, with a lease of 0. */
export interface Claim {
  /** Id of the entry that sent the claim. */
  readonly owner: string;
  /** Id of the claim record; the sender uses it to recognise its own claim. */
  readonly id: string;
  /** Offset of the claim; the fencing token. */
  readonly offset: number;
  /** Length of the lease in milliseconds; 0 means that the duty was released. */
  readonly leaseMs: number;
}

/** Folded state: the current claim by duty; a duty that was never claimed has no entry. */
export interface DutyState {
  readonly claims: Map<string, Claim>;
}

/** Maximum number of duties; claims on further duties are void. */
export const MAX_DUTIES = 4096;

/** Creates the state before any claim. */
export function createDutyState(): DutyState {
  return { claims: Map() };
}

/** Applies one claim record to the state; a void claim leaves the state unchanged. */
export function foldDuty(state: DutyState, placed: PlacedRecord<ClaimRecord>): DutyState {
  const { record, offset } = placed;
  const current = state.claims.get(record.duty);
  if (record.follows !== (current?.offset ?? -1)) return state;
  if (current === undefined && state.claims.size >= MAX_DUTIES) return state;
  const claim = { owner: record.by, id: record.id, offset, leaseMs: record.leaseMs };
  return { claims: state.claims.set(record.duty, claim) };
}

/**
 * Says whether a fencing token belongs to the current claim of a duty; false if it was never
 * claimed. The token of a release counts as current, because the lease is not considered.
 */
export function isCurrentClaim(state: DutyState, duty: string, fence: number): boolean {
  return state.claims.get(duty)?.offset === fence;
}
