/** Tests of the wave planner, the detection of losses and the forecast. */
import * as assert from 'uvu/assert';
import { suite } from 'uvu';
import { DEFAULT_WAVE_SETTINGS } from '../lib/maintenance/candidates.js';
import { renderWaveDecision, type WaveDecision } from '../lib/maintenance/decisions.js';
import { listForecasts } from '../lib/maintenance/forecast.js';
import { createAbsences, planObservation } from '../lib/maintenance/losses.js';
import { planWaves } from '../lib/maintenance/plan-waves.js';
import { DAY_MS } from '../lib/maintenance/policy.js';
import { NOW_MS, setUp } from './maintenance-scene.js';

const test = suite('maintenance-waves');
const MINUTE_MS = 60_000;

const listPermits = (decisions: readonly WaveDecision[]): readonly string[] =>
  decisions.flatMap((decision) => (decision.kind === 'permit' ? [decision.instanceId] : []));

const findHold = (decisions: readonly WaveDecision[], pool: string) =>
  decisions.flatMap((decision) =>
    decision.kind === 'hold' && decision.pool === pool ? [decision.reason] : [],
  )[0];

test('permits use the budget for the first data centre and name the next candidate', () => {
  const decisions = planWaves(setUp().makeInput());
  assert.equal(listPermits(decisions), ['a-0', 'a-2']);
  const last = decisions.findLast(({ kind }) => kind === 'permit');
  assert.equal(last?.kind === 'permit' && last.refused, {
    instanceId: 'a-4',
    why: 'room-for-fewer',
  });
  assert.match(
    renderWaveDecision(decisions[0] as WaveDecision),
    'a-0 of a may stop in wave north/1',
  );
});

test('a pool of one instance waits for another to join', () => {
  const { makeInput } = setUp();
  assert.is(findHold(planWaves(makeInput()), 'b'), 'single-instance');
  const forecast = listForecasts(makeInput()).find(({ pool }) => pool === 'b');
  assert.is(forecast?.finishAtMs, undefined);
});

test('a canary gets the first permit and the rest of its wave waits for its return', () => {
  const { makeInput, log, fences, appendLoss } = setUp({ canaries: 1 });
  const first = planWaves(makeInput()).filter(({ kind }) => kind === 'permit');
  assert.equal(
    first.map((decision) => decision.kind === 'permit' && [decision.instanceId, decision.isCanary]),
    [['a-0', true]],
  );
  const permitOffset = log.append({
    kind: 'maintenance.permit',
    instanceId: 'a-0',
    wave: 'north/1',
    isCanary: true,
    fence: fences.waves,
    at: NOW_MS,
  });
  assert.is(findHold(planWaves(makeInput()), 'a'), 'canary-pending');
  log.append({
    kind: 'maintenance.outcome',
    permitOffset,
    instanceId: 'a-0',
    result: 'failed',
    at: NOW_MS,
  });
  const held = planWaves(makeInput(NOW_MS + 10 * MINUTE_MS));
  const stopped = held.find(({ kind }) => kind === 'wave-stopped');
  assert.match(
    renderWaveDecision(stopped as WaveDecision),
    'wave north/1 stopped: canary a-0 did not return',
  );
  appendLoss([], NOW_MS, ['a-0']);
  const later = planWaves(makeInput(NOW_MS + DEFAULT_WAVE_SETTINGS.retryStoppedMs));
  const retry = later.find((decision) => decision.kind === 'permit');
  assert.is(retry?.kind === 'permit' && retry.wave, 'north/2');
});

test('a recent unplanned loss pauses its pool; later it only counts against the budget', () => {
  const { makeInput, appendLoss } = setUp();
  appendLoss(['a-7'], NOW_MS);
  assert.is(findHold(planWaves(makeInput(NOW_MS + MINUTE_MS)), 'a'), 'fleet-loss');
  const wide = {
    ...makeInput(NOW_MS + MINUTE_MS),
    settings: { ...DEFAULT_WAVE_SETTINGS, fleetLossShare: 1 },
  };
  assert.is(findHold(planWaves(wide), 'a'), 'recent-loss');
  const later = { ...wide, nowMs: NOW_MS + DEFAULT_WAVE_SETTINGS.lossPauseMs };
  assert.equal(listPermits(planWaves(later)), ['a-0']);
});

test('a pool continues with the next data centre when the first has no candidates left', () => {
  const { makeInput, appendPermit, appendOutcome } = setUp();
  ['a-0', 'a-2', 'a-4'].forEach((id) => appendOutcome(appendPermit(id), id));
  appendPermit('a-6');
  const decision = planWaves(makeInput()).find(({ kind }) => kind === 'permit');
  assert.equal(decision?.kind === 'permit' && [decision.instanceId, decision.wave], [
    'a-1',
    'south/1',
  ]);
});

test('after an outage of two months all is overdue and is caught up within the budget', () => {
  const { makeInput, appendPermit, appendOutcome } = setUp();
  ['a-0', 'a-1', 'a-2', 'a-3', 'a-4', 'a-5', 'a-6', 'a-7'].forEach((id) =>
    appendOutcome(appendPermit(id), id),
  );
  assert.equal(listPermits(planWaves(makeInput())), []);
  const decisions = planWaves(makeInput(NOW_MS + 60 * DAY_MS));
  const reasons = decisions.flatMap((it) => (it.kind === 'permit' ? [it.reason] : []));
  assert.equal(reasons, ['overdue', 'overdue']);
  const forecast = listForecasts(makeInput(NOW_MS + 60 * DAY_MS)).find(({ pool }) => pool === 'a');
  assert.is(forecast?.remaining, 8);
  assert.is(forecast?.isLate, true);
});

test('a maintenance freeze and the maintenance hours put whole pools on hold', () => {
  assert.is(findHold(planWaves(setUp({ maintenanceFrozen: true }).makeInput()), 'a'), 'frozen');
  const night = setUp({ maintenanceHours: [1, 5] });
  assert.is(findHold(planWaves(night.makeInput()), 'a'), 'outside-hours');
});

test('an absence counts as a loss after the time limit, but never while a permit is open', () => {
  const { log, instances, appendPermit } = setUp();
  appendPermit('a-1');
  const rest = [...instances].filter(([id]) => id !== 'a-0' && id !== 'a-1');
  const list = { instances: new Map(rest), requestedAtMs: 1000 };
  const first = planObservation(log.getState(), createAbsences(), list, 20_000);
  assert.equal(first.lost, []);
  const later = { ...list, requestedAtMs: 21_000 };
  assert.equal(planObservation(log.getState(), first.absences, later, 20_000).lost, ['a-0']);
});

test.run();
