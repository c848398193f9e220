/**
 * What one entry knows of the log: the folded state, and the newest records and digests, bounded, which
 * it hands to peers that cannot read the log themselves. Records come from the log or from peers, in
 * any order and more than once; only the next one in order is folded.
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

/** The state of the log at one entry. */
export interface LogStore {
  /** Emits after each batch of records that changed the state. */
  readonly state$: Observable<FleetState>;
  readonly getState: () => FleetState;
  /** Emits each record once, when it is folded. */
  readonly records$: Observable<StoredRecord>;
  /** Folds the records that come next in order. */
  readonly applyRecords: (records: readonly StoredRecord[]) => void;
  /** Takes over a state that is further on; one that is not changes nothing. */
  readonly takeState: (state: FleetState) => void;
  /** Lists records from an offset on; undefined when the first of them is no longer held. */
  readonly listRecords: (from: number) => readonly StoredRecord[] | undefined;
  /** The newest digests, oldest first. */
  readonly listDigests: () => readonly DigestAt[];
}

const HELD_RECORDS = 2_048;
const HELD_LENGTH = 2_097_152;
const SLICE_RECORDS = 500;
const SLICE_LENGTH = 1_048_576;

/** Takes records from the start of a list up to the bounds of one slice, at least one. */
function takeSlice(records: readonly StoredRecord[]): readonly StoredRecord[] {
  let length = 0;
  const end = records.findIndex(({ text }, index) => {
    length += text.length;
    return index >= SLICE_RECORDS || (index > 0 && length > SLICE_LENGTH);
  });
  return end < 0 ? records : records.slice(0, end);
}

/** Creates a store that knows nothing yet. */
export function createLogStore(log: JsonLog): LogStore {
  const state = new BehaviorSubject(createFleetState());
  const folded$ = new Subject<StoredRecord>();
  let held: StoredRecord[] = [];
  let heldLength = 0;
  let digests: DigestAt[] = [];

  const addHeld = (record: StoredRecord) => {
    held.push(record);
    heldLength += record.text.length;
    while (held.length > HELD_RECORDS || (heldLength > HELD_LENGTH && held.length > 1)) {
      heldLength -= held.shift()?.text.length ?? 0;
    }
  };
  const addDigest = (digest: DigestAt) => {
    digests.push(digest);
    if (digests.length > DIGESTS_KEPT) digests.shift();
  };
  const checkHeld = ({ offset, text }: StoredRecord) => {
    const known = held[offset - (held[0]?.offset ?? 0)];
    if (known === undefined || known.text === text) return;
    log.error({ event: 'record-differs', firstOffset: offset });
  };
  const logChange = (before: FleetState, after: FleetState) => {
    const { version, author } = after.config;
    if (version === before.config.version) return;
    log.info({ event: 'config-in-force', version, author, offset: after.next - 1 });
  };
  const applyRecords = (records: readonly StoredRecord[]) => {
    const before = state.value;
    const after = records.reduce((folded, record) => {
      if (record.offset < folded.next) checkHeld(record);
      const next = foldFleet(folded, record);
      if (next === folded) return folded;
      addHeld(record);
      folded$.next(record);
      addDigest({ offset: record.offset, digest: next.digest });
      return next;
    }, before);
    if (after === before) return;
    state.next(after);
    logChange(before, after);
  };
  const takeState = (adopted: FleetState) => {
    const before = state.value;
    if (adopted.next <= before.next) return;
    held = [];
    heldLength = 0;
    digests = [{ offset: adopted.next - 1, digest: adopted.digest }];
    state.next(adopted);
    log.info({ event: 'state-adopted', next: adopted.next });
    logChange(before, adopted);
  };
  const listRecords = (from: number) => {
    const { next } = state.value;
    const first = held[0]?.offset ?? next;
    if (from < first) return undefined;
    return takeSlice(held.slice(from - first));
  };
  return {
    state$: state.asObservable(),
    getState: () => state.value,
    records$: folded$.asObservable(),
    applyRecords,
    takeState,
    listRecords,
    listDigests: () => digests,
  };
}
