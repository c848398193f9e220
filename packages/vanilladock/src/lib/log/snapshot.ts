/**
 * Snapshots in the log: builds the parts of a snapshot, and restores the state from the newest
 * complete snapshot and the records after it when the log no longer retains its beginning.
 */
import type { StoredRecord } from '../ports/log-service.js';
import { decodeRecord } from './codec.js';
import { createFleetState, foldFleet, type FleetState } from './fleet-state.js';
import type { RecordHead } from './record.js';
import type { SnapshotRecord } from './snapshot-record.js';
import { decodeFleetState, encodeFleetState } from './state-codec.js';

/** Maximum length of one part of the encoded state, in characters. */
export const PART_LENGTH = 32_768;

/** A snapshot of which the log has all parts; its body may still be corrupt. */
export interface FoundSnapshot {
  /** Offset of its first part. */
  readonly offset: number;
  /** The last offset that the snapshot includes. */
  readonly throughOffset: number;
  /** The whole encoded state. */
  readonly body: string;
}

/**
 * Builds the records of a snapshot of a state, at least one, in the order of parts; `head.id` is
 * the id of the snapshot.
 */
export function buildSnapshot(state: FleetState, head: RecordHead): readonly SnapshotRecord[] {
  const text = encodeFleetState(state);
  const parts = Math.max(1, Math.ceil(text.length / PART_LENGTH));
  return Array.from({ length: parts }, (_, part) => ({
    ...head,
    kind: 'log.snapshot',
    id: `${head.id}/${part}`,
    snapshotId: head.id,
    throughOffset: state.next - 1,
    part,
    parts,
    body: text.slice(part * PART_LENGTH, (part + 1) * PART_LENGTH),
  }));
}

/**
 * Finds the complete snapshot that includes the most records, among records in order; undefined
 * when there is none. The encoded state is not checked.
 */
export function findSnapshot(records: readonly StoredRecord[]): FoundSnapshot | undefined {
  const partsBySnapshot = new Map<
    string,
    Map<number, { offset: number; record: SnapshotRecord }>
  >();
  let newest: FoundSnapshot | undefined;
  records.forEach(({ offset, text }) => {
    if (!text.includes('"log.snapshot"')) return;
    const record = decodeRecord(text);
    if (record?.kind !== 'log.snapshot') return;
    const parts = partsBySnapshot.get(record.snapshotId) ?? new Map();
    if (!parts.has(record.part)) parts.set(record.part, { offset, record });
    partsBySnapshot.set(record.snapshotId, parts);
    if (parts.size < record.parts || record.throughOffset < (newest?.throughOffset ?? -1)) return;
    const ordered = [...parts.values()].sort((a, b) => a.record.part - b.record.part);
    newest = {
      offset: Math.min(...ordered.map((part) => part.offset)),
      throughOffset: record.throughOffset,
      body: ordered.map((part) => part.record.body).join(''),
    };
  });
  return newest;
}

/**
 * Finds the state from which to fold the retained records: that of the newest snapshot, or the
 * empty state. The records must be complete from offset `first` to the end of the log. Undefined
 * when the beginning of the log is missing and the newest complete snapshot is absent, corrupt, of
 * another format or too old to reach `first`; older snapshots are not tried.
 */
export function findInitialState(
  records: readonly StoredRecord[],
  first: number,
): FleetState | undefined {
  const snapshot = findSnapshot(records);
  const decoded = snapshot === undefined ? undefined : decodeFleetState(snapshot.body);
  if (decoded !== undefined && decoded.next >= first) return decoded;
  return first > 0 ? undefined : createFleetState();
}

/**
 * Folds the retained records, in order and complete from offset `first`; undefined when there is no
 * state to start from, as for `findInitialState`.
 */
export function loadFleet(records: readonly StoredRecord[], first: number): FleetState | undefined {
  const start = findInitialState(records, first);
  return start === undefined ? undefined : records.reduce(foldFleet, start);
}
