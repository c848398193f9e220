/** Tests of the metrics of an instance that plans jobs. */
import * as assert from 'uvu/assert';
import { suite } from 'uvu';
import { createJobMetrics } from '../lib/jobs/job-metrics.js';
import type { PoolFigures } from '../lib/jobs/pool-runner.js';

const ON_TIME = { maxMs: 0, p99Ms: 0 };

const STANDING: PoolFigures = {
  pool: 'stalls',
  workers: { accepting: 1, failing: 3 },
  interference: { knownPairs: 4, hurtingPairs: 1 },
  teams: [{ team: 'restaurants', usedCores: 3, allottedCores: 5, isLimited: false }],
  waitingTasks: 31,
  standingMs: 50_900,
  pausedMs: 0,
};

const test = suite('job metrics');

test('shows the workers of a standing pool by the reason of their exclusion', async () => {
  const metrics = createJobMetrics();
  const text = await metrics.render({ pools: [STANDING], eventLoop: ON_TIME });
  [
    'vanilladock_pool_workers{pool="stalls",state="accepting"} 1',
    'vanilladock_pool_workers{pool="stalls",state="failing"} 3',
    'vanilladock_team_cores{pool="stalls",team="restaurants",what="used"} 3',
    'vanilladock_team_cores{pool="stalls",team="restaurants",what="allotted"} 5',
    'vanilladock_interference_pairs{pool="stalls",state="hurting"} 1',
    'vanilladock_pool_waiting_tasks{pool="stalls"} 31',
    'vanilladock_pool_standing_seconds{pool="stalls"} 50.9',
    'vanilladock_pool_paused_seconds{pool="stalls"} 0',
  ].forEach((line) => assert.ok(text.includes(`${line}\n`), line));
});

test('drops the figures of a pool that this instance no longer plans', async () => {
  const metrics = createJobMetrics();
  await metrics.render({ pools: [STANDING], eventLoop: ON_TIME });
  const text = await metrics.render({ pools: [], eventLoop: ON_TIME });
  assert.not.match(text, 'stalls');
});

test('counts released runs by their proof', async () => {
  const metrics = createJobMetrics();
  metrics.observeDecision({ event: 'run-released', proof: 'lease-expired' });
  metrics.observeDecision({ event: 'run-released', proof: 'lease-expired' });
  metrics.observeDecision({ event: 'run-ended' });
  const text = await metrics.render({ pools: [], eventLoop: ON_TIME });
  assert.ok(text.includes('vanilladock_released_runs_total{proof="lease-expired"} 2\n'));
  assert.ok(text.includes('vanilladock_decisions_total{event="run-released"} 2\n'));
});

test('shows how late the event loop was', async () => {
  const metrics = createJobMetrics();
  const text = await metrics.render({ pools: [], eventLoop: { maxMs: 1_200, p99Ms: 40 } });
  assert.ok(text.includes('vanilladock_event_loop_late_seconds{quantile="0.99"} 0.04\n'));
  assert.ok(text.includes('vanilladock_event_loop_late_seconds{quantile="1"} 1.2\n'));
});

test.run();
