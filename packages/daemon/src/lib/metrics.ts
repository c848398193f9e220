/**
 * Metrics of one entry: counts of answers and refusals, and latency quantiles from high dynamic
 * range histograms, rendered in the Prometheus text format.
 */
import { Counter, Gauge, Registry } from 'prom-client';
import { controlMeter } from './control-bytes.js';
import { createLatencies } from './latencies.js';

/** Labels and duration of one finished request. */
export interface RequestObservation {
  readonly service: string;
  readonly team: string;
  readonly urgency: string;
  /** A failure code, or `ok` for an answer of an upstream. */
  readonly code: string;
  readonly durationMs: number;
}

/** Number of refused requests of one team, urgency and code. */
export interface RefusalCount {
  readonly team: string;
  readonly urgency: string;
  readonly code: string;
  readonly count: number;
}

/** Values read whenever the metrics are rendered. */
export interface MetricSources {
  readonly getConfigVersion: () => number;
  readonly countUpstreams: (service: string) => number;
  readonly listServices: () => readonly string[];
}

/** Metrics of one entry. */
export interface Metrics {
  /** Records one finished request. */
  readonly observeAnswer: (observation: RequestObservation) => void;
  readonly listRefusals: () => readonly RefusalCount[];
  readonly countAnswers: () => number;
  /** Renders all metrics in the Prometheus text format. */
  readonly render: () => Promise<string>;
  /** Content type of the rendered text. */
  readonly contentType: string;
}

const QUANTILES = [0.5, 0.9, 0.99, 0.999] as const;
const MAX_TRACKED_SECONDS = 86_400;

/** Code of an answer that came from an upstream. */
export const OK_CODE = 'ok';

/** Creates the metrics of one entry. */
export function createMetrics(sources: MetricSources): Metrics {
  const registry = new Registry();
  const registers = [registry];
  const refusals = new Map<string, RefusalCount>();
  const latencies = createLatencies(QUANTILES, MAX_TRACKED_SECONDS);
  let answers = 0;
  const requests = new Counter({
    name: 'vanilladock_requests_total',
    help: 'Finished requests by service, urgency and code.',
    labelNames: ['service', 'urgency', 'code'] as const,
    registers,
  });
  const refused = new Counter({
    name: 'vanilladock_refusals_total',
    help: 'Refused and failed requests by team, urgency and code.',
    labelNames: ['team', 'urgency', 'code'] as const,
    registers,
  });
  const latency = new Gauge({
    name: 'vanilladock_request_seconds',
    help: 'Quantiles of the time from arrival to the end of the answer, since start.',
    labelNames: ['service', 'quantile'] as const,
    registers,
    collect() {
      latencies.forEachQuantile((service, quantile, seconds) =>
        this.set({ service, quantile }, seconds),
      );
    },
  });
  const upstreams = new Gauge({
    name: 'vanilladock_upstreams',
    help: 'Upstreams that take new work, by service.',
    labelNames: ['service'] as const,
    registers,
    collect() {
      sources
        .listServices()
        .forEach((service) => this.set({ service }, sources.countUpstreams(service)));
    },
  });
  const version = new Gauge({
    name: 'vanilladock_config_version',
    help: 'Log offset of the configuration in force; -1 before the first.',
    registers,
    collect() {
      this.set(sources.getConfigVersion());
    },
  });
  const memory = new Gauge({
    name: 'vanilladock_resident_bytes',
    help: 'Resident memory of this process.',
    registers,
    collect() {
      this.set(process.memoryUsage.rss());
    },
  });
  const control = new Gauge({
    name: 'vanilladock_control_bytes_total',
    help: 'Bytes sent and received for control since start, by cause.',
    labelNames: ['cause'] as const,
    registers,
    collect() {
      controlMeter.getBytes().forEach((bytes, cause) => this.set({ cause }, bytes));
    },
  });
  [latency, upstreams, version, memory, control].forEach((gauge) => gauge.reset());

  const addRefusal = ({ team, urgency, code }: RequestObservation) => {
    const key = `${team} ${urgency} ${code}`;
    const count = (refusals.get(key)?.count ?? 0) + 1;
    refusals.set(key, { team, urgency, code, count });
    refused.inc({ team, urgency, code });
  };
  return {
    observeAnswer: (observation) => {
      const { service, urgency, code, durationMs } = observation;
      answers += 1;
      requests.inc({ service, urgency, code });
      if (code === OK_CODE) latencies.observe(service, durationMs);
      else addRefusal(observation);
    },
    listRefusals: () => [...refusals.values()],
    countAnswers: () => answers,
    render: () => registry.metrics(),
    contentType: registry.contentType,
  };
}
