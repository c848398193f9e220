/**
 * An entry's copy of the log: the folded state and a bounded number of the newest records and
 * digests, which it serves to peers that cannot read the log themselves. Records arrive from the
 * log or from peers, in any order and possibly more than once; only the next one in order is
 * folded.
 */
import { BehaviorSubject, Subject, type Observable } from 'rxjs';
import {
  createFleetState,
  DIGESTS_KEPT,
  foldFleet,
  type DigestAt,
  type FleetState,
  type StoredRecord,
} from 'vanilladock';
import type { JsonLog } from './json-log.js';

/** An entry's copy of the log. */
export interface LogStore {
  /** Emits after each batch of records that changed the state. */
  readonly state$: Observable<FleetState>;
  readonly getState: () => FleetState;
  /** Emits each record once, when it is folded. */
  readonly records$: Observable<StoredRecord>;
  /** Folds the records that are next in order and ignores the others. */
  readonly applyRecords: (records: readonly StoredRecord[]) => void;
  /** Replaces the state by one that is further ahead; ignores any other. */
  readonly applyState: (state: FleetState) => void;
  /**
   * Lists the records from an offset on, up to the bounds of one slice; undefined when the first of
   * them is no longer held.
   */
  readonly listRecords: (from: number) => readonly StoredRecord[] | undefined;
  /** Lists the newest digests, oldest first. */
  readonly listDigests: () => readonly DigestAt[];
}

const MAX_HELD_RECORDS = 2_048;
const MAX_HELD_CHARS = 2_097_152;
const MAX_SLICE_RECORDS = 500;
const MAX_SLICE_CHARS = 1_048_576;

/** Selects the first records of a list within the bounds of one slice, at least one. */
function selectSlice(records: readonly StoredRecord[]): readonly StoredRecord[] {
  let length = 0;
  const end = records.findIndex(({ text }, index) => {
    length += text.length;
    return index >= MAX_SLICE_RECORDS || (index > 0 && length > MAX_SLICE_CHARS);
  });
  return end < 0 ? records : records.slice(0, end);
}

/** Creates a store with the initial state and no records. */
export function createLogStore(log: JsonLog): LogStore {
  const state = new BehaviorSubject(createFleetState());
  const folded$ = new Subject<StoredRecord>();
  let held: StoredRecord[] = [];
  let heldChars = 0;
  let digests: DigestAt[] = [];

  const addHeldRecord = (record: StoredRecord) => {
    held.push(record);
    heldChars += record.text.length;
    while (held.length > MAX_HELD_RECORDS || (heldChars > MAX_HELD_CHARS && held.length > 1)) {
      heldChars -= held.shift()?.text.length ?? 0;
    }
  };
  const addDigest = (digest: DigestAt) => {
    digests.push(digest);
    if (digests.length > DIGESTS_KEPT) digests.shift();
  };
  const checkHeldRecord = ({ offset, text }: StoredRecord) => {
    const heldRecord = held[offset - (held[0]?.offset ?? 0)];
    if (heldRecord === undefined || heldRecord.text === text) return;
    log.error({ event: 'record-differs', firstOffset: offset });
  };
  const logChange = (before: FleetState, after: FleetState) => {
    const { version, author } = after.config;
    if (version === before.config.version) return;
    log.info({ event: 'config-in-force', version, author, offset: after.next - 1 });
  };
  const applyRecords = (records: readonly StoredRecord[]) => {
    const before = state.value;
    const after = records.reduce((current, record) => {
      if (record.offset < current.next) checkHeldRecord(record);
      const folded = foldFleet(current, record);
      if (folded === current) return current;
      addHeldRecord(record);
      folded$.next(record);
      addDigest({ offset: record.offset, digest: folded.digest });
      return folded;
    }, before);
    if (after === before) return;
    state.next(after);
    logChange(before, after);
  };
  const applyState = (adopted: FleetState) => {
    const before = state.value;
    if (adopted.next <= before.next) return;
    held = [];
    heldChars = 0;
    digests = [{ offset: adopted.next - 1, digest: adopted.digest }];
    state.next(adopted);
    log.info({ event: 'state-adopted', next: adopted.next });
    logChange(before, adopted);
  };
  const listRecords = (from: number) => {
    const { next } = state.value;
    const firstOffset = held[0]?.offset ?? next;
    if (from < firstOffset) return undefined;
    return selectSlice(held.slice(from - firstOffset));
  };
  return {
    state$: state.asObservable(),
    getState: () => state.value,
    records$: folded$.asObservable(),
    applyRecords,
    applyState,
    listRecords,
    listDigests: () => digests,
  };
}
