/** Tests of the lending of instances between pools whose queues peak in turn. */
import * as assert from 'uvu/assert';
import { suite } from 'uvu';
import {
  planLending,
  type LendableInstance,
  type PoolDemand,
} from '../../lib/lending/plan-lending.js';

const MAX_MOVES = 12;

const test = suite('lending');

const makeInstances = (pool: string, count: number): readonly LendableInstance[] =>
  Array.from({ length: count }, (_, index) => ({
    id: `${pool}-${index}`,
    pool,
    workerId: `w-${pool}-${index}`,
    isUp: true,
    cores: 10,
    isHeld: false,
  }));

const makeDemand = (pool: string, count: number, change: Partial<PoolDemand> = {}): PoolDemand => ({
  pool,
  arrivalCores: 0,
  expectedCores: 0,
  runnableCores: 0,
  onTimeCores: 0,
  lastingCores: 0,
  minWorkers: 0,
  hasPeaked: true,
  hasUnplaced: false,
  workers: Array.from({ length: count }, (_, index) => ({
    workerId: `w-${pool}-${index}`,
    lastingTasks: 0,
    batchTasks: 0,
  })),
  ...change,
});

const plan = (
  demands: readonly PoolDemand[],
  instances: readonly LendableInstance[],
  surplusSinceMs = new Map<string, number>(),
  nowMs = 0,
  incoming = new Map<string, number>(),
) =>
  planLending({
    demands: new Map(demands.map((demand) => [demand.pool, demand])),
    instances,
    standbyPool: 'misc',
    incoming,
    surplusSinceMs,
    nowMs,
    maxMoves: MAX_MOVES,
  });

test('a pool at its peak gets standby instances first, then idle instances of other pools', () => {
  const demands = [makeDemand('a', 4, { expectedCores: 70 }), makeDemand('b', 6)];
  const instances = [
    ...makeInstances('a', 4),
    ...makeInstances('b', 6),
    ...makeInstances('misc', 2),
  ];
  const { moves } = plan(demands, instances);
  assert.equal(
    moves.map(({ from, to }) => `${from}>${to}`),
    ['misc>a', 'misc>a', 'b>a', 'b>a', 'b>a'],
  );
});

test('instances with lasting tasks stay, those with batch tasks are drained before a move', () => {
  const workers = [
    { workerId: 'w-b-0', lastingTasks: 1, batchTasks: 0 },
    { workerId: 'w-b-1', lastingTasks: 0, batchTasks: 3 },
    ...[2, 3, 4].map((index) => ({
      workerId: `w-b-${index}`,
      lastingTasks: 1,
      batchTasks: 0,
    })),
  ];
  const demands = [makeDemand('a', 3, { expectedCores: 70 }), makeDemand('b', 5, { workers })];
  const { moves, drain } = plan(demands, [...makeInstances('a', 3), ...makeInstances('b', 5)]);
  assert.equal(moves, []);
  assert.equal(
    drain.map(({ id }) => id),
    ['b-1'],
  );
});

test('a pool returns instances only after it has had a surplus for some time', () => {
  const since = new Map<string, number>();
  const demands = [makeDemand('a', 5)];
  const instances = makeInstances('a', 5);
  assert.is(plan(demands, instances, since, 0).moves.length, 0);
  assert.is(plan(demands, instances, since, 2_000).moves.length, 0);
  const { moves } = plan(demands, instances, since, 3_500);
  assert.equal(
    moves.map(({ to }) => to),
    ['misc', 'misc'],
  );
});

test('a pool whose demand is not known yet keeps the size set by operators', () => {
  const since = new Map<string, number>();
  const demands = [makeDemand('a', 5, { hasPeaked: false })];
  plan(demands, makeInstances('a', 5), since, 0);
  assert.is(plan(demands, makeInstances('a', 5), since, 60_000).moves.length, 0);
});

test('a pool keeps one worker more than the spread of its lasting tasks requires', () => {
  const since = new Map<string, number>([['a', 0]]);
  const demands = [makeDemand('a', 6, { minWorkers: 4 })];
  assert.is(plan(demands, makeInstances('a', 6), since, 60_000).moves.length, 2);
});

test('late work keeps instances only while no other pool has work that can be on time', () => {
  const late = { runnableCores: 900, onTimeCores: 0 };
  const instances = [...makeInstances('a', 3), ...makeInstances('b', 10)];
  const withoutDemand = plan([makeDemand('a', 3), makeDemand('b', 10, late)], instances);
  assert.equal(withoutDemand.moves, []);
  const demands = [makeDemand('a', 3, { expectedCores: 70 }), makeDemand('b', 10, late)];
  assert.equal(
    plan(demands, instances).moves.map(({ from, to }) => `${from}>${to}`),
    Array.from({ length: 6 }, () => 'b>a'),
  );
});

test('instances that run late work are drained for work that can be on time', () => {
  const busy = { runnableCores: 900, onTimeCores: 0 };
  const workers = makeDemand('b', 6).workers.map((worker) => ({ ...worker, batchTasks: 2 }));
  const demands = [
    makeDemand('a', 3, { expectedCores: 34 }),
    makeDemand('b', 6, { ...busy, workers }),
  ];
  const { moves, drain } = plan(demands, [...makeInstances('a', 3), ...makeInstances('b', 6)]);
  assert.equal(moves, []);
  assert.equal(
    drain.map(({ id }) => id),
    ['b-0'],
  );
});

test('a plan is limited to the maximum number of moves and drains nothing beyond it', () => {
  const demands = [makeDemand('a', 3, { expectedCores: 900 }), makeDemand('b', 6)];
  const instances = [
    ...makeInstances('a', 3),
    ...makeInstances('b', 6),
    ...makeInstances('misc', 20),
  ];
  const { moves, drain } = plan(demands, instances);
  assert.is(moves.length, MAX_MOVES);
  assert.equal(drain, []);
});

test('a pool with tasks that fit on no worker keeps its size and gets one more at a time', () => {
  const since = new Map<string, number>([['a', 0]]);
  const demands = [makeDemand('a', 8, { hasUnplaced: true })];
  const instances = [...makeInstances('a', 8), ...makeInstances('misc', 4)];
  const { moves, drain } = plan(demands, instances, since, 60_000);
  assert.equal(
    moves.map(({ from, to }) => `${from}>${to}`),
    ['misc>a'],
  );
  assert.equal(drain, []);
});

// Guards against a pool that stands: moves without a known outcome may all be carried out.
test('a pool whose moves have no known outcome yet lends no further instances', () => {
  const since = new Map<string, number>([['b', 0]]);
  const instances = makeInstances('b', 9).map((instance, index) => ({
    ...instance,
    isHeld: index < 6,
  }));
  const own = plan([makeDemand('b', 9)], instances, since, 60_000);
  assert.equal([...own.moves, ...own.drain], []);
  const demands = [makeDemand('a', 3, { expectedCores: 90 }), makeDemand('b', 9)];
  const lent = plan(demands, [...makeInstances('a', 3), ...instances]);
  assert.equal([...lent.moves, ...lent.drain], []);
});

// Guards against a pool that stands until the instances that are on their way have arrived.
test('a pool keeps the instances that are up while others are on their way to it', () => {
  const since = new Map<string, number>([['a', 0]]);
  const incoming = new Map([['a', 5]]);
  const workers = makeDemand('a', 3).workers.map((worker) => ({ ...worker, batchTasks: 1 }));
  [makeDemand('a', 3), makeDemand('a', 3, { workers, hasUnplaced: true })].forEach((demand) => {
    const { moves, drain } = plan([demand], makeInstances('a', 3), since, 60_000, incoming);
    assert.equal([...moves, ...drain], []);
  });
});

test('a pool lends and returns no more instances together than it can spare', () => {
  const since = new Map<string, number>([['b', 0]]);
  const demands = [makeDemand('a', 3, { expectedCores: 34 }), makeDemand('b', 6)];
  const instances = [...makeInstances('a', 3), ...makeInstances('b', 6)];
  const { moves, drain } = plan(demands, instances, since, 60_000);
  assert.equal(
    moves.map(({ from, to }) => `${from}>${to}`),
    ['b>a', 'b>misc', 'b>misc'],
  );
  assert.equal(drain, []);
});

test('instances held for maintenance are left alone', () => {
  const demands = [makeDemand('a', 3, { expectedCores: 90 })];
  const held = makeInstances('misc', 3).map((instance) => ({ ...instance, isHeld: true }));
  assert.is(plan(demands, [...makeInstances('a', 3), ...held]).moves.length, 0);
});

test.run();
