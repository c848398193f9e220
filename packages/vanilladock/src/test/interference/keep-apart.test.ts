/** Placement that puts a task beside one that it slows down although another worker has room. */
import * as assert from 'uvu/assert';
import { suite } from 'uvu';
import type { DecisionEvent } from '../../lib/jobs/pool-context.js';
import {
  createHarness,
  makeEntry,
  makeJob,
  makeRow,
  makeStep,
  type Harness,
} from '../jobs/planner-harness.js';

const test = suite('tasks kept apart');

const TARGET_MS = 100;
const SERVING = makeStep({
  isLasting: true,
  image: 'site',
  tailTargetMs: TARGET_MS,
  maxPerWorker: 1,
});
const makeFilling = (image: string, count = 1) =>
  makeStep({ isFilling: true, image, count, estimateMs: 60_000 });

/** Runs the serving task on one of the workers, and returns the id of that worker. */
const startServing = (harness: Harness, ids: readonly string[]) => {
  harness.addWorkers(0, ...ids.map((id) => makeEntry(id)));
  harness.submit(makeJob('s', [SERVING]), 0);
  const starts = harness.planStarts(10);
  harness.accept(starts, 20);
  return starts[0]!.worker.id;
};

/** Reports, every 250 ms, the serving task with a tail, beside the task of another job. */
const reportBeside = (
  harness: Harness,
  workerId: string,
  { fromMs, count, tailMs }: { fromMs: number; count: number; tailMs: number },
  besides: readonly string[] = [],
) => {
  for (let index = 0; index < count; index += 1) {
    const nowMs = fromMs + index * 250;
    const rows = besides.map((key) => makeRow(key, 1, { load: 1 }));
    const site = makeRow('s.0.0.0', 1, { percent: 100, load: tailMs });
    harness.report(workerId, nowMs, [site, ...rows]);
  }
};

/** Lets a task of an image run beside the serving task; its tails rise to `tailMs`. */
const recordPair = (harness: Harness, workerId: string, tailMs: number) => {
  reportBeside(harness, workerId, { fromMs: 1_000, count: 8, tailMs: 40 });
  harness.submit(makeJob('f', [makeFilling('miner')]), 3_000);
  const starts = harness.planStarts(3_010);
  harness.accept(starts, 3_020);
  reportBeside(harness, workerId, { fromMs: 3_100, count: 12, tailMs }, ['f.0.0.0']);
  harness.planner.cancel('f', harness.at(6_200));
  harness.store();
  reportBeside(harness, workerId, { fromMs: 6_400, count: 1, tailMs: 40 });
  return starts[0]!.worker.id;
};

test('a task goes to another worker once it was seen to slow down the serving one', () => {
  const events: DecisionEvent[] = [];
  const harness = createHarness({ report: (event) => events.push(event) });
  const serving = startServing(harness, ['w1']);
  assert.is(recordPair(harness, serving, 85), serving);
  harness.addWorkers(6_500, makeEntry('w1'), makeEntry('w2'));
  reportBeside(harness, serving, { fromMs: 6_600, count: 1, tailMs: 40 });
  harness.submit(makeJob('g', [makeFilling('miner')]), 6_700);
  assert.is(harness.planStarts(6_710)[0]?.worker.id, 'w2');
  assert.ok(events.some(({ event }) => event === 'pair-hurts'));
});

test('a task of an image that does not slow the serving one down is placed as before', () => {
  const harness = createHarness();
  const serving = startServing(harness, ['w1']);
  recordPair(harness, serving, 42);
  harness.addWorkers(6_500, makeEntry('w1'), makeEntry('w2'));
  harness.submit(makeJob('g', [makeFilling('miner')]), 6_700);
  assert.is(harness.planStarts(6_710)[0]?.worker.id, serving);
});

test('without room elsewhere the task starts beside the serving one at once, and that is logged', () => {
  const events: DecisionEvent[] = [];
  const harness = createHarness({ report: (event) => events.push(event) });
  const serving = startServing(harness, ['w1']);
  recordPair(harness, serving, 85);
  harness.submit(makeJob('g', [makeFilling('miner')]), 6_700);
  assert.is(harness.planStarts(6_710)[0]?.worker.id, serving);
  const logged = events.find(({ event }) => event === 'placed-beside');
  assert.equal([logged?.aggressor, logged?.victim], ['miner', 'site']);
});

test('a report of loads from before a change teaches nothing', () => {
  const events: DecisionEvent[] = [];
  const harness = createHarness({ report: (event) => events.push(event) });
  const serving = startServing(harness, ['w1']);
  reportBeside(harness, serving, { fromMs: 1_000, count: 8, tailMs: 40 });
  harness.submit(makeJob('f', [makeFilling('miner')]), 3_000);
  harness.accept(harness.planStarts(3_010), 3_020);
  // The task has just started: what the tail shows now came from something else.
  reportBeside(harness, serving, { fromMs: 3_050, count: 2, tailMs: 95 }, ['f.0.0.0']);
  assert.not.ok(events.some(({ event }) => event === 'pair-hurts'));
});

test('a new planner knows no pair and learns again', () => {
  const harness = createHarness();
  startServing(harness, ['w1']);
  assert.equal(harness.planner.getFigures(1).interference, { knownPairs: 0, hurtingPairs: 0 });
});

test.run();
