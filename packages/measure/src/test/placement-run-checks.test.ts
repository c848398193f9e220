/** Tests that the checks of the placement measurement detect the violations they look for. */
import type { TaskRun } from '@vanilladock/stand-ins/lib/worker-model.js';
import { createRandom } from 'vanilladock';
import * as assert from 'uvu/assert';
import { suite } from 'uvu';
import {
  countBlackHoleTasks,
  countDoubleRuns,
  countQuotaViolations,
  findMostAttempts,
  findQuantile,
} from '../lib/placement/run-checks.js';
import {
  buildPools,
  createTaskSource,
  TEAM_QUOTA_CORES,
  WORKERS,
} from '../lib/placement/workload.js';

const makeSpan = (
  taskId: string,
  workerId: string,
  startMs: number,
  endMs: number,
  cores = 1,
): TaskRun => ({
  taskId,
  workerId,
  fencingToken: startMs,
  cores,
  startMs,
  endMs,
  phase: 'failed',
});

const source = createTaskSource(createRandom(1));
const [first, second] = [source.makeTask('quick', ['p']), source.makeTask('quick', ['p'])];
const tasks = new Map([
  ['a', { ...first, taskId: 'a', team: 't', isUnrunnable: true }],
  ['b', { ...second, taskId: 'b', team: 't', isUnrunnable: false }],
]);

const test = suite('placement run checks');

test('overlapping spans of one task count as double runs, adjacent ones do not', () => {
  const spans = [makeSpan('a', 'w', 0, 10), makeSpan('a', 'x', 10, 20)];
  assert.is(countDoubleRuns(spans), 0);
  assert.is(countDoubleRuns([...spans, makeSpan('a', 'y', 5, 6)]), 1);
});

test('cores that a team runs at the same time count against its quota', () => {
  const cores = TEAM_QUOTA_CORES * 0.6;
  const sequential = [makeSpan('a', 'w', 0, 10, cores), makeSpan('b', 'x', 10, 20, cores)];
  assert.is(countQuotaViolations(sequential, tasks), 0);
  const concurrent = [makeSpan('a', 'w', 0, 10, cores), makeSpan('b', 'x', 9, 20, cores)];
  assert.is(countQuotaViolations(concurrent, tasks), 1);
});

test('computes black hole tasks, attempts and quantiles', () => {
  const spans = [makeSpan('a', 'w', 0, 1), makeSpan('a', 'w', 5, 6), makeSpan('b', 'w', 7, 8)];
  assert.equal(countBlackHoleTasks(spans, new Map([['w', 4]])), [2]);
  assert.is(findMostAttempts(spans, tasks), 2);
  assert.is(findQuantile([3, 1, 2], 0.5), 2);
  assert.is(findQuantile([1, 2, 3], 1), 3);
});

test('every worker is in exactly one pool, and a pool has at most one worker on each rack', () => {
  const pools = buildPools();
  const ids = pools.flatMap(({ workers }) => workers.map(({ id }) => id));
  assert.is(new Set(ids).size, WORKERS);
  pools.forEach(({ workers }) => {
    const racks = new Set(workers.map(({ location }) => location.rack));
    assert.is(racks.size, workers.length);
  });
});

test.run();
