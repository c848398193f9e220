/**
 * Reads the state of the fleet from the log alone: from its beginning, or from the newest complete
 * snapshot and the records after it. Reads backwards from the end, so that a long log costs little.
 */
import { Err, Ok, type Result } from 'ts-results-es';
import {
  createFleetState,
  findStart,
  foldFleet,
  type FleetState,
  type LogError,
  type LogService,
  type StoredRecord,
} from 'vanilladock';

const START_SPAN = 2_000;
const SPAN_FACTOR = 4;

/** Reads all records from an offset to the end. */
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

/** A state and the records that follow it, up to the end of the log. */
export interface LogStart {
  readonly state: FleetState;
  readonly records: readonly StoredRecord[];
}

/** Reads where to start from; `refused` when the log no longer holds enough of itself. */
export async function readStart(service: LogService): Promise<Result<LogStart, LogError>> {
  const end = await service.read(Number.MAX_SAFE_INTEGER, 0);
  if (end.isErr()) return Err(end.error);
  const { first, next } = end.value;
  if (next === 0) return Ok({ state: createFleetState(), records: [] });
  for (let span = START_SPAN; ; span *= SPAN_FACTOR) {
    const from = Math.max(first, next - span);
    const records = await readFrom(service, from);
    if (records.isErr()) return Err(records.error);
    const state = findStart(records.value, records.value[0]?.offset ?? next);
    if (state !== undefined) return Ok({ state, records: records.value });
    if (from === first) break;
  }
  const message = 'the log has dropped its beginning and holds no complete snapshot';
  return Err({ kind: 'refused', message });
}

/** Reads the state of the fleet at the end of the log, on from a known one if there is one. */
export async function readFleet(
  service: LogService,
  known?: FleetState,
): Promise<Result<FleetState, LogError>> {
  if (known !== undefined) {
    const later = await readFrom(service, known.next);
    const isWhole = later.isOk() && (later.value[0]?.offset ?? known.next) === known.next;
    if (isWhole) return Ok(later.value.reduce(foldFleet, known));
  }
  const start = await readStart(service);
  return start.map(({ state, records }) => records.reduce(foldFleet, state));
}
