/** Tests of tickets of the advisor: one step of a planner, and replays of a queue that needs them. */
import * as assert from 'uvu/assert';
import { suite } from 'uvu';
import { createHarness, makeEntry, makeJob, makeStep, POLICY } from './planner-harness.js';
import { createPoolSimulation } from './pool-simulation.js';
import { decideEnd, GOOD_POLICY, makeWorkers, MAX_WAIT_MS, SECOND_MS } from './queue-load.js';

const test = suite('tickets');

test('starts tasks of a route with advice only with a ticket', () => {
  const { planner, addWorkers, submit, planStarts, at } = createHarness();
  const advice = { decideMs: 1, perWorkerMs: 1, validMs: 1000 };
  addWorkers(0, makeEntry('w1'), makeEntry('w22'));
  submit(makeJob('a'), 1, { ...POLICY, advice });
  const [query] = planner.plan(at(2));
  assert.is(query!.kind, 'advise');
  planner.tickets.addAnswer('a.0.0', new Map([['w22', 't']]), 1000, 3);
  const [start] = planStarts(4);
  assert.is(start!.worker.id, 'w22');
  assert.is(start!.ticket, 't');
});

test('queries to the advisor that take longer than their timeouts leave no queue standing', () => {
  const advisor = { decideMs: 100, perWorkerMs: 10 };
  const simulation = createPoolSimulation({ workers: makeWorkers(10), decideEnd, advisor });
  const advice = { decideMs: advisor.decideMs, perWorkerMs: advisor.perWorkerMs, validMs: 30_000 };
  simulation.runUntil(SECOND_MS);
  for (let index = 0; index < 60; index += 1) {
    simulation.submit(makeJob(`good${index}`), { ...GOOD_POLICY, advice });
  }
  const submittedMs = SECOND_MS;
  const queryMs = advisor.decideMs + 10 * advisor.perWorkerMs;
  simulation.runUntil(60 * SECOND_MS);
  const ids = Array.from({ length: 60 }, (_, index) => `good${index}`);
  const startsMs = ids.map((id) => simulation.getFirstStartMs(id) ?? Infinity);
  const lastMs = Math.max(...startsMs) - submittedMs;
  const started = startsMs.filter((startMs) => startMs < Infinity).length;
  assert.ok(lastMs < 1.5 * 60 * queryMs, `${started} jobs started, the last after ${lastMs} ms`);
});

const ADVISOR = { decideMs: 20, perWorkerMs: 2 };
const ADVICE = { ...ADVISOR, validMs: 30_000 };

test('a step is started although none of the workers queried first may run it', () => {
  const workers = makeWorkers(40);
  const advisor = { ...ADVISOR, isAllowed: (id: string) => id === workers.at(-1)?.id };
  const simulation = createPoolSimulation({ workers, decideEnd, advisor });
  simulation.runUntil(SECOND_MS);
  simulation.submit(makeJob('good'), { ...GOOD_POLICY, advice: ADVICE });
  simulation.runUntil(20 * SECOND_MS);
  const startMs = simulation.getFirstStartMs('good') ?? Infinity;
  assert.ok(startMs - SECOND_MS < MAX_WAIT_MS, `started at ${startMs} ms`);
});

test('a step is started on a new worker although the worker with a ticket is full', () => {
  const workers = makeWorkers(2);
  const simulation = createPoolSimulation({
    workers: workers.slice(0, 1),
    decideEnd: (start) =>
      start.jobId === 'long' ? { how: 'done', afterMs: 30 * SECOND_MS } : decideEnd(start),
    advisor: ADVISOR,
  });
  const size = { cores: 4, memoryMb: 100, accelerators: 0 };
  simulation.submit(makeJob('long', [makeStep({ size, count: 2 })]), {
    ...GOOD_POLICY,
    advice: ADVICE,
  });
  simulation.runUntil(SECOND_MS);
  assert.is(simulation.starts.length, 1);
  simulation.setWorkers(workers);
  simulation.runUntil(20 * SECOND_MS);
  const startMs = simulation.starts[1]?.atMs ?? Infinity;
  assert.ok(startMs - SECOND_MS < MAX_WAIT_MS, `started at ${startMs} ms`);
});

test.run();
