/**
 * Decides what one entry does about one duty: claim it, renew its lease, release it, or do nothing.
 * Rendezvous hashing over the live entries proposes an owner. The other entries stand by in rank
 * order, each with a longer delay than the entry ranked before it.
 *
 * A holder measures its lease from the time just before it sent the claim and stops early by the
 * drift margin. Other entries measure it from the time they read the claim and wait longer by the
 * same margin. A holder has therefore stopped before another entry starts, provided that their
 * clocks drift apart by less than the margin. A holder stops acting as soon as it has sent a
 * release, whether or not the release arrives. Writes of a holder that was paused beyond its lease
 * are rejected by the fencing token instead.
 */
import MurmurHash from 'imurmurhash';
import type { Claim } from './fold.js';

/** Default length of the lease on a duty. */
export const DUTY_LEASE_MS = 15_000;

/** Largest drift between the clocks of two entries during a lease, as a share of the lease. */
export const DRIFT_SHARE = 0.05;

/** Share of the lease after which the holder renews it. */
export const RENEW_SHARE = 0.4;

/** Additional standby delay for each rank behind the proposed owner. */
export const RANK_DELAY_MS = 1_500;

/** Range of the hashed delay that spreads the claims of different duties over time. */
export const CLAIM_SPREAD_MS = 500;

/** What an entry knows about one duty; the input of a decision. */
export interface DutyView {
  readonly duty: string;
  readonly selfId: string;
  /** The current claim; undefined if the duty was never claimed. */
  readonly claim: Claim | undefined;
  /**
   * When this entry read the current claim or began to read the log; monotonic, in milliseconds.
   */
  readonly seenAtMs: number;
  /**
   * When this entry sent the current claim, if the claim is its own; monotonic, in milliseconds.
   */
  readonly sentAtMs: number | undefined;
  /**
   * When this entry sent a claim that it has not read back yet; monotonic, in milliseconds.
   * Undefined if there is none.
   */
  readonly pendingAtMs: number | undefined;
  /** Offset of the own claim for which this entry last sent a release; -1 for none. */
  readonly releasedOffset: number;
  /**
   * Start of the current uninterrupted period of log access; monotonic, in milliseconds. Undefined
   * while the log is not readable; no action is taken then.
   */
  readonly readableSinceMs: number | undefined;
  /** Ids of the live entries, with or without this one; may lag behind the actual state. */
  readonly liveIds: readonly string[];
  /** Whether this entry is shutting down; it then releases its duties and claims none. */
  readonly isStopping: boolean;
}

/**
 * Action to take on a duty. `follows` is the offset of the claim that the new record replaces; -1
 * if the duty was never claimed. A renewal is a claim that follows the entry's own.
 */
export type DutyAction =
  | { readonly kind: 'none' }
  | { readonly kind: 'claim'; readonly follows: number; readonly leaseMs: number }
  | { readonly kind: 'release'; readonly follows: number };

const NO_ACTION = { kind: 'none' } as const;

/**
 * Returns the distinct ids by their rank for a duty, starting with the proposed owner. The order of
 * `ids` does not matter, so all entries with the same ids get the same result.
 */
export function orderByRank(duty: string, ids: readonly string[]): readonly string[] {
  const computeScore = (id: string) => MurmurHash(duty).hash('/').hash(id).result();
  return [...new Set(ids)]
    .map((id) => ({ id, score: computeScore(id) }))
    .sort((a, b) => b.score - a.score || (a.id < b.id ? -1 : 1))
    .map(({ id }) => id);
}

/**
 * Computes when a holder must stop acting, in milliseconds on its own monotonic clock. `sentAtMs`
 * is the time on that clock just before it sent the claim.
 */
export function computeHeldUntilMs(sentAtMs: number, leaseMs: number): number {
  return sentAtMs + leaseMs * (1 - DRIFT_SHARE);
}

/**
 * Computes when another entry may first claim, in milliseconds on its own monotonic clock.
 * `seenAtMs` is the time on that clock when it read the current claim. The standby delay is not
 * included.
 */
export function computeClaimableFromMs(seenAtMs: number, leaseMs: number): number {
  return seenAtMs + leaseMs * (1 + DRIFT_SHARE);
}

/**
 * Gets the fencing token that this entry may act with at the monotonic time `nowMs`. Undefined if
 * it may not act: the claim is not its own, it has sent a release, or the lease has ended.
 */
export function getFence(view: DutyView, nowMs: number): number | undefined {
  const { claim, selfId, sentAtMs } = view;
  if (claim === undefined || claim.owner !== selfId || sentAtMs === undefined) return undefined;
  if (view.releasedOffset === claim.offset) return undefined;
  return nowMs < computeHeldUntilMs(sentAtMs, claim.leaseMs) ? claim.offset : undefined;
}

/** Says whether a claim was sent so recently that its record may still appear in the log. */
function isPending(view: DutyView, leaseMs: number, nowMs: number): boolean {
  return view.pendingAtMs !== undefined && nowMs < view.pendingAtMs + leaseMs * RENEW_SHARE;
}

/** Decides for the current holder: release, renew, or continue unchanged. */
function decideAsHolder(view: DutyView, fence: number, leaseMs: number, nowMs: number): DutyAction {
  if (view.isStopping) return { kind: 'release', follows: fence };
  const isDue = nowMs >= (view.sentAtMs ?? nowMs) + leaseMs * RENEW_SHARE;
  if (!isDue || isPending(view, leaseMs, nowMs)) return NO_ACTION;
  const [proposed] = orderByRank(view.duty, [...view.liveIds, view.selfId]);
  if (proposed !== view.selfId) return { kind: 'release', follows: fence };
  return { kind: 'claim', follows: fence, leaseMs };
}

/** Computes how long an entry waits to claim an available duty: by rank, plus a hashed spread. */
function computeStandbyDelayMs({ duty, selfId, liveIds }: DutyView): number {
  const rank = orderByRank(duty, [...liveIds, selfId]).indexOf(selfId);
  const spread = MurmurHash(selfId).hash(duty).result() % CLAIM_SPREAD_MS;
  return rank * RANK_DELAY_MS + spread;
}

/**
 * Decides what this entry does about a duty at `nowMs`; times are monotonic, in milliseconds.
 * `leaseMs` is the lease that a new claim asks for; the lease of the current claim is in the view.
 */
export function decideDuty(
  view: DutyView,
  nowMs: number,
  leaseMs: number = DUTY_LEASE_MS,
): DutyAction {
  if (view.readableSinceMs === undefined) return NO_ACTION;
  const fence = getFence(view, nowMs);
  if (fence !== undefined) return decideAsHolder(view, fence, leaseMs, nowMs);
  if (view.isStopping || isPending(view, leaseMs, nowMs)) return NO_ACTION;
  const currentLeaseMs = view.claim?.leaseMs ?? 0;
  const claimableFromMs = Math.max(
    computeClaimableFromMs(view.seenAtMs, currentLeaseMs),
    view.readableSinceMs,
  );
  if (nowMs < claimableFromMs + computeStandbyDelayMs(view)) return NO_ACTION;
  return { kind: 'claim', follows: view.claim?.offset ?? -1, leaseMs };
}
