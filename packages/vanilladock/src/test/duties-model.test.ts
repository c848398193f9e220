/** Exhaustive search of a small model of duty claims, with and without fencing. */
import * as assert from 'uvu/assert';
import { suite } from 'uvu';
import { findFault } from './duties-model.js';

const BOUNDS = [
  { claimants: 2, maxTicks: 4, maxClaims: 3, maxWork: 1, leaseMs: 4_000 },
  { claimants: 2, maxTicks: 4, maxClaims: 3, maxWork: 1, leaseMs: 8_000 },
  { claimants: 3, maxTicks: 3, maxClaims: 2, maxWork: 1, leaseMs: 2_000 },
];

const test = suite('duty claims model');

BOUNDS.forEach((bounds) => {
  const name = `${bounds.claimants} claimants, lease of ${bounds.leaseMs} ms`;
  test(`${name}: one holder at a time, and no stale work takes effect`, () => {
    const { states, fault } = findFault({ ...bounds, isFenced: true });
    process.stdout.write(`${name}: ${states} states\n`);
    assert.is(fault, undefined);
    assert.ok(states > 10_000, `only ${states} states were visited`);
  });

  test(`${name}: without fencing, stale work takes effect`, () => {
    const { fault } = findFault({ ...bounds, isFenced: false });
    assert.match(fault ?? 'none', 'by a claimant that does not hold the duty');
  });
});

test.run();
