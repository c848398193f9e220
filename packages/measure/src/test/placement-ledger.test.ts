/** Tests that the judges of the placement measurement see the faults that they are meant to see. */
import type { LedgerEntry } from '@vanilladock/stand-ins/lib/worker-core.js';
import { createRandom } from 'vanilladock';
import * as assert from 'uvu/assert';
import { suite } from 'uvu';
import {
  countBlackHoleTasks,
  countDoubleRuns,
  countQuotaViolations,
  findMostAttempts,
  findQuantile,
} from '../lib/placement/ledger.js';
import {
  buildPools,
  createTaskSource,
  TEAM_QUOTA_CORES,
  WORKERS,
} from '../lib/placement/workload.js';

const makeEntry = (
  taskId: string,
  workerId: string,
  startMs: number,
  endMs: number,
  cores = 1,
): LedgerEntry => ({
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

const test = suite('placement ledger');

test('overlapping spans of one task count, touching ones do not', () => {
  const spans = [makeEntry('a', 'w', 0, 10), makeEntry('a', 'x', 10, 20)];
  assert.is(countDoubleRuns(spans), 0);
  assert.is(countDoubleRuns([...spans, makeEntry('a', 'y', 5, 6)]), 1);
});

test('cores of one team that run at once count against its quota', () => {
  const half = TEAM_QUOTA_CORES * 0.6;
  const apart = [makeEntry('a', 'w', 0, 10, half), makeEntry('b', 'x', 10, 20, half)];
  assert.is(countQuotaViolations(apart, tasks), 0);
  const together = [makeEntry('a', 'w', 0, 10, half), makeEntry('b', 'x', 9, 20, half)];
  assert.is(countQuotaViolations(together, tasks), 1);
});

test('black holes, attempts and quantiles are counted', () => {
  const spans = [makeEntry('a', 'w', 0, 1), makeEntry('a', 'w', 5, 6), makeEntry('b', 'w', 7, 8)];
  assert.equal(countBlackHoleTasks(spans, new Map([['w', 4]])), [2]);
  assert.is(findMostAttempts(spans, tasks), 2);
  assert.is(findQuantile([3, 1, 2], 0.5), 2);
  assert.is(findQuantile([1, 2, 3], 1), 3);
});

test('the fleet has every worker in one pool and no two workers of a pool on one rack', () => {
  const pools = buildPools();
  const ids = pools.flatMap(({ workers }) => workers.map(({ id }) => id));
  assert.is(new Set(ids).size, WORKERS);
  pools.forEach(({ workers }) => {
    const racks = new Set(workers.map(({ location }) => location.rack));
    assert.is(racks.size, workers.length);
  });
});

test.run();
