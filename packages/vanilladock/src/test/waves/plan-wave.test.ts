/** Tests of the planning of a maintenance wave. */
import * as assert from 'uvu/assert';
import { suite } from 'uvu';
import type { FleetInstance } from '../../lib/ports/fleet.js';
import { planWave, type WaveInputs, type WaveStep } from '../../lib/waves/plan-wave.js';

const test = suite('wave plan');

const makeInstance = (id: string, pool: string, state: FleetInstance['state'] = 'up') => ({
  id,
  pool,
  state,
  dataCentre: 'hobart',
  labels: [],
  cores: 8,
  workerId: `w-${id}`,
});
const IDS = ['a1', 'a2', 'a3', 'a4', 'b1'];
const EMPTY = { content: { lastingTasks: 0, batchTasks: 0 }, sinceMs: 10_000 };

const makeInputs = (change: Partial<WaveInputs> = {}): WaveInputs => ({
  order: { wave: 1, instances: IDS, durationMs: 20_000, maxConcurrent: 2 },
  instances: new Map(IDS.map((id) => [id, makeInstance(id, id.slice(0, 1))])),
  steps: new Map(),
  evacuations: new Map(),
  heldByOthers: new Set(),
  standbyPools: new Set(),
  nowMs: 10_000,
  ...change,
});

test('drains a share of each pool and takes down nothing that is not known to be drained', () => {
  const plan = planWave(makeInputs());
  assert.equal(plan.drain, ['a1', 'b1']);
  assert.equal(plan.takeDown, []);
});

test('counts the instances that other waves hold, and those in maintenance, by pool', () => {
  const drainBeside = (heldByOthers: readonly string[], instances = makeInputs().instances) =>
    planWave(makeInputs({ heldByOthers: new Set(heldByOthers), instances })).drain;
  assert.equal(drainBeside(['a4']), ['a1', 'b1']);
  assert.equal(drainBeside(['a3', 'a4']), ['b1']);
  assert.equal(drainBeside(['b1']), ['a1']);
  const instances = new Map(makeInputs().instances);
  ['a3', 'a4'].forEach((id) => instances.set(id, makeInstance(id, 'a', 'maintenance')));
  assert.equal(drainBeside([], instances), ['b1']);
});

test('takes drained instances down within the limit, counting orders that may still act', () => {
  const evacuations = new Map(IDS.map((id) => [`w-${id}`, EMPTY]));
  const steps = new Map<string, WaveStep>([['a1', { kind: 'ordered', atMs: 0 }]]);
  const plan = planWave(makeInputs({ evacuations, steps }));
  assert.equal(plan.takeDown, ['a1', 'b1']);
  const full = new Map<string, WaveStep>([
    ['a1', { kind: 'begun', atMs: 9_900 }],
    ['a2', { kind: 'begun', atMs: 9_900 }],
  ]);
  assert.equal(planWave(makeInputs({ evacuations, steps: full })).takeDown, []);
});

test('never takes down an instance that runs a lasting task, however long the drain takes', () => {
  const content = { lastingTasks: 1, batchTasks: 0 };
  const evacuations = new Map([['w-a1', { content, sinceMs: 0 }]]);
  assert.equal(planWave(makeInputs({ evacuations })).takeDown, []);
});

test('drains an instance again before it repeats an order with an unknown outcome', () => {
  const steps = new Map<string, WaveStep>([['a1', { kind: 'ordered', atMs: 0 }]]);
  const content = { lastingTasks: 1, batchTasks: 0 };
  const evacuations = new Map([['w-a1', { content, sinceMs: 0 }]]);
  const plan = planWave(makeInputs({ evacuations, steps }));
  assert.equal(plan.drain, ['a1', 'b1']);
  assert.equal(plan.takeDown, []);
});

test('leaves an instance alone that is down after an order with an unknown outcome', () => {
  const steps = new Map<string, WaveStep>([['a1', { kind: 'ordered', atMs: 0 }]]);
  const instances = new Map(makeInputs().instances);
  instances.set('a1', makeInstance('a1', 'a', 'maintenance'));
  const plan = planWave(makeInputs({ steps, instances }));
  assert.equal(plan.drain, ['b1']);
  assert.equal(plan.takeDown, []);
});

test('the tasks of an earlier worker do not count for the current worker of an instance', () => {
  const evacuations = new Map([['w-a1', EMPTY]]);
  const instances = new Map(makeInputs().instances);
  instances.set('a1', { ...makeInstance('a1', 'a'), workerId: 'w-later' });
  assert.equal(planWave(makeInputs({ evacuations, instances })).takeDown, []);
});

test('waits for batch tasks for a limited time', () => {
  const content = { lastingTasks: 0, batchTasks: 2 };
  const early = new Map([['w-a1', { content, sinceMs: 9_000 }]]);
  assert.equal(planWave(makeInputs({ evacuations: early })).takeDown, []);
  const later = new Map([['w-a1', { content, sinceMs: 1_000 }]]);
  assert.equal(planWave(makeInputs({ evacuations: later })).takeDown, ['a1']);
});

test('is complete only when every instance that still exists has been maintained', () => {
  const done = new Map<string, WaveStep>(IDS.slice(1).map((id) => [id, { kind: 'done' }]));
  assert.not(planWave(makeInputs({ steps: done })).isComplete);
  const begun = new Map<string, WaveStep>([...done, ['a1', { kind: 'begun', atMs: 0 }]]);
  assert.ok(planWave(makeInputs({ steps: begun })).isComplete);
  const gone = new Map(makeInputs().instances);
  gone.delete('a1');
  assert.ok(planWave(makeInputs({ steps: done, instances: gone })).isComplete);
});

test.run();
