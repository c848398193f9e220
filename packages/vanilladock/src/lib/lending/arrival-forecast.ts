/**
 * Forecast of the work that arrives at a pool. Load pattern: the arrivals of one queue rise within a
 * few seconds to many times their mean, while a lent instance is ready only about two seconds after
 * the need for it is known. The trend of a rise is therefore extended by that time.
 */
import { createRateMeter } from '../jobs/rate-meter.js';

/** Work that arrives. */
export interface Arrivals {
  readonly coreSeconds: number;
  /** Number of jobs that the work consists of. */
  readonly jobs: number;
}

/** Rates of a pool's arrivals. Times are monotonic, in milliseconds, and must not decrease. */
export interface ArrivalForecast {
  readonly add: (arrivals: Arrivals, nowMs: number) => void;
  /** Returns the core-seconds that arrived in the last second. */
  readonly getRate: (nowMs: number) => number;
  /**
   * Returns the core-seconds that are expected to arrive in a second by the time at which an
   * instance that is moved now is ready; at least the present rate.
   */
  readonly getExpectedRate: (nowMs: number) => number;
}

/** Window of the rate that the trend starts from. */
const SHORT_WINDOW_MS = 700;

/** Window of the rate that the first one is compared with. */
const LONG_WINDOW_MS = 2_100;

/** Time from the decision to move an instance until it gets tasks. */
const LEAD_MS = 2_200;

/** A rise of the rate by less than this share may be chance. */
const MIN_RISE = 0.15;

/** Fewer jobs than this in the short window show no trend. */
const MIN_JOBS = 4;

/** Largest expected rate, as a multiple of the present one. */
const MAX_GROWTH = 2;

const MS_PER_SECOND = 1_000;

/** Creates a forecast without arrivals. */
export function createArrivalForecast(): ArrivalForecast {
  const shortRate = createRateMeter(SHORT_WINDOW_MS);
  const longRate = createRateMeter(LONG_WINDOW_MS);
  const jobRate = createRateMeter(SHORT_WINDOW_MS);
  const getExpectedRate = (nowMs: number) => {
    const rate = shortRate.getRate(nowMs);
    const recentJobs = (jobRate.getRate(nowMs) * SHORT_WINDOW_MS) / MS_PER_SECOND;
    if (recentJobs < MIN_JOBS) return rate;
    const rise = rate - longRate.getRate(nowMs) * (1 + MIN_RISE);
    // Each meter shows the rate of a steady rise as it was one window ago.
    const risePerMs = Math.max(0, rise) / (LONG_WINDOW_MS - SHORT_WINDOW_MS);
    return Math.min(rate * MAX_GROWTH, rate + risePerMs * (SHORT_WINDOW_MS + LEAD_MS));
  };
  return {
    add: ({ coreSeconds, jobs }, nowMs) => {
      shortRate.add(coreSeconds, nowMs);
      longRate.add(coreSeconds, nowMs);
      jobRate.add(jobs, nowMs);
    },
    getRate: shortRate.getRate,
    getExpectedRate,
  };
}
