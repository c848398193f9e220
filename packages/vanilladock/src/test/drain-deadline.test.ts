/** Which requests an entry takes while it drains, and until when it answers them. */
import fc from 'fast-check';
import * as assert from 'uvu/assert';
import { suite } from 'uvu';
import { decideDrainingRequest, planDrain } from '../lib/shutdown/drain-deadline.js';

const test = suite('drain-deadline');

test('without a drain every request is taken', () => {
  assert.equal(decideDrainingRequest(undefined, Infinity, 0), { kind: 'take' });
});

test('a request is taken exactly while its deadline comes before the last answers', () => {
  const time = fc.integer({ min: 0, max: 100_000 });
  const times = fc.record({ noticeMs: time, limitMs: fc.integer({ min: 1, max: 100_000 }) });
  fc.assert(
    fc.property(times, time, time, (drainTimes, startedAtMs, deadlineAtMs) => {
      const plan = planDrain(startedAtMs, drainTimes);
      assert.is(plan.closeByMs, startedAtMs + drainTimes.noticeMs + drainTimes.limitMs);
      assert.ok(plan.answerByMs >= plan.noticeEndsAtMs);
      assert.ok(plan.answerByMs < plan.closeByMs);
      const decision = decideDrainingRequest(plan, deadlineAtMs, startedAtMs);
      assert.is(decision.kind, deadlineAtMs <= plan.answerByMs ? 'take' : 'refuse');
      if (decision.kind !== 'refuse') return;
      assert.is(decision.failure.verdict, 'not-run');
      const retryAtMs = startedAtMs + (decision.failure.retryAfterMs ?? 0);
      assert.ok(retryAtMs >= plan.noticeEndsAtMs, 'comes back while this entry may be chosen');
      assert.ok(retryAtMs > startedAtMs);
    }),
  );
});

test('the last answers have a second when the limit allows it', () => {
  const { answerByMs, closeByMs } = planDrain(0, { noticeMs: 1_000, limitMs: 60_000 });
  assert.is(closeByMs - answerByMs, 1_000);
});

test.run();
