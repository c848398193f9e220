/** How long a holder of the fleet duty waits for the orders of earlier ones, and what it tells. */
import { install, type Clock } from '@sinonjs/fake-timers';
import * as assert from 'uvu/assert';
import { suite } from 'uvu';
import type { Fleet, FleetOutcome } from 'vanilladock/lib/ports/fleet.js';
import type { Predecessor } from '../lib/jobs/duty-notices.js';
import { createFleetOrderGap } from '../lib/jobs/fleet-order-gap.js';
import { waitFor } from './memory-store.js';

const GAP_MS = 3_000;
const CLAIMED_MS = 10_000;
const FENCE = { holder: 'b', token: 1 };

/** A gap before the orders of token 7, which the fleet answers after 1 s. */
const makeGap = (outcome: FleetOutcome = { kind: 'done' }) => {
  const moveInstance = () => waitFor(1_000).then(() => outcome);
  const fleet = { moveInstance } as unknown as Fleet;
  const gap = createFleetOrderGap({ fleet, token: 7, gapMs: GAP_MS, claimedMs: CLAIMED_MS });
  /** Computes the wait from the claim, in steps of 100 ms. */
  const computeWaitMs = () => {
    let waitMs = 0;
    while (!gap.isOver(CLAIMED_MS + waitMs)) waitMs += 100;
    return waitMs;
  };
  const getToldAgoMs = (nowMs: number) => gap.makeHandOver(nowMs).handOver.fleetOrderAgoMs;
  return { ...gap, computeWaitMs, getToldAgoMs };
};

/** A predecessor of token 5 that answers at once, and told something if `fleetOrderAgoMs` is given. */
const makePredecessor = (fleetOrderAgoMs?: number, token = 5): Predecessor => {
  const handOver = { token, earlierOrdersMs: 0, leases: [], fleetOrderAgoMs };
  const told = { handOver, atMs: CLAIMED_MS };
  return { hasStopped: true, token: 5, told, knownMs: CLAIMED_MS };
};

const test = suite('fleet order gap');
let clock: Clock;
test.before.each(() => {
  clock = install({ now: 0 });
});
test.after.each(() => clock.uninstall());

// Guards against holders that wait anew for orders that were sent before others held the duty.
test('a holder waits for the last order of an earlier one, as far as it was told of it', () => {
  const cases: readonly (readonly [Partial<Predecessor>, number])[] = [
    [makePredecessor(500), 2_500],
    [makePredecessor(60_000), 0],
    [makePredecessor(-1_500), 4_500],
    [makePredecessor(), GAP_MS],
    [makePredecessor(500, 4), GAP_MS],
    [{ hasStopped: true, token: 5, knownMs: CLAIMED_MS + 200 }, GAP_MS + 200],
    [{ hasStopped: false, token: 5, knownMs: CLAIMED_MS + 2_600 }, GAP_MS],
  ];
  cases.forEach(([predecessor, waitMs], index) => {
    const { observePredecessor, computeWaitMs } = makeGap();
    assert.is(computeWaitMs(), GAP_MS, 'before the answer');
    observePredecessor({ told: undefined, ...predecessor } as Predecessor);
    assert.is(computeWaitMs(), waitMs, `case ${index}`);
  });
});

test('a holder that has ordered nothing passes on what it was told', () => {
  const { observePredecessor, makeHandOver } = makeGap();
  observePredecessor(makePredecessor(500));
  const { handOver } = makeHandOver(CLAIMED_MS + 1_000);
  assert.equal([handOver.token, handOver.fleetOrderAgoMs], [7, 1_500]);
});

test('holders of which nothing was told count as ordering while their authority may last', () => {
  const { observePredecessor, getToldAgoMs } = makeGap();
  assert.is(getToldAgoMs(CLAIMED_MS + 1_000), 0);
  observePredecessor(makePredecessor(500, 4));
  assert.is(getToldAgoMs(CLAIMED_MS + 2_900), 300);
});

test('an order counts until its answer, and without one as long as it may be carried out', async () => {
  for (const [outcome, agoMs] of [
    [{ kind: 'done' }, 200],
    [{ kind: 'unknown' }, -1_300],
  ] as const) {
    const { fleet, observePredecessor, getToldAgoMs } = makeGap(outcome);
    observePredecessor(makePredecessor(60_000));
    void fleet.moveInstance('m1', 'kilns', FENCE);
    await clock.tickAsync(500);
    assert.is(getToldAgoMs(performance.now()), -1_500, 'in flight');
    await clock.tickAsync(700);
    assert.is(getToldAgoMs(performance.now()), agoMs, outcome.kind);
  }
});

test.run();
