/** The pure parts of routing: health, departure, retry budget and choice, on given times. */
import * as assert from 'uvu/assert';
import { suite } from 'uvu';
import { createRandom } from '../lib/ports/random.js';
import { chooseUpstream } from '../lib/routing/choose-upstream.js';
import {
  createDeparture,
  foldListedState,
  foldStaySignal,
  isGone,
  isLeaving,
} from '../lib/routing/departure.js';
import {
  computePenalty,
  createHealth,
  foldHealth,
  getHealthState,
  type Health,
  type Outcome,
} from '../lib/routing/health.js';
import { addRequest, createRetryBudget, takeRetry } from '../lib/routing/retry-budget.js';

const test = suite('routing');
const ROOM = { total: 4, ejected: 0, maxShare: 0.5 };
const FAILED: Outcome = { kind: 'failed' };

/** Folds the same outcome several times. */
const foldMany = (health: Health, outcome: Outcome, count: number, nowMs: number, room = ROOM) =>
  Array.from({ length: count }).reduce<Health>(
    (state) => foldHealth(state, outcome, room, nowMs),
    health,
  );

test('failures eject, probation ends with answers, and a failure in it ejects for longer', () => {
  const ejected = foldMany(createHealth(), FAILED, 3, 1000);
  assert.is(getHealthState(ejected, 1000), 'ejected');
  const trialAtMs = ejected.ejectedUntilMs;
  assert.is(getHealthState(ejected, trialAtMs), 'probation');
  const again = foldMany(ejected, FAILED, 1, trialAtMs);
  assert.ok(again.ejectedUntilMs - trialAtMs > trialAtMs - 1000);
  const back = foldMany(ejected, { kind: 'answered', latencyMs: 5 }, 3, trialAtMs);
  assert.is(getHealthState(back, trialAtMs), 'healthy');
});

test('nothing is ejected beyond the set share', () => {
  const room = { total: 4, ejected: 2, maxShare: 0.5 };
  assert.is(getHealthState(foldMany(createHealth(), FAILED, 20, 0, room), 0), 'healthy');
});

test('failures and slowness weigh an upstream down, and the weight fades', () => {
  const failing = foldMany(createHealth(), FAILED, 2, 0);
  assert.ok(computePenalty(failing, 0, 0) > 1.5);
  assert.is(computePenalty(failing, 0, 20_000), 1);
  const slow = foldMany(createHealth(), { kind: 'answered', latencyMs: 30 }, 30, 0);
  assert.is(computePenalty(slow, 10, 0), 2);
  assert.is(computePenalty(slow, 25, 0), 1);
  assert.is(computePenalty(createHealth(), 10, 0), 1);
});

test('whichever signal of leaving comes first holds, and the grace is for the list alone', () => {
  const told = foldStaySignal(createDeparture(), 'leaving', 0);
  assert.is(isLeaving(told, 1), true);
  assert.is(isGone(told, 2000, 1), true);
  assert.is(isLeaving(told, 60_000), false);
  const listed = foldListedState(createDeparture(), 'leaving', 0);
  assert.is(isLeaving(listed, 0), true);
  assert.is(isGone(listed, 2000, 1999), false);
  assert.is(isGone(listed, 2000, 2000), true);
  assert.equal(foldListedState(listed, 'live', 5), createDeparture());
});

test('one closed connection, or an upstream that always closes, is no signal', () => {
  const stayed = foldStaySignal(createDeparture(), 'staying', 0);
  assert.is(isLeaving(foldStaySignal(stayed, 'closing', 0), 0), false);
  const never = ['closing', 'closing', 'closing'] as const;
  const closed = never.reduce(
    (state, signal) => foldStaySignal(state, signal, 0),
    createDeparture(),
  );
  assert.is(isLeaving(closed, 0), false);
});

test('retries keep to their share of recent requests', () => {
  let budget = createRetryBudget(0);
  for (let index = 0; index < 1000; index += 1) budget = addRequest(budget, 0);
  let taken = 0;
  for (let next = takeRetry(budget, 0.1, 0); next !== undefined; next = takeRetry(next, 0.1, 0)) {
    taken += 1;
  }
  assert.is(taken, 100);
  let quiet = 0;
  const later = addRequest(budget, 60_000);
  for (let next = takeRetry(later, 0.1, 0); next !== undefined; next = takeRetry(next, 0.1, 0)) {
    quiet += 1;
  }
  assert.is(quiet, 10);
});

test('of two candidates the less loaded is chosen, and each has its turn', () => {
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
