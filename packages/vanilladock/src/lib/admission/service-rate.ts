/** Service times of one service by urgency, decayed, and the rate at which its places come free. */
import type { Urgency } from '../config/schema.js';

/** Learned service times. */
export interface ServiceRate {
  /** Takes in how long a request held its place. */
  readonly observe: (urgency: Urgency, heldMs: number) => void;
  /** Mean service time of an urgency, in milliseconds. */
  readonly estimateMs: (urgency: Urgency) => number;
  /** Requests a millisecond that a number of places serves. */
  readonly computeRate: (places: number) => number;
}

const DEFAULT_SERVICE_MS = 50;
const MIN_SERVICE_MS = 0.1;
const SAMPLE_WEIGHT = 0.05;

/** Moves a mean towards a sample; the first sample is taken as it is. */
function updateMean(mean: number | undefined, sample: number): number {
  return mean === undefined ? sample : mean + SAMPLE_WEIGHT * (sample - mean);
}

/** Creates service times of which nothing is known yet. */
export function createServiceRate(): ServiceRate {
  const means = new Map<Urgency, number>();
  let overall: number | undefined;
  return {
    observe: (urgency, heldMs) => {
      const sample = Math.max(MIN_SERVICE_MS, heldMs);
      means.set(urgency, updateMean(means.get(urgency), sample));
      overall = updateMean(overall, sample);
    },
    estimateMs: (urgency) => means.get(urgency) ?? overall ?? DEFAULT_SERVICE_MS,
    computeRate: (places) => Math.max(1, places) / (overall ?? DEFAULT_SERVICE_MS),
  };
}
