/**
 * Tests of the pure routing functions: health, departure, retry budget and choice of an upstream.
 */
import * as assert from 'uvu/assert';
import { suite } from 'uvu';
import { createRandom } from '../lib/ports/random.js';
import { chooseUpstream } from '../lib/routing/choose-upstream.js';
import {
  createDeparture,
  foldListedState,
  foldDepartureSignal,
  isOutOfService,
  isLeaving,
} from '../lib/routing/departure.js';
import {
  computePenalty,
  createHealth,
  foldHealth,
  getHealthState,
  type Health,
  type RequestOutcome,
} from '../lib/routing/health.js';
import { addRequest, createRetryBudget, takeRetry } from '../lib/routing/retry-budget.js';

const test = suite('routing');
const EJECTION_LIMIT = { total: 4, ejected: 0, maxShare: 0.5 };
const FAILED: RequestOutcome = { kind: 'failed' };

/** Folds the same outcome several times. */
const foldMany = (
  health: Health,
  outcome: RequestOutcome,
  count: number,
  nowMs: number,
  limit = EJECTION_LIMIT,
) =>
  Array.from({ length: count }).reduce<Health>(
    (state) => foldHealth(state, outcome, limit, nowMs),
    health,
  );

test('failures eject, answers end probation, and a failure during probation ejects for longer', () => {
  const ejected = foldMany(createHealth(), FAILED, 3, 1000);
  assert.is(getHealthState(ejected, 1000), 'ejected');
  const probationAtMs = ejected.ejectedUntilMs;
  assert.is(getHealthState(ejected, probationAtMs), 'probation');
  const ejectedAgain = foldMany(ejected, FAILED, 1, probationAtMs);
  assert.ok(ejectedAgain.ejectedUntilMs - probationAtMs > probationAtMs - 1000);
  const recovered = foldMany(ejected, { kind: 'answered', latencyMs: 5 }, 3, probationAtMs);
  assert.is(getHealthState(recovered, probationAtMs), 'healthy');
});

test('no upstream is ejected beyond the configured share', () => {
  const limit = { total: 4, ejected: 2, maxShare: 0.5 };
  assert.is(getHealthState(foldMany(createHealth(), FAILED, 20, 0, limit), 0), 'healthy');
});

test('failures and slowness give an upstream a penalty, which decays', () => {
  const failing = foldMany(createHealth(), FAILED, 2, 0);
  assert.ok(computePenalty(failing, 0, 0) > 1.5);
  assert.is(computePenalty(failing, 0, 20_000), 1);
  const slow = foldMany(createHealth(), { kind: 'answered', latencyMs: 30 }, 30, 0);
  assert.is(computePenalty(slow, 10, 0), 2);
  assert.is(computePenalty(slow, 25, 0), 1);
  assert.is(computePenalty(createHealth(), 10, 0), 1);
});

test('the first signal of leaving takes effect, and only the instance list has a grace period', () => {
  const signalled = foldDepartureSignal(createDeparture(), 'leaving', 0);
  assert.is(isLeaving(signalled, 1), true);
  assert.is(isOutOfService(signalled, 2000, 1), true);
  assert.is(isLeaving(signalled, 60_000), false);
  const listed = foldListedState(createDeparture(), 'leaving', 0);
  assert.is(isLeaving(listed, 0), true);
  assert.is(isOutOfService(listed, 2000, 1999), false);
  assert.is(isOutOfService(listed, 2000, 2000), true);
  assert.equal(foldListedState(listed, 'live', 5), createDeparture());
});

test('neither one closed connection nor an upstream that always closes connections is a signal', () => {
  const kept = foldDepartureSignal(createDeparture(), 'staying', 0);
  assert.is(isLeaving(foldDepartureSignal(kept, 'closing', 0), 0), false);
  const signals = ['closing', 'closing', 'closing'] as const;
  const closed = signals.reduce(
    (state, signal) => foldDepartureSignal(state, signal, 0),
    createDeparture(),
  );
  assert.is(isLeaving(closed, 0), false);
});

test('retries are limited to a share of the recent requests, with a minimum', () => {
  let budget = createRetryBudget(0);
  for (let index = 0; index < 1000; index += 1) budget = addRequest(budget, 0);
  let taken = 0;
  for (let left = takeRetry(budget, 0.1, 0); left !== undefined; left = takeRetry(left, 0.1, 0)) {
    taken += 1;
  }
  assert.is(taken, 100);
  let takenLater = 0;
  const later = addRequest(budget, 60_000);
  for (let left = takeRetry(later, 0.1, 0); left !== undefined; left = takeRetry(left, 0.1, 0)) {
    takenLater += 1;
  }
  assert.is(takenLater, 10);
});

test('the less loaded of two candidates is chosen, and a heavily penalised one never', () => {
  const random = createRandom(1);
  const candidates = [
    { id: 'full', address: 'a', inFlight: 5 },
    { id: 'failing', address: 'b', inFlight: 0, penalty: 9 },
    { id: 'free', address: 'c', inFlight: 0 },
    { id: 'light', address: 'd', inFlight: 1 },
  ];
  const counts = new Map<string, number>();
  for (let index = 0; index < 600; index += 1) {
    const id = chooseUpstream(candidates, random)?.id ?? '';
    counts.set(id, (counts.get(id) ?? 0) + 1);
  }
  assert.ok((counts.get('free') ?? 0) > (counts.get('light') ?? 0));
  assert.is(counts.get('failing') ?? 0, 0);
  assert.is(chooseUpstream([], random), undefined);
});

test.run();
