/** Latency quantiles by label, from high dynamic range histograms since the process started. */
import { build, type Histogram } from 'hdr-histogram-js';

/** Records latencies by label and reports their quantiles. */
export interface Latencies {
  readonly observe: (label: string, durationMs: number) => void;
  /** Calls `report` with each quantile of each label, in seconds. */
  readonly forEachQuantile: (
    report: (label: string, quantile: number, seconds: number) => void,
  ) => void;
}

const PERCENT = 100;
const MICROSECONDS_PER_MS = 1_000;
const MICROSECONDS_PER_SECOND = 1_000_000;

/** Creates empty histograms; latencies above `highestSeconds` are recorded as that value. */
export function createLatencies(quantiles: readonly number[], highestSeconds: number): Latencies {
  const highestTrackableValue = highestSeconds * MICROSECONDS_PER_SECOND;
  const histograms = new Map<string, Histogram>();
  const createHistogram = () => build({ highestTrackableValue, numberOfSignificantValueDigits: 2 });
  return {
    observe: (label, durationMs) => {
      const histogram = histograms.get(label) ?? createHistogram();
      histograms.set(label, histogram);
      const microseconds = Math.round(durationMs * MICROSECONDS_PER_MS);
      histogram.recordValue(Math.min(microseconds, highestTrackableValue));
    },
    forEachQuantile: (report) =>
      histograms.forEach((histogram, label) =>
        quantiles.forEach((quantile) => {
          const value = histogram.getValueAtPercentile(quantile * PERCENT);
          report(label, quantile, value / MICROSECONDS_PER_SECOND);
        }),
      ),
  };
}
