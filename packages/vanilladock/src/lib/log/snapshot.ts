/**
 * Snapshots in the log: building the parts of one, and starting from the newest complete one and the
 * records after it when the log no longer keeps its beginning.
 */
import type { StoredRecord } from '../ports/log-service.js';
import { decodeRecord } from './codec.js';
import { createFleetState, foldFleet, type FleetState } from './fleet-state.js';
import type { RecordHead } from './record.js';
import type { SnapshotRecord } from './snapshot-record.js';
import { decodeFleetState, encodeFleetState } from './state-codec.js';

/** Characters of the encoded state in one part. */
export const PART_LENGTH = 32_768;

/** A snapshot that is wholly in the log. */
export interface FoundSnapshot {
  /** Offset of its first part. */
  readonly offset: number;
  readonly throughOffset: number;
  readonly body: string;
}

/** Builds the records of a snapshot; `head.id` names the snapshot. */
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

/** Finds the newest complete snapshot among records in order; undefined when there is none. */
export function findSnapshot(records: readonly StoredRecord[]): FoundSnapshot | undefined {
  const found = new Map<string, Map<number, { offset: number; record: SnapshotRecord }>>();
  let newest: FoundSnapshot | undefined;
  records.forEach(({ offset, text }) => {
    if (!text.includes('"log.snapshot"')) return;
    const record = decodeRecord(text);
    if (record?.kind !== 'log.snapshot') return;
    const parts = found.get(record.snapshotId) ?? new Map();
    if (!parts.has(record.part)) parts.set(record.part, { offset, record });
    found.set(record.snapshotId, parts);
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
 * Finds the state from which the kept records are to be folded, given without a gap from `first`, the
 * oldest of them, to the end: that of the newest snapshot, or the empty one. Undefined when the records
 * do not begin with the log and hold no usable snapshot.
 */
export function findStart(records: readonly StoredRecord[], first: number): FleetState | undefined {
  const snapshot = findSnapshot(records);
  const decoded = snapshot === undefined ? undefined : decodeFleetState(snapshot.body);
  if (decoded !== undefined && decoded.next >= first) return decoded;
  return first > 0 ? undefined : createFleetState();
}

/** Folds kept records from their start; undefined when there is none to start from. */
export function loadFleet(records: readonly StoredRecord[], first: number): FleetState | undefined {
  const start = findStart(records, first);
  return start === undefined ? undefined : records.reduce(foldFleet, start);
}
