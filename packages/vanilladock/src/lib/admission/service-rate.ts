/**
 * Decayed mean service times of one service by urgency, and the rate at which its slots become
 * free.
 */
import type { Urgency } from '../config/schema.js';

/** Service times learned from completed requests. */
export interface ServiceRate {
  /** Records how long a request held its slot, in milliseconds. */
  readonly observe: (urgency: Urgency, serviceMs: number) => void;
  /**
   * Estimates the service time of an urgency, in milliseconds: its own mean, else the mean over all
   * urgencies, else 50.
   */
  readonly estimateMs: (urgency: Urgency) => number;
  /**
   * Computes how many requests per millisecond a number of slots serves; 0 slots count as one, so
   * that the rate is never zero.
   */
  readonly computeRate: (slots: number) => number;
}

/** Estimate before the first request has completed. */
const DEFAULT_SERVICE_MS = 50;
const MIN_SERVICE_MS = 0.1;
/** Weight of the newest sample in a mean. */
const SAMPLE_WEIGHT = 0.05;

/** Updates an exponentially weighted mean; the first sample becomes the mean. */
function updateMean(mean: number | undefined, sample: number): number {
  return mean === undefined ? sample : mean + SAMPLE_WEIGHT * (sample - mean);
}

/** Creates service times without samples; estimates start at a default. */
export function createServiceRate(): ServiceRate {
  const meansMs = new Map<Urgency, number>();
  let overallMeanMs: number | undefined;
  return {
    observe: (urgency, serviceMs) => {
      const sample = Math.max(MIN_SERVICE_MS, serviceMs);
      meansMs.set(urgency, updateMean(meansMs.get(urgency), sample));
      overallMeanMs = updateMean(overallMeanMs, sample);
    },
    estimateMs: (urgency) => meansMs.get(urgency) ?? overallMeanMs ?? DEFAULT_SERVICE_MS,
    computeRate: (slots) => Math.max(1, slots) / (overallMeanMs ?? DEFAULT_SERVICE_MS),
  };
}
