/**
 * Moving averages of each pool's demand. Queues peak for seconds at different times, so a single
 * reading does not show where instances belong. Two slow averages do: the share of time in which a
 * pool's demand exceeded its size, and the number of instances that were idle and not lent.
 */
import { Map } from 'immutable';

/** One reading of a pool; all amounts are in instances' worth of work. */
export interface PoolReading {
  readonly pool: string;
  readonly demand: number;
  readonly size: number;
  /** Capacity lent to other pools. */
  readonly lent: number;
}

/** The moving averages of a pool. */
export interface PoolTrend {
  /** Share of time in which demand exceeded the pool's own size. */
  readonly shortShare: number;
  /** Instances that were idle and not lent. */
  readonly idle: number;
}

/** Averages by pool, and the monotonic time of the newest readings; undefined before the first. */
export interface DemandState {
  readonly trends: Map<string, PoolTrend>;
  readonly readAtMs: number | undefined;
}

/** Creates the state before the first reading. */
export function createDemandState(): DemandState {
  return { trends: Map(), readAtMs: undefined };
}

/** Folds one reading into a pool's averages. */
function updateTrend(trend: PoolTrend | undefined, reading: PoolReading, weight: number) {
  const short = reading.demand > reading.size ? 1 : 0;
  const idle = Math.max(0, reading.size - reading.demand - reading.lent);
  if (trend === undefined) return { shortShare: short, idle };
  return {
    shortShare: trend.shortShare + (short - trend.shortShare) * weight,
    idle: trend.idle + (idle - trend.idle) * weight,
  };
}

/**
 * Updates the averages with readings of all pools, taken at `nowMs`; `averageMs` is their time
 * constant. A pool's first reading becomes its average; a pool without a reading is dropped.
 */
export function observeDemand(
  state: DemandState,
  readings: readonly PoolReading[],
  nowMs: number,
  averageMs: number,
): DemandState {
  const elapsedMs = nowMs - (state.readAtMs ?? nowMs);
  const weight = 1 - Math.exp(-elapsedMs / averageMs);
  const trends = readings.map(
    (reading) =>
      [reading.pool, updateTrend(state.trends.get(reading.pool), reading, weight)] as const,
  );
  return { trends: Map(trends), readAtMs: nowMs };
}
