/** Tests of the admission of submitted tasks. */
import * as assert from 'uvu/assert';
import { suite } from 'uvu';
import { admitTask, STORE_UNRESPONSIVE_AFTER_MS } from '../lib/placement/admit.js';
import { createPlacementState } from '../lib/placement/state.js';
import { makeRules, makeSize, makeSubmission } from './placement-fixtures.js';
import { makePool } from './placement-plan-scene.js';

const test = suite('placement admit');

test('admission refuses as not run: store down, unknown pool, never runnable, full of quick tasks', () => {
  const admit = (overrides: Partial<Parameters<typeof admitTask>[0]>) =>
    admitTask(
      {
        state: createPlacementState(),
        rules: makeRules(100),
        pool: makePool(['a']),
        submission: makeSubmission('t', { urgency: 'quick' }),
        pendingQuick: makeSize(0),
        lastStoreResponseMs: 0,
        nowMs: 0,
        ...overrides,
      },
      () => 0.5,
    );
  assert.ok(admit({}).isOk());
  const refusals = [
    admit({ nowMs: STORE_UNRESPONSIVE_AFTER_MS + 1 }),
    admit({ pool: undefined }),
    admit({ submission: makeSubmission('t', { declared: makeSize(9) }) }),
    admit({ pendingQuick: makeSize(6) }),
  ].map((refusal) => refusal.unwrapErr());
  assert.equal(
    refusals.map(({ code }) => code),
    ['store-unavailable', 'bad-request', 'never-runnable', 'queue-full'],
  );
  assert.ok(refusals.every(({ verdict }) => verdict === 'not-run'));
  assert.is(refusals[0]?.retryAfterMs, 45_000);
});

test.run();
