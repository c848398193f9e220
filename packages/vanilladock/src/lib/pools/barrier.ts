/**
 * The barrier between a release and its join, for both planner and entries. The planner may append
 * the join once every entry has applied the release or its lease has lapsed on the planner's
 * monotonic clock. An entry measures the same lease from before it sent the acknowledgement that it
 * has since read back. It therefore always stops first: it sends earlier than the planner can read.
 *
 * The lease is longer than the log outages during which entries must keep routing. A crashed entry
 * delays moves, and only moves, for that time; an entry that shuts down cleanly sends a leaving
 * acknowledgement and delays nothing.
 */
import { Map } from 'immutable';
import { listUnacknowledged, type PoolState } from './fold.js';
import type { LapsedEntry } from './records.js';

/** Durations of the barrier. */
export interface BarrierSettings {
  /** Time for which an entry may route after sending the acknowledgement that it last read back. */
  readonly leaseMs: number;
  /** Interval at which an entry acknowledges when no release waits for it. */
  readonly renewMs: number;
  /** Largest relative drift of any instance's monotonic clock. */
  readonly driftShare: number;
}

/** Durations that allow entries to keep routing during a log outage of one hour. */
export const BARRIER_SETTINGS: BarrierSettings = {
  leaseMs: 75 * 60_000,
  renewMs: 5 * 60_000,
  driftShare: 0.01,
};

/** An entry's newest acknowledgement and the time at which the planner first read it. */
export interface AcknowledgementObservation {
  readonly acknowledgementOffset: number;
  /** Time on the planner's monotonic clock. */
  readonly readAtMs: number;
}

/** The planner's observations by entry id; not persisted, so a new planner starts over. */
export type AcknowledgementObservations = Map<string, AcknowledgementObservation>;

/** Creates the empty observations of a planner that has just taken over. */
export function createAcknowledgementObservations(): AcknowledgementObservations {
  return Map();
}

/**
 * Whether a join may be written: `ready`, with the entries to list as lapsed (often none), or
 * `waiting` for the named entries until they acknowledge, at the latest until `untilMs` on the
 * planner's monotonic clock.
 */
export type JoinVerdict =
  | { readonly kind: 'ready'; readonly lapsed: readonly LapsedEntry[] }
  | { readonly kind: 'waiting'; readonly entryIds: readonly string[]; readonly untilMs: number };

/**
 * Updates the observations with the acknowledgements that the planner has read by `nowMs`, on its
 * monotonic clock. Entries that are no longer known are dropped.
 */
export function observeAcknowledgements(
  observations: AcknowledgementObservations,
  pools: PoolState,
  nowMs: number,
): AcknowledgementObservations {
  return pools.entries.map((acknowledgement, entryId): AcknowledgementObservation => {
    const known = observations.get(entryId);
    if (known?.acknowledgementOffset === acknowledgement.offset) return known;
    return { acknowledgementOffset: acknowledgement.offset, readAtMs: nowMs };
  });
}

/** Computes how long the planner waits for an entry's lease; both clocks may drift. */
export function computeLapseMs(settings: BarrierSettings): number {
  return settings.leaseMs * ((1 + settings.driftShare) / (1 - settings.driftShare));
}

/**
 * Decides whether the join that follows a release may be written; `nowMs` is on the planner's
 * monotonic clock. The lease of an entry without an observation counts from `nowMs`.
 */
export function decideJoin(
  pools: PoolState,
  releaseOffset: number,
  observations: AcknowledgementObservations,
  nowMs: number,
  settings: BarrierSettings,
): JoinVerdict {
  const lapseMs = computeLapseMs(settings);
  const late = listUnacknowledged(pools, releaseOffset).map((entryId) => {
    const observation = observations.get(entryId);
    const lapsesAtMs = (observation?.readAtMs ?? nowMs) + lapseMs;
    return { entryId, acknowledgementOffset: observation?.acknowledgementOffset ?? -1, lapsesAtMs };
  });
  const waiting = late.filter(({ lapsesAtMs }) => lapsesAtMs > nowMs);
  if (waiting.length === 0) {
    const lapsed = late.map(({ entryId, acknowledgementOffset }) => {
      return { entryId, acknowledgementOffset };
    });
    return { kind: 'ready', lapsed };
  }
  return {
    kind: 'waiting',
    entryIds: waiting.map(({ entryId }) => entryId),
    untilMs: Math.max(...waiting.map(({ lapsesAtMs }) => lapsesAtMs)),
  };
}

/** An entry's own lease on routing to pool members; times are on the entry's monotonic clock. */
export interface EntryLease {
  /** Send time of the newest acknowledgement that was read back; undefined before the first. */
  readonly sentAtMs: number | undefined;
  /** Send times of acknowledgements that were not yet read back, by record id. */
  readonly pending: Map<string, number>;
}

/** Creates the lease of an entry before its first acknowledgement. */
export function createEntryLease(): EntryLease {
  return { sentAtMs: undefined, pending: Map() };
}

/** Records an acknowledgement just before it is first sent; repeated sends keep the first time. */
export function recordAcknowledgement(lease: EntryLease, id: string, nowMs: number): EntryLease {
  return lease.pending.has(id) ? lease : { ...lease, pending: lease.pending.set(id, nowMs) };
}

/**
 * Renews the lease when the entry reads its own acknowledgement from the log; an id that is not
 * pending changes nothing.
 */
export function observeReadBack(lease: EntryLease, id: string): EntryLease {
  const sentAtMs = lease.pending.get(id);
  if (sentAtMs === undefined) return lease;
  return {
    sentAtMs: Math.max(sentAtMs, lease.sentAtMs ?? sentAtMs),
    pending: lease.pending.filter((pendingSentAtMs) => pendingSentAtMs > sentAtMs),
  };
}

/**
 * Says whether the entry may route to pool members according to its state of the log; false before
 * its first acknowledgement was read back.
 */
export function isRoutingAllowed(
  lease: EntryLease,
  nowMs: number,
  settings: BarrierSettings,
): boolean {
  return lease.sentAtMs !== undefined && nowMs < lease.sentAtMs + settings.leaseMs;
}

/**
 * Says whether an entry should acknowledge now: it has no lease, the renewal interval has elapsed,
 * or a release or removal waits for its acknowledgement.
 */
export function isAcknowledgementDue(
  lease: EntryLease,
  pools: PoolState,
  entryId: string,
  nowMs: number,
  settings: BarrierSettings,
): boolean {
  if (lease.sentAtMs === undefined) return true;
  if (nowMs >= lease.sentAtMs + settings.renewMs) return true;
  const acknowledgement = pools.entries.get(entryId);
  return pools.between.some((id) => {
    const offset = pools.memberships.get(id)?.offset ?? -1;
    return offset > (acknowledgement?.appliedOffset ?? -1);
  });
}
