/**
 * The barrier between a release and its join, on both sides. The planner may write the join when
 * every entry has applied the release or when the entry's lease has run out by the planner's own
 * monotonic clock. The entry counts the same lease from before it sent the acknowledgement that it
 * has since read back, so it always stops first: it sends earlier than the planner can read.
 *
 * The lease is longer than the log outages that entries must route through. A crashed entry holds
 * up moves, and only moves, for that time; one that leaves in order says so and holds up nothing.
 */
import { Map } from 'immutable';
import { listUnacknowledged, type PoolState } from './fold.js';
import type { LapsedEntry } from './records.js';

/** Durations of the barrier. */
export interface BarrierSettings {
  /** Time that an entry may route after it sent the acknowledgement that it last read back. */
  readonly leaseMs: number;
  /** Time after which an entry sends its next acknowledgement when nothing asks for one. */
  readonly renewMs: number;
  /** Largest rate error of any instance's monotonic clock. */
  readonly driftShare: number;
}

/** Durations that let entries route through a log outage of an hour. */
export const BARRIER_SETTINGS: BarrierSettings = {
  leaseMs: 75 * 60_000,
  renewMs: 5 * 60_000,
  driftShare: 0.01,
};

/** When the planner first read an entry's newest acknowledgement. */
export interface Sighting {
  readonly acknowledgementOffset: number;
  /** Planner's monotonic clock. */
  readonly readAtMs: number;
}

/** The planner's sightings by entry id; lost with the planner, and then counted anew. */
export type Sightings = Map<string, Sighting>;

/** Creates the sightings of a planner that has just taken over. */
export function createSightings(): Sightings {
  return Map();
}

/** Whether a join may be written. */
export type JoinVerdict =
  | { readonly kind: 'ready'; readonly lapsed: readonly LapsedEntry[] }
  | { readonly kind: 'waiting'; readonly entryIds: readonly string[]; readonly untilMs: number };

/** Takes in the acknowledgements that the planner has read by now. */
export function observeAcknowledgements(
  sightings: Sightings,
  pools: PoolState,
  nowMs: number,
): Sightings {
  return pools.entries.map((word, entryId): Sighting => {
    const known = sightings.get(entryId);
    if (known?.acknowledgementOffset === word.offset) return known;
    return { acknowledgementOffset: word.offset, readAtMs: nowMs };
  });
}

/** Computes the planner's wait for an entry's lease; both clocks may be wrong by the drift. */
export function computeLapseMs(settings: BarrierSettings): number {
  return settings.leaseMs * ((1 + settings.driftShare) / (1 - settings.driftShare));
}

/** Decides whether the join that follows a release may be written. */
export function decideJoin(
  pools: PoolState,
  releaseOffset: number,
  sightings: Sightings,
  nowMs: number,
  settings: BarrierSettings,
): JoinVerdict {
  const lapseMs = computeLapseMs(settings);
  const late = listUnacknowledged(pools, releaseOffset).map((entryId) => {
    const sighting = sightings.get(entryId);
    const lapsesAtMs = (sighting?.readAtMs ?? nowMs) + lapseMs;
    return { entryId, acknowledgementOffset: sighting?.acknowledgementOffset ?? -1, lapsesAtMs };
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

/** An entry's own lease on routing to members of pools. */
export interface EntryLease {
  /** Sending time of the newest acknowledgement that was read back; undefined before the first. */
  readonly sentAtMs: number | undefined;
  /** Sending times, by record id, of acknowledgements that were not yet read back. */
  readonly pending: Map<string, number>;
}

/** Creates the lease of an entry that has yet to acknowledge anything. */
export function createEntryLease(): EntryLease {
  return { sentAtMs: undefined, pending: Map() };
}

/** Records an acknowledgement just before it is sent; call it again for no repetition. */
export function recordAcknowledgement(lease: EntryLease, id: string, nowMs: number): EntryLease {
  return lease.pending.has(id) ? lease : { ...lease, pending: lease.pending.set(id, nowMs) };
}

/** Renews the lease when the entry reads its own acknowledgement from the log. */
export function observeReadBack(lease: EntryLease, id: string): EntryLease {
  const sentAtMs = lease.pending.get(id);
  if (sentAtMs === undefined) return lease;
  return {
    sentAtMs: Math.max(sentAtMs, lease.sentAtMs ?? sentAtMs),
    pending: lease.pending.filter((other) => other > sentAtMs),
  };
}

/** Says whether the entry may route to members of pools by its state of the log. */
export function isRoutingAllowed(
  lease: EntryLease,
  nowMs: number,
  settings: BarrierSettings,
): boolean {
  return lease.sentAtMs !== undefined && nowMs < lease.sentAtMs + settings.leaseMs;
}

/** Says whether an entry is due to acknowledge: a release waits for it, or its lease is ageing. */
export function isAcknowledgementDue(
  lease: EntryLease,
  pools: PoolState,
  entryId: string,
  nowMs: number,
  settings: BarrierSettings,
): boolean {
  if (lease.sentAtMs === undefined) return true;
  if (nowMs >= lease.sentAtMs + settings.renewMs) return true;
  const word = pools.entries.get(entryId);
  return pools.between.some((id) => {
    const offset = pools.memberships.get(id)?.offset ?? -1;
    return offset > (word?.appliedOffset ?? -1);
  });
}
