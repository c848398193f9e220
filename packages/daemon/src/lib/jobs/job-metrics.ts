/** Counters and latency quantiles of an instance that plans jobs, in Prometheus' text format. */
import { Counter, Gauge, Registry } from 'prom-client';
import { createLatencies } from '../latencies.js';

/** Metrics of one instance. */
export interface JobMetrics {
  /** Counts an answered request and records how long its answer took. */
  readonly observeRequest: (kind: string, outcome: string, durationMs: number) => void;
  /** Counts a logged decision by the name of its event. */
  readonly observeDecision: (event: string) => void;
  /** Resolves to the metrics as Prometheus text; durations are in seconds. */
  readonly render: () => Promise<string>;
}

const QUANTILES = [0.5, 0.9, 0.99] as const;
const HIGHEST_SECONDS = 60;

/** Creates the metrics. */
export function createJobMetrics(): JobMetrics {
  const registry = new Registry();
  const registers = [registry];
  const latencies = createLatencies(QUANTILES, HIGHEST_SECONDS);
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
      latencies.observe(kind, durationMs);
    },
    observeDecision: (event) => decisions.inc({ event }),
    render: () => {
      memory.set(process.memoryUsage.rss());
      latencies.forEachQuantile((kind, quantile, seconds) =>
        latency.set({ kind, quantile }, seconds),
      );
      return registry.metrics();
    },
  };
}
