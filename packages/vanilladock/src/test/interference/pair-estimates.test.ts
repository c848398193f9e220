/** Estimates that miss a pair that hurts, blame one that does not, or never forget. */
import * as assert from 'uvu/assert';
import { suite } from 'uvu';
import { createRandom } from '../../lib/ports/random.js';
import { createPairEstimates, MAX_PAIRS } from '../../lib/interference/pair-estimates.js';

const test = suite('pair estimates');

/** Tails of a serving image beside two others, of which only one raises them. */
const observeScene = (
  estimates: ReturnType<typeof createPairEstimates>,
  { effect, fromMs, count }: { effect: number; fromMs: number; count: number },
) => {
  const random = createRandom(7);
  for (let index = 0; index < count; index += 1) {
    const loud = random() < 0.5 ? 1 : 0;
    const quiet = random() < 0.5 ? 1 : 0;
    const noise = 0.05 * (random() - 0.5);
    const paces = new Map([
      ['loud', loud],
      ['quiet', quiet],
    ]);
    const tailShare = 0.4 + effect * loud + noise;
    estimates.observe({ victim: 'site', tailShare, paces }, fromMs + index * 250);
  }
  return fromMs + count * 250;
};

test('of two images beside a serving one, the one that hurts is told from the other', () => {
  const estimates = createPairEstimates();
  const endMs = observeScene(estimates, { effect: 0.5, fromMs: 0, count: 40 });
  const loud = estimates.getEffect('loud', 'site', endMs);
  assert.ok(Math.abs(loud - 0.5) < 0.15, `estimated ${loud}`);
  assert.ok(estimates.getEffect('quiet', 'site', endMs) < 0.1);
  assert.is(estimates.getEffect('loud', 'other', endMs), 0);
});

test('an effect that changes within seconds is followed within seconds', () => {
  const estimates = createPairEstimates();
  const changedMs = observeScene(estimates, { effect: 0.5, fromMs: 0, count: 40 });
  const endMs = observeScene(estimates, { effect: 0.1, fromMs: changedMs, count: 24 });
  assert.ok(estimates.getEffect('loud', 'site', endMs) < 0.25);
});

test('one sample alone does not keep tasks apart as if it were certain', () => {
  const estimates = createPairEstimates();
  estimates.observe({ victim: 'site', tailShare: 0.4, paces: new Map() }, 0);
  estimates.observe({ victim: 'site', tailShare: 1.4, paces: new Map([['loud', 1]]) }, 250);
  assert.ok(estimates.getEffect('loud', 'site', 250) <= 0.3);
});

test('an estimate without samples fades and is dropped', () => {
  const estimates = createPairEstimates();
  const endMs = observeScene(estimates, { effect: 0.5, fromMs: 0, count: 40 });
  const fresh = estimates.getEffect('loud', 'site', endMs);
  assert.ok(estimates.getEffect('loud', 'site', endMs + 6_000) <= fresh / 2 + 0.01);
  assert.is(estimates.getEffect('loud', 'site', endMs + 40_000), 0);
  assert.is(estimates.list(endMs + 40_000).length, 0);
});

test('a thousand images leave the memory bounded', () => {
  const estimates = createPairEstimates();
  for (let index = 0; index < 1_000; index += 1) {
    const paces = new Map([[`image-${index}`, 1]]);
    estimates.observe({ victim: `site-${index}`, tailShare: 0.9, paces }, index);
  }
  assert.ok(estimates.list(1_000).length <= MAX_PAIRS);
});

test.run();
