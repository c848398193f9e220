/**
 * Decides what one entry does about one duty: claim it, renew its lease, give it back or nothing.
 * Rendezvous hashing over the live entries proposes an owner; the others stand by in the order of
 * their rank, each some time behind the one before.
 *
 * A holder counts its lease from before it sent the claim and stops early by the drift margin; others
 * count from when they read the claim and start late by the margin. So a holder has stopped before
 * another starts as long as clocks run within the margin of each other. Once it has sent a release it
 * acts no more, whether or not the release arrives. A holder that is paused beyond
 * its lease is stopped by the fencing token instead.
 */
import MurmurHash from 'imurmurhash';
import type { Claim } from './fold.js';

/** Length of a duty's lease. */
export const DUTY_LEASE_MS = 15_000;

/** Share of a lease by which the clocks of two entries may drift apart while it runs. */
export const DRIFT_SHARE = 0.05;

/** Share of its lease after which a holder renews. */
export const RENEW_SHARE = 0.4;

/** Delay between one rank of claimants and the next. */
export const RANK_DELAY_MS = 1_500;

/** Range over which the claims of different duties are spread. */
export const CLAIM_SPREAD_MS = 500;

/** What an entry knows of one duty. */
export interface DutyView {
  readonly duty: string;
  readonly selfId: string;
  /** The current claim; undefined when there was none. */
  readonly claim: Claim | undefined;
  /** When this entry read the current claim, or began to follow; monotonic, in milliseconds. */
  readonly seenAtMs: number;
  /** When this entry sent the current claim, if it is its own; monotonic, in milliseconds. */
  readonly sentAtMs: number | undefined;
  /** When this entry sent a claim whose record it has not read back; undefined when there is none. */
  readonly pendingAtMs: number | undefined;
  /** Offset of the own claim for which a release was sent last; -1 for none. */
  readonly releasedOffset: number;
  /** Since when the log has been readable without a break; undefined while it is not. */
  readonly readableSinceMs: number | undefined;
  /** Ids of the live entries, as the lagging list shows them. */
  readonly liveIds: readonly string[];
  readonly isStopping: boolean;
}

/** What to do about a duty. */
export type DutyAction =
  | { readonly kind: 'none' }
  | { readonly kind: 'claim'; readonly follows: number; readonly leaseMs: number }
  | { readonly kind: 'release'; readonly follows: number };

const NONE = { kind: 'none' } as const;

/** Orders entries for a duty, the proposed owner first. */
export function orderByRank(duty: string, ids: readonly string[]): readonly string[] {
  const computeScore = (id: string) => MurmurHash(duty).hash('/').hash(id).result();
  return [...new Set(ids)]
    .map((id) => ({ id, score: computeScore(id) }))
    .sort((a, b) => b.score - a.score || (a.id < b.id ? -1 : 1))
    .map(({ id }) => id);
}

/** Computes when a holder must stop, on its own monotonic clock. */
export function computeHeldUntil(sentAtMs: number, leaseMs: number): number {
  return sentAtMs + leaseMs * (1 - DRIFT_SHARE);
}

/** Computes from when another entry may claim, on its own monotonic clock. */
export function computeFreeFrom(seenAtMs: number, leaseMs: number): number {
  return seenAtMs + leaseMs * (1 + DRIFT_SHARE);
}

/** Gets the fencing token with which this entry may act now; undefined when it may not. */
export function getFence(view: DutyView, nowMs: number): number | undefined {
  const { claim, selfId, sentAtMs } = view;
  if (claim === undefined || claim.owner !== selfId || sentAtMs === undefined) return undefined;
  if (view.releasedOffset === claim.offset) return undefined;
  return nowMs < computeHeldUntil(sentAtMs, claim.leaseMs) ? claim.offset : undefined;
}

/** Says whether a claim was sent so lately that its record may still come. */
function isPending(view: DutyView, leaseMs: number, nowMs: number): boolean {
  return view.pendingAtMs !== undefined && nowMs < view.pendingAtMs + leaseMs * RENEW_SHARE;
}

/** Decides for the holder: give back, renew or go on. */
function decideHeld(view: DutyView, fence: number, leaseMs: number, nowMs: number): DutyAction {
  if (view.isStopping) return { kind: 'release', follows: fence };
  const isDue = nowMs >= (view.sentAtMs ?? nowMs) + leaseMs * RENEW_SHARE;
  if (!isDue || isPending(view, leaseMs, nowMs)) return NONE;
  const [proposed] = orderByRank(view.duty, [...view.liveIds, view.selfId]);
  if (proposed !== view.selfId) return { kind: 'release', follows: fence };
  return { kind: 'claim', follows: fence, leaseMs };
}

/** Computes how long an entry stands by once a duty is free: by its rank, spread over duties. */
function computeDelay({ duty, selfId, liveIds }: DutyView): number {
  const rank = orderByRank(duty, [...liveIds, selfId]).indexOf(selfId);
  const spread = MurmurHash(selfId).hash(duty).result() % CLAIM_SPREAD_MS;
  return rank * RANK_DELAY_MS + spread;
}

/** Decides what to do about a duty now. */
export function decideDuty(
  view: DutyView,
  nowMs: number,
  leaseMs: number = DUTY_LEASE_MS,
): DutyAction {
  if (view.readableSinceMs === undefined) return NONE;
  const fence = getFence(view, nowMs);
  if (fence !== undefined) return decideHeld(view, fence, leaseMs, nowMs);
  if (view.isStopping || isPending(view, leaseMs, nowMs)) return NONE;
  const lease = view.claim?.leaseMs ?? 0;
  const freeFromMs = Math.max(computeFreeFrom(view.seenAtMs, lease), view.readableSinceMs);
  if (nowMs < freeFromMs + computeDelay(view)) return NONE;
  return { kind: 'claim', follows: view.claim?.offset ?? -1, leaseMs };
}
