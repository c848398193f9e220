/**
 * Folds pool records into the membership of instances. An instance is in one pool or between pools,
 * but never in two: a release removes it from its pool, and the following join is void until every
 * entry has applied the release or is listed as lapsed. Among racing planners the newest claim
 * wins; within one claim, the first release of an instance wins.
 */
import { Map, Set } from 'immutable';
import type { ClaimRecord } from '../duties/records.js';
import type { PlacedRecord } from '../log/record.js';
import { createFences, foldFence, isCurrentFence, MOVES_DUTY, type Fences } from './fences.js';
import { addRecentId, createRecentIds, type RecentIds } from './recent-ids.js';
import type { AcknowledgementRecord, JoinRecord, PoolRecord, ReleaseRecord } from './records.js';

/** The pool membership of one instance; `offset` is that of the record that made it so. */
export type PoolMembership =
  | { readonly kind: 'member'; readonly pool: string; readonly offset: number }
  | {
      readonly kind: 'released';
      readonly from: string;
      readonly to: string;
      readonly offset: number;
    }
  /** Removed; kept until every entry has applied the removal, because the id may be reused. */
  | { readonly kind: 'removed'; readonly offset: number };

/** The newest acknowledgement of an entry. */
export interface EntryAcknowledgement {
  /** Offset up to which the entry has applied the log. */
  readonly appliedOffset: number;
  /** Offset of the newest acknowledgement. */
  readonly offset: number;
  /** Offset of the first acknowledgement since the entry last became known. */
  readonly firstOffset: number;
}

/** Pool membership of all instances, and the newest acknowledgements of all entries. */
export interface PoolState {
  /** By instance id. */
  readonly memberships: Map<string, PoolMembership>;
  /** Instance ids of each pool. */
  readonly members: Map<string, Set<string>>;
  /** Ids of instances that are released or removed, that is, in no pool. */
  readonly between: Set<string>;
  /** By entry id; without entries that have left or that a join listed as lapsed. */
  readonly entries: Map<string, EntryAcknowledgement>;
  readonly fences: Fences;
  readonly recentIds: RecentIds;
}

/** Records that the fold applies. */
export type PoolFoldRecord = PoolRecord | ClaimRecord;

/** Creates the state before the first record. */
export function createPoolState(): PoolState {
  return {
    memberships: Map(),
    members: Map(),
    between: Set(),
    entries: Map(),
    fences: createFences(),
    recentIds: createRecentIds(),
  };
}

/**
 * Lists the ids of entries that may still route by a state older than the offset, sorted. An entry
 * that first acknowledged at or after the offset is not listed.
 */
export function listUnacknowledged(state: PoolState, offset: number): readonly string[] {
  return [...state.entries]
    .filter(
      ([, acknowledgement]) =>
        acknowledgement.firstOffset < offset && acknowledgement.appliedOffset < offset,
    )
    .map(([entryId]) => entryId)
    .sort();
}

/** Sets an instance's membership and updates the index by pool. */
function setMembership(
  state: PoolState,
  instanceId: string,
  membership: PoolMembership,
): PoolState {
  const previous = state.memberships.get(instanceId);
  let { members } = state;
  if (previous?.kind === 'member') {
    members = members.update(previous.pool, Set(), (ids) => ids.delete(instanceId));
  }
  if (membership.kind === 'member') {
    members = members.update(membership.pool, Set(), (ids) => ids.add(instanceId));
  }
  const between =
    membership.kind === 'member' ? state.between.delete(instanceId) : state.between.add(instanceId);
  return { ...state, members, between, memberships: state.memberships.set(instanceId, membership) };
}

/** Drops removed instances whose removal every entry has applied. */
function dropAppliedRemovals(state: PoolState): PoolState {
  const applied = state.between.filter((instanceId) => {
    const membership = state.memberships.get(instanceId);
    return (
      membership?.kind === 'removed' && listUnacknowledged(state, membership.offset).length === 0
    );
  });
  if (applied.isEmpty()) return state;
  const memberships = state.memberships.deleteAll(applied);
  return { ...state, memberships, between: state.between.subtract(applied) };
}

/** Folds an entry's acknowledgement; its applied offset never decreases. */
function foldAcknowledgement(state: PoolState, placed: PlacedRecord<AcknowledgementRecord>) {
  const { record, offset } = placed;
  if (record.appliedOffset >= offset) return state;
  if (record.isLeaving === true) {
    return { ...state, entries: state.entries.delete(record.entryId) };
  }
  const known = state.entries.get(record.entryId);
  const acknowledgement = {
    appliedOffset: Math.max(record.appliedOffset, known?.appliedOffset ?? -1),
    firstOffset: known?.firstOffset ?? offset,
    offset,
  };
  return { ...state, entries: state.entries.set(record.entryId, acknowledgement) };
}

/** Folds a release; void unless the instance is a member of the pool that it names. */
function foldRelease(state: PoolState, placed: PlacedRecord<ReleaseRecord>): PoolState {
  const { record, offset } = placed;
  const membership = state.memberships.get(record.instanceId);
  if (membership?.kind !== 'member') return state;
  if (membership.pool !== record.from || record.to === record.from) return state;
  const { from, to } = record;
  return setMembership(state, record.instanceId, { kind: 'released', from, to, offset });
}

/** Says whether each entry has applied the release or is listed with its newest acknowledgement. */
function isBarrierPassed(state: PoolState, record: JoinRecord): boolean {
  return listUnacknowledged(state, record.releaseOffset).every((entryId) =>
    record.lapsed?.some(
      (lapsed) =>
        lapsed.entryId === entryId &&
        lapsed.acknowledgementOffset === state.entries.get(entryId)?.offset,
    ),
  );
}

/** Says whether a join is valid for the current membership of its instance. */
function isJoinValid(state: PoolState, record: JoinRecord): boolean {
  const membership = state.memberships.get(record.instanceId);
  if (membership === undefined) return record.releaseOffset === -1;
  if (record.releaseOffset !== membership.offset) return false;
  switch (membership.kind) {
    case 'member':
      return false;
    case 'released':
      if (record.pool === membership.from) return true;
      return record.pool === membership.to && isBarrierPassed(state, record);
    case 'removed':
      return isBarrierPassed(state, record);
    default:
      return membership satisfies never;
  }
}

/** Folds a join; drops the entries that it lists as lapsed and that had not applied the release. */
function foldJoin(state: PoolState, placed: PlacedRecord<JoinRecord>): PoolState {
  const { record, offset } = placed;
  if (!isJoinValid(state, record)) return state;
  const late = listUnacknowledged(state, record.releaseOffset);
  const lapsed = (record.lapsed ?? []).map(({ entryId }) => entryId);
  const entries = state.entries.deleteAll(late.filter((entryId) => lapsed.includes(entryId)));
  const member = { kind: 'member', pool: record.pool, offset } as const;
  return setMembership({ ...state, entries }, record.instanceId, member);
}

/** Applies a record that was not applied before. */
function applyRecord(state: PoolState, placed: PlacedRecord<PoolFoldRecord>): PoolState {
  const { record, offset } = placed;
  switch (record.kind) {
    case 'duty.claim':
      return { ...state, fences: foldFence(state.fences, { record, offset }) };
    case 'pool.acknowledgement':
      return dropAppliedRemovals(foldAcknowledgement(state, { record, offset }));
    case 'pool.release':
    case 'pool.join':
    case 'pool.removal':
      if (!isCurrentFence(state.fences, MOVES_DUTY, record.fence)) return state;
      break;
    default:
      return record satisfies never;
  }
  switch (record.kind) {
    case 'pool.release':
      return foldRelease(state, { record, offset });
    case 'pool.join':
      return foldJoin(state, { record, offset });
    case 'pool.removal':
      if (!state.memberships.has(record.instanceId)) return state;
      return setMembership(state, record.instanceId, { kind: 'removed', offset });
    default:
      return record satisfies never;
  }
}

/**
 * Folds one record into the pool state. A repeated record has no effect; a void one only adds its
 * id to `recentIds`.
 */
export function foldPool(state: PoolState, placed: PlacedRecord<PoolFoldRecord>): PoolState {
  if (state.recentIds.has(placed.record.id)) return state;
  const applied = applyRecord(state, placed);
  return { ...applied, recentIds: addRecentId(applied.recentIds, placed.record.id) };
}

/** Gets the pool of an instance; undefined while it is between pools or unknown. */
export function getPool(state: PoolState, instanceId: string): string | undefined {
  const membership = state.memberships.get(instanceId);
  return membership?.kind === 'member' ? membership.pool : undefined;
}

/** Counts the instances of a pool; 0 for an unknown pool. */
export function countMembers(state: PoolState, pool: string): number {
  return state.members.get(pool)?.size ?? 0;
}
