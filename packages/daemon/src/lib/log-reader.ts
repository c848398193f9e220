/**
 * Reads the state of the fleet from the log alone, starting at its beginning or at the newest
 * complete snapshot. Searches backwards from the end in growing spans, so that a long log costs
 * little.
 */
import { Err, Ok, type Result } from 'ts-results-es';
import {
  createFleetState,
  findInitialState,
  foldFleet,
  type FleetState,
  type LogError,
  type LogService,
  type StoredRecord,
} from 'vanilladock';

const INITIAL_SPAN_RECORDS = 2_000;
const SPAN_FACTOR = 4;

/** Reads all records from an offset to the end of the log. */
async function readFrom(
  service: LogService,
  from: number,
): Promise<Result<readonly StoredRecord[], LogError>> {
  const records: StoredRecord[] = [];
  for (let next = from; ;) {
    const slice = await service.read(next, 0);
    if (slice.isErr()) return Err(slice.error);
    records.push(...slice.value.records);
    next = (slice.value.records.at(-1)?.offset ?? slice.value.next - 1) + 1;
    if (next >= slice.value.next) return Ok(records);
  }
}

/** A state to start from, and the records to fold into it up to the end of the log. */
export interface LogStart {
  readonly state: FleetState;
  readonly records: readonly StoredRecord[];
}

/**
 * Reads the state to start from. The error is `refused` when the log has dropped its beginning and
 * holds no complete snapshot.
 */
export async function readStart(service: LogService): Promise<Result<LogStart, LogError>> {
  const end = await service.read(Number.MAX_SAFE_INTEGER, 0);
  if (end.isErr()) return Err(end.error);
  const { first, next } = end.value;
  if (next === 0) return Ok({ state: createFleetState(), records: [] });
  for (let span = INITIAL_SPAN_RECORDS; ; span *= SPAN_FACTOR) {
    const from = Math.max(first, next - span);
    const records = await readFrom(service, from);
    if (records.isErr()) return Err(records.error);
    const state = findInitialState(records.value, records.value[0]?.offset ?? next);
    if (state !== undefined) return Ok({ state, records: records.value });
    if (from === first) break;
  }
  const message = 'the log has dropped its beginning and holds no complete snapshot';
  return Err({ kind: 'refused', message });
}

/**
 * Reads the state of the fleet at the end of the log. Continues from `known` if the log still holds
 * all records after it.
 */
export async function readFleet(
  service: LogService,
  known?: FleetState,
): Promise<Result<FleetState, LogError>> {
  if (known !== undefined) {
    const laterRecords = await readFrom(service, known.next);
    const isContiguous =
      laterRecords.isOk() && (laterRecords.value[0]?.offset ?? known.next) === known.next;
    if (isContiguous) return Ok(laterRecords.value.reduce(foldFleet, known));
  }
  const start = await readStart(service);
  return start.map(({ state, records }) => records.reduce(foldFleet, state));
}
