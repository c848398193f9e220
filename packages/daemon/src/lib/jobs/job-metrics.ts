/** Counters and latency quantiles of an instance that plans jobs, in Prometheus' text format. */
import { Counter, Gauge, Registry } from 'prom-client';
import type { EventLoopDelays } from '../event-loop-watch.js';
import type { LogFields } from '../json-log.js';
import { createLatencies } from '../latencies.js';
import type { PoolFigures } from './pool-runner.js';

/** Figures that are read when the metrics are rendered. */
export interface InstanceFigures {
  /** Figures of the pools that this instance plans. */
  readonly pools: readonly PoolFigures[];
  readonly eventLoop: EventLoopDelays;
}

/** Metrics of one instance. */
export interface JobMetrics {
  /** Counts an answered request and records how long its answer took. */
  readonly observeRequest: (kind: string, outcome: string, durationMs: number) => void;
  /** Counts an answered request of a team. */
  readonly observeTeamRequest: (team: string, outcome: string) => void;
  /** Counts a logged decision by the name of its event, and a released run by its proof. */
  readonly observeDecision: (fields: LogFields) => void;
  /** Resolves to the metrics as Prometheus text; durations are in seconds. */
  readonly render: (figures: InstanceFigures) => Promise<string>;
}

const QUANTILES = [0.5, 0.9, 0.99] as const;
const HIGHEST_SECONDS = 60;
const MS_PER_SECOND = 1_000;

/** Creates the gauges of the pools that an instance plans; returns how they are set. */
function createPoolGauges(registers: Registry[]): (pools: readonly PoolFigures[]) => void {
  const workers = new Gauge({
    name: 'vanilladock_pool_workers',
    help: 'Workers of the pools planned here that accept tasks, or by why they get none.',
    labelNames: ['pool', 'state'] as const,
    registers,
  });
  const labelNames = ['pool'] as const;
  const waitingTasks = new Gauge({
    name: 'vanilladock_pool_waiting_tasks',
    help: 'Tasks that could start, of the pools planned here.',
    labelNames,
    registers,
  });
  const standing = new Gauge({
    name: 'vanilladock_pool_standing_seconds',
    help: 'Time for which tasks have waited without a planned start.',
    labelNames,
    registers,
  });
  const paused = new Gauge({
    name: 'vanilladock_pool_paused_seconds',
    help: 'Time for which no plan was made because the claim is not in force.',
    labelNames,
    registers,
  });
  const pairs = new Gauge({
    name: 'vanilladock_interference_pairs',
    help: 'Pairs of images with an estimated effect, and those that slow each other down.',
    labelNames: ['pool', 'state'] as const,
    registers,
  });
  const teamLabels = ['pool', 'team', 'what'] as const;
  const teamCores = new Gauge({
    name: 'vanilladock_team_cores',
    help: 'Cores that a team uses and was allotted in the pools planned here.',
    labelNames: teamLabels,
    registers,
  });
  return (pools) => {
    [teamCores, pairs].forEach((gauge) => gauge.reset());
    [workers, waitingTasks, standing, paused].forEach((gauge) => gauge.reset());
    pools.forEach((figures) => {
      const { pool } = figures;
      Object.entries(figures.workers).forEach(([state, count]) =>
        workers.set({ pool, state }, count),
      );
      pairs.set({ pool, state: 'known' }, figures.interference.knownPairs);
      pairs.set({ pool, state: 'hurting' }, figures.interference.hurtingPairs);
      figures.teams.forEach(({ team, usedCores, allottedCores }) => {
        teamCores.set({ pool, team, what: 'used' }, usedCores);
        teamCores.set({ pool, team, what: 'allotted' }, allottedCores);
      });
      waitingTasks.set({ pool }, figures.waitingTasks);
      standing.set({ pool }, figures.standingMs / MS_PER_SECOND);
      paused.set({ pool }, figures.pausedMs / MS_PER_SECOND);
    });
  };
}

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
  const teamRequests = new Counter({
    name: 'vanilladock_team_requests_total',
    help: 'Answered requests with the key of a team, by outcome.',
    labelNames: ['team', 'outcome'] as const,
    registers,
  });
  const latency = new Gauge({
    name: 'vanilladock_job_request_seconds',
    help: 'Quantiles of the time to answer a request about a job, since start.',
    labelNames: ['kind', 'quantile'] as const,
    registers,
  });
  const releasedRuns = new Counter({
    name: 'vanilladock_released_runs_total',
    help: 'Runs without a reported end that were returned to the queue, by proof.',
    labelNames: ['proof'] as const,
    registers,
  });
  const eventLoop = new Gauge({
    name: 'vanilladock_event_loop_late_seconds',
    help: 'Quantiles of the delay of a timer of this process since the last reading.',
    labelNames: ['quantile'] as const,
    registers,
  });
  const setPools = createPoolGauges(registers);
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
    observeTeamRequest: (team, outcome) => teamRequests.inc({ team, outcome }),
    observeDecision: ({ event, proof }) => {
      decisions.inc({ event });
      if (event === 'run-released') releasedRuns.inc({ proof: String(proof) });
    },
    render: (figures) => {
      memory.set(process.memoryUsage.rss());
      setPools(figures.pools);
      eventLoop.set({ quantile: 0.99 }, figures.eventLoop.p99Ms / MS_PER_SECOND);
      eventLoop.set({ quantile: 1 }, figures.eventLoop.maxMs / MS_PER_SECOND);
      latencies.forEachQuantile((kind, quantile, seconds) =>
        latency.set({ kind, quantile }, seconds),
      );
      return registry.metrics();
    },
  };
}
