/** Tests of the pace of filling tasks. */
import * as assert from 'uvu/assert';
import { suite } from 'uvu';
import { createHarness, makeEntry, makeJob, makeRow, makeStep } from './planner-harness.js';

const test = suite('pace');

test('slows filling tasks when the tail latency of a lasting task approaches its target', () => {
  const { addWorkers, submit, planStarts, accept, report } = createHarness();
  addWorkers(0, makeEntry('w1'));
  submit(
    makeJob('a', [makeStep({ isLasting: true, tailTargetMs: 100 }), makeStep({ isFilling: true })]),
    1,
  );
  accept(planStarts(2), 3);
  const fill = makeRow('a.0.1.0', 1);
  const [slow] = report('w1', 10, [makeRow('a.0.0.0', 1, { load: 120 }), fill]);
  assert.is(slow!.kind === 'pace' && slow!.percent, 25);
  const [raised] = report('w1', 500, [makeRow('a.0.0.0', 1, { load: 40 }), fill]);
  assert.is(raised!.kind === 'pace' && raised!.percent, 45);
});

test.run();
