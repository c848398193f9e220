/**
 * For how long the holder of a duty may give orders. A holder has authority for a fixed time after it
 * last learned that its claim is the newest: from the store, or from every peer that may have claimed
 * since. Without authority it gives no orders and renews no leases, so that a successor which cannot
 * reach it still knows when its last order was sent.
 */
import type { Claim } from './claim-table.js';

/** A holder may give orders for this long after it asked for what confirmed its claim. */
export const AUTHORITY_MS = 2_000;

/** A successor takes the orders of a holder that it cannot reach as ended this long after its claim. */
export const SUCCESSION_MS = 2_600;

/** What a holder tells its peers; it is a sign of life as well. */
export interface DutyNotice {
  /** Time since the store last answered the holder, in milliseconds. */
  readonly storeAgeMs: number;
  readonly held: readonly Claim[];
}

/** A peer's answer to a notice. */
export interface DutyView {
  /** Claims on the named duties that are newer than the named ones. */
  readonly newer: readonly Claim[];
  /** Duties on which the peer has sent a claim whose outcome it does not know. */
  readonly claiming: readonly string[];
}

/** Outcome of one notice; a peer that did not answer may have claimed. */
export type PeerOutcome =
  { readonly kind: 'answered'; readonly view: DutyView } | { readonly kind: 'silent' };

/** Outcome of a notice to a peer that was believed alive, or that was not heard for a while. */
export type RoundOutcome = PeerOutcome & { readonly wasAlive: boolean };

/** What a round of notices tells of the held duties. */
export interface RoundResult {
  /** Duties on which no peer knows or sends a newer claim. */
  readonly confirmed: readonly string[];
  /** Newer claims that peers know. */
  readonly superseded: readonly Claim[];
}

/** Judges a round of notices; every peer that was believed alive must have answered. */
export function decideRound(
  held: readonly Claim[],
  outcomes: readonly RoundOutcome[],
): RoundResult {
  const views = outcomes.flatMap((outcome) => (outcome.kind === 'answered' ? [outcome.view] : []));
  const superseded = views.flatMap(({ newer }) => newer);
  const inDoubt = new Set([
    ...superseded.map(({ duty }) => duty),
    ...views.flatMap(({ claiming }) => claiming),
  ]);
  const haveAllAnswered = !outcomes.some(({ kind, wasAlive }) => kind === 'silent' && wasAlive);
  const confirmed = haveAllAnswered
    ? held.map(({ duty }) => duty).filter((duty) => !inDoubt.has(duty))
    : [];
  return { confirmed, superseded };
}

/** One moment on the two clocks that a suspended machine tells apart. */
export interface ClockPair {
  readonly nowMs: number;
  readonly wallMs: number;
}

/**
 * Says whether a holder whose claim was confirmed at a moment still has authority. The steady clock stands
 * still while a machine is suspended, the wall clock does not; the larger difference counts.
 */
export function hasAuthority(confirmed: ClockPair | undefined, at: ClockPair): boolean {
  if (confirmed === undefined) return false;
  const ageMs = Math.max(at.nowMs - confirmed.nowMs, at.wallMs - confirmed.wallMs);
  return ageMs < AUTHORITY_MS;
}
