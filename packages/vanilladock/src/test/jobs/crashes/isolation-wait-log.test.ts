/** Tests that the log says which suspects of crashes wait for a worker of their own. */
import * as assert from 'uvu/assert';
import { suite } from 'uvu';
import type { DecisionEvent } from '../../../lib/jobs/pool-context.js';
import { createHarness, makeEntry, makeJob, makeStep, POLICY } from '../planner-harness.js';

const test = suite('log of waiting suspects');

test('names the suspect that has waited longest, and whether a worker is kept for it', () => {
  const events: DecisionEvent[] = [];
  const harness = createHarness({ report: (event) => events.push(event) });
  const { planner, at } = harness;
  harness.addWorkers(0, makeEntry('w1'), makeEntry('w22'));
  harness.submit(makeJob('lasting', [makeStep({ count: 2, isLasting: true, maxPerWorker: 1 })]), 1);
  harness.accept(harness.planStarts(2), 3);
  harness.submit(makeJob('suspect'), 4, { ...POLICY, maxAttempts: 9 });
  const [start] = harness.planStarts(5);
  harness.accept([start!], 6);
  planner.observeIncarnationEnd(start!.worker.id, 1, at(50));
  harness.store();
  for (let nowMs = 60; nowMs <= 2_300; nowMs += 250) planner.plan(at(nowMs));
  const [line] = events.filter(({ event }) => event === 'suspects-wait');
  const { event, task, suspects, hasOwnWorker, isolated, accepting, crashes } = line!;
  assert.equal(
    { event, task, suspects, hasOwnWorker, isolated, accepting, crashes },
    {
      event: 'suspects-wait',
      task: 'lasting.0.0.0',
      suspects: 2,
      hasOwnWorker: false,
      isolated: 1,
      accepting: 1,
      crashes: 1,
    },
  );
  assert.ok(Number(line!.waitedMs) >= 2_000);
});

test.run();
