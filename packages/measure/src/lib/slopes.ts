/**
 * Measurement `slopes`: size and processor time of the decision core's state as a function of fleet
 * size, at a quarter, a half, three quarters and all of the design size. It logs one JSON line for
 * each size; the figures are the slopes of fitted straight lines, and the values at the design
 * size.
 */
import {
  createFleetState,
  createPolicyLookup,
  encodeFleetState,
  foldFleet,
  parseConfig,
  planWaves,
  DEFAULT_WAVE_SETTINGS,
  type FleetState,
  type StoredRecord,
} from 'vanilladock';
import {
  makeScaledSize,
  SLOPE_SHARES,
  buildConfigText,
  buildWorkers,
  type FleetSize,
} from './design-size.js';
import type { Figures, Measure, MeasureOptions } from './measure.js';
import { createHeapReader } from './slopes/heap.js';
import {
  createRecordMaker,
  makeFirstRecords,
  makeJoins,
  makeSubmissions,
} from './slopes/records.js';

const TASKS_PER_TEAM = 20;
const REPEATS = 20;
const MICROSECONDS_PER_MS = 1_000;
const DAY_MS = 86_400_000;

/** Measurements at one size. */
interface SizePoint {
  readonly size: FleetSize;
  readonly tasks: number;
  readonly configCheckMs: number;
  readonly joinFoldMicroseconds: number;
  readonly submissionFoldMicroseconds: number;
  readonly capacityBytes: number;
  readonly taskBytes: number;
  readonly waveRoundMs: number;
  readonly snapshotBytes: number;
  readonly snapshotMs: number;
}

/** Measures the shortest duration of `REPEATS` runs, in milliseconds. */
function measureMs(run: () => void): number {
  const times = Array.from({ length: REPEATS }, () => {
    const startedMs = performance.now();
    run();
    return performance.now() - startedMs;
  });
  return Math.min(...times);
}

/** Folds records; returns the state and the mean time for each record, in microseconds. */
function runFold(state: FleetState, records: readonly StoredRecord[]) {
  const startedMs = performance.now();
  const folded = records.reduce(foldFleet, state);
  const elapsedMs = performance.now() - startedMs;
  return { folded, microseconds: (elapsedMs * MICROSECONDS_PER_MS) / records.length };
}

/** Measures one size. */
function measureSize(size: FleetSize, readHeap: () => number): SizePoint {
  const maker = createRecordMaker();
  const workers = buildWorkers(size);
  const tasks = size.teams * TASKS_PER_TEAM;
  const text = buildConfigText(size);
  const first = makeFirstRecords(size, maker).reduce(foldFleet, createFleetState());
  const emptyHeap = readHeap();
  const joined = runFold(first, makeJoins(workers, maker));
  const joinedHeap = readHeap();
  const submitted = runFold(joined.folded, makeSubmissions(tasks, size, maker));
  const submittedHeap = readHeap();
  const state = submitted.folded;
  const input = {
    fleet: state.capacity,
    instances: new Map(workers.map((worker) => [worker.id, worker])),
    policyOf: createPolicyLookup(state.config.config),
    nowMs: Date.UTC(2026, 0, 1) + DAY_MS,
    settings: DEFAULT_WAVE_SETTINGS,
  };
  return {
    size,
    tasks,
    configCheckMs: measureMs(() => parseConfig(text)),
    joinFoldMicroseconds: joined.microseconds,
    submissionFoldMicroseconds: submitted.microseconds,
    capacityBytes: joinedHeap - emptyHeap,
    taskBytes: submittedHeap - joinedHeap,
    waveRoundMs: measureMs(() => planWaves(input)),
    snapshotBytes: encodeFleetState(joined.folded).length,
    snapshotMs: measureMs(() => encodeFleetState(joined.folded)),
  };
}

/** Computes the slope of a straight line fitted by least squares to points of x and y. */
export function computeSlope(points: readonly (readonly [number, number])[]): number {
  const meanX = points.reduce((sum, [x]) => sum + x, 0) / points.length;
  const meanY = points.reduce((sum, [, y]) => sum + y, 0) / points.length;
  const covariance = points.reduce((sum, [x, y]) => sum + (x - meanX) * (y - meanY), 0);
  const variance = points.reduce((sum, [x]) => sum + (x - meanX) ** 2, 0);
  return covariance / variance;
}

/** Rounds a figure to three significant digits. */
function formatFigure(value: number): number {
  return Number(value.toPrecision(3));
}

/** Makes the figures: slopes, and values at the design size. */
function makeFigures(points: readonly SizePoint[]): Figures {
  const estimate = (x: (point: SizePoint) => number, y: (point: SizePoint) => number) =>
    formatFigure(computeSlope(points.map((point) => [x(point), y(point)])));
  const last = points.at(-1);
  if (last === undefined) return {};
  return {
    config_check_ms_per_team: estimate(
      ({ size }) => size.teams,
      ({ configCheckMs }) => configCheckMs,
    ),
    config_check_ms: formatFigure(last.configCheckMs),
    join_fold_us: formatFigure(last.joinFoldMicroseconds),
    submission_fold_us: formatFigure(last.submissionFoldMicroseconds),
    capacity_bytes_per_worker: estimate(
      ({ size }) => size.workers,
      ({ capacityBytes }) => capacityBytes,
    ),
    capacity_mb: formatFigure(last.capacityBytes / 1_048_576),
    task_bytes: estimate(
      ({ tasks }) => tasks,
      ({ taskBytes }) => taskBytes,
    ),
    wave_round_ms_per_worker: estimate(
      ({ size }) => size.workers,
      ({ waveRoundMs }) => waveRoundMs,
    ),
    wave_round_ms: formatFigure(last.waveRoundMs),
    snapshot_bytes_per_worker: estimate(
      ({ size }) => size.workers,
      ({ snapshotBytes }) => snapshotBytes,
    ),
    snapshot_bytes: last.snapshotBytes,
    snapshot_ms: formatFigure(last.snapshotMs),
  };
}

/** Measures each size; a first run at the smallest size only warms up. */
async function measureSlopes({ log }: MeasureOptions): Promise<Figures> {
  const readHeap = createHeapReader();
  measureSize(makeScaledSize(SLOPE_SHARES[0]), readHeap);
  const points = SLOPE_SHARES.map((share) => {
    const point = measureSize(makeScaledSize(share), readHeap);
    log(JSON.stringify(point));
    return point;
  });
  return makeFigures(points);
}

/** The measurement `slopes`. */
export const SLOPES_MEASURE: Measure = {
  name: 'slopes',
  describe: 'state and processor time of the decision core at four sizes up to the design size',
  run: measureSlopes,
};
