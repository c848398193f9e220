/**
 * Decides how long the holder of a duty may send orders. A holder has authority for a fixed time
 * after the last confirmation that its claim is the newest, either by the store or by every peer
 * that may have claimed the duty since. Without authority it sends no orders and renews no leases,
 * so a successor that cannot reach it still knows by when its last order was sent.
 */
import { computeElapsedMs, type ClockPair } from '../clock-pair.js';
import type { HandOver } from '../jobs/hand-over.js';
import type { Claim } from './claim-table.js';

/** Milliseconds that authority lasts, from when the holder sent the confirming request. */
export const AUTHORITY_MS = 2_000;

/**
 * Milliseconds after its own claim when a successor may assume that all orders of a holder that it
 * cannot reach have ended.
 */
export const SUCCESSION_MS = 2_600;

/** Notice from a holder to its peers; it also serves as a heartbeat. */
export interface DutyNotice {
  /** Time since the holder last received a response from the store, in milliseconds. */
  readonly storeAgeMs: number;
  /** Claims that the holder considers its own and current. */
  readonly held: readonly Claim[];
}

/** A peer's response to a notice. */
export interface PeerDutyView {
  /** Claims that the peer knows and that are newer than those in the notice. */
  readonly newer: readonly Claim[];
  /** Duties for which the peer has sent a claim whose outcome it does not know yet. */
  readonly claiming: readonly string[];
  /** What the peer's planners tell that have stopped lately, for the duties in the notice. */
  readonly handOvers?: readonly DutyHandOver[] | undefined;
}

/** What the last holder of a duty tells. */
export interface DutyHandOver extends HandOver {
  readonly duty: string;
}

/** Outcome of one notice; a peer that did not respond may have claimed a duty. */
export type PeerOutcome =
  { readonly kind: 'answered'; readonly view: PeerDutyView } | { readonly kind: 'silent' };

/** Outcome of a notice, and whether the peer was considered alive when the notice was sent. */
export type RoundOutcome = PeerOutcome & { readonly wasAlive: boolean };

/** Result of one round of notices; a duty may be neither confirmed nor superseded. */
export interface RoundResult {
  /** Duties for which no peer knows of, or is sending, a newer claim. */
  readonly confirmed: readonly string[];
  /** Newer claims that peers know of; may name a duty more than once. */
  readonly superseded: readonly Claim[];
}

/**
 * Evaluates a round of notices; confirms nothing unless every peer considered alive responded.
 * Superseded claims are returned in any case. Without peers, all held duties are confirmed.
 */
export function decideRound(
  held: readonly Claim[],
  outcomes: readonly RoundOutcome[],
): RoundResult {
  const views = outcomes.flatMap((outcome) => (outcome.kind === 'answered' ? [outcome.view] : []));
  const superseded = views.flatMap(({ newer }) => newer);
  const uncertainDuties = new Set([
    ...superseded.map(({ duty }) => duty),
    ...views.flatMap(({ claiming }) => claiming),
  ]);
  const haveAllPeersAnswered = !outcomes.some(
    ({ kind, wasAlive }) => kind === 'silent' && wasAlive,
  );
  const confirmed = haveAllPeersAnswered
    ? held.map(({ duty }) => duty).filter((duty) => !uncertainDuties.has(duty))
    : [];
  return { confirmed, superseded };
}

/**
 * Says whether a holder still has authority, given when its claim was last confirmed. `confirmed` is
 * when the confirming request was sent; undefined if the claim
 * was never confirmed, which means no authority.
 */
export function hasAuthority(confirmed: ClockPair | undefined, current: ClockPair): boolean {
  if (confirmed === undefined) return false;
  return computeElapsedMs(confirmed, current) < AUTHORITY_MS;
}
