/** Counters and latency histograms of an instance that plans jobs, in the text format of Prometheus. */
import { build, type Histogram } from 'hdr-histogram-js';
import { Counter, Gauge, Registry } from 'prom-client';

/** Metrics of one instance. */
export interface JobMetrics {
  readonly observeRequest: (kind: string, outcome: string, durationMs: number) => void;
  readonly observeDecision: (event: string) => void;
  readonly render: () => Promise<string>;
}

const QUANTILES = [0.5, 0.9, 0.99] as const;
const PERCENT = 100;
const MICROSECONDS_PER_MS = 1000;
const HIGHEST_MICROSECONDS = 60_000_000;

/** Creates an empty histogram of microseconds. */
function createHistogram(): Histogram {
  return build({ highestTrackableValue: HIGHEST_MICROSECONDS, numberOfSignificantValueDigits: 2 });
}

/** Creates the metrics. */
export function createJobMetrics(): JobMetrics {
  const registry = new Registry();
  const registers = [registry];
  const histograms = new Map<string, Histogram>();
  const requests = new Counter({
    name: 'vanilladock_job_requests_total',
    help: 'Answered requests about jobs by kind and outcome.',
    labelNames: ['kind', 'outcome'] as const,
    registers,
  });
  const decisions = new Counter({
    name: 'vanilladock_decisions_total',
    help: 'Logged decisions by event.',
    labelNames: ['event'] as const,
    registers,
  });
  const latency = new Gauge({
    name: 'vanilladock_job_request_seconds',
    help: 'Quantiles of the time to answer a request about a job, since start.',
    labelNames: ['kind', 'quantile'] as const,
    registers,
  });
  const memory = new Gauge({
    name: 'vanilladock_resident_bytes',
    help: 'Resident memory of this process.',
    registers,
  });
  return {
    observeRequest: (kind, outcome, durationMs) => {
      requests.inc({ kind, outcome });
      const histogram = histograms.get(kind) ?? createHistogram();
      histograms.set(kind, histogram);
      const microseconds = Math.round(durationMs * MICROSECONDS_PER_MS);
      histogram.recordValue(Math.min(microseconds, HIGHEST_MICROSECONDS));
    },
    observeDecision: (event) => decisions.inc({ event }),
    render: () => {
      memory.set(process.memoryUsage.rss());
      histograms.forEach((histogram, kind) =>
        QUANTILES.forEach((quantile) => {
          const value = histogram.getValueAtPercentile(quantile * PERCENT);
          latency.set({ kind, quantile }, value / MICROSECONDS_PER_MS / MICROSECONDS_PER_MS);
        }),
      );
      return registry.metrics();
    },
  };
}
