/** Tests of the wave planner, the detection of losses, the forecast and the executor. */
import * as assert from 'uvu/assert';
import { suite } from 'uvu';
import { DEFAULT_WAVE_SETTINGS, type WaveInput } from '../lib/maintenance/candidates.js';
import { renderWaveDecision, type WaveDecision } from '../lib/maintenance/decisions.js';
import {
  createExecutorState,
  decidePermitActions,
  type ExecutorObservations,
  type ExecutorState,
  type PermitAction,
} from '../lib/maintenance/executor.js';
import { listForecasts } from '../lib/maintenance/forecast.js';
import { createAbsences, planObservation } from '../lib/maintenance/losses.js';
import { planWaves } from '../lib/maintenance/plan-waves.js';
import { DAY_MS, type MaintenancePolicy } from '../lib/maintenance/policy.js';
import type { Instance } from '../lib/topology.js';
import { appendClaims, appendMembers, createFakeLog, POLICY } from './fleet-records.js';

const test = suite('maintenance-waves');
const NOW_MS = 100 * DAY_MS;
const MINUTE_MS = 60_000;

const makeInstance = (id: string, dataCentre: string, rack = 'r0'): Instance => ({
  id,
  role: 'worker',
  address: '10.0.0.1:1',
  location: { region: 'south', dataCentre, rack },
  state: 'live',
  attributes: {},
});

/** Pool `a` has eight instances, alternating between two data centres; pool `b` has one. */
const setUp = (rest: Partial<MaintenancePolicy> = {}) => {
  const policy = { ...POLICY, ...rest };
  const log = createFakeLog(policy);
  const fences = appendClaims(log);
  appendMembers(log, fences.moves, 'a', 8);
  appendMembers(log, fences.moves, 'b', 1);
  const instances = new Map<string, Instance>([['b-0', makeInstance('b-0', 'north')]]);
  for (let index = 0; index < 8; index += 1) {
    const id = `a-${index}`;
    instances.set(id, makeInstance(id, index % 2 === 0 ? 'north' : 'south', `r${index >> 1}`));
  }
  const makeInput = (nowMs = NOW_MS): WaveInput => ({
    fleet: log.getState(),
    instances,
    policyOf: () => policy,
    nowMs,
    settings: DEFAULT_WAVE_SETTINGS,
  });
  const appendPermit = (instanceId: string, at = NOW_MS, wave = 'north/1') =>
    log.append({
      kind: 'maintenance.permit',
      instanceId,
      wave,
      isCanary: false,
      fence: fences.waves,
      at,
    });
  const appendOutcome = (permitOffset: number, instanceId: string, at = NOW_MS) =>
    log.append({ kind: 'maintenance.outcome', permitOffset, instanceId, result: 'returned', at });
  const appendLoss = (lost: readonly string[], at: number, returned: readonly string[] = []) =>
    log.append({ kind: 'maintenance.observation', lost, returned, fence: fences.waves, at });
  return { log, fences, instances, policy, makeInput, appendPermit, appendOutcome, appendLoss };
};

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

/** Creates an executor whose operations the test confirms one by one. */
const createExecutor = (fleet: ReturnType<typeof setUp>) => {
  let state: ExecutorState = createExecutorState();
  const confirmed = new Set<string>();
  const run = (
    nowMs: number,
    work: number,
    rest: Partial<ExecutorObservations> = {},
  ): readonly PermitAction[] => {
    const { instances, policy, log } = fleet;
    const seen = {
      list: { instances, requestedAtMs: nowMs },
      instances,
      work: new Map([['a-0', work]]),
      isConfirmed: (_permitId: string, operation: string) => confirmed.has(operation),
      isEnded: () => false,
      heldSince: 0,
      policyOf: () => policy,
      atMs: NOW_MS,
      ...rest,
    };
    const step = decidePermitActions(state, log.getState(), seen, nowMs);
    state = step.state;
    return step.actions;
  };
  const setConfirmed = (operation: string) => confirmed.add(operation);
  return { run, setConfirmed };
};

const formatActions = (actions: readonly PermitAction[]): readonly string[] =>
  actions.map((action) => {
    switch (action.kind) {
      case 'operation':
        return action.operation;
      case 'checkpoint':
        return `checkpoint ${action.tasks}`;
      case 'outcome':
        return `${action.result}: ${action.reason}`;
      default:
        return action satisfies never;
    }
  });

test('each operation of a permit is repeated until confirmed, from drain to outcome', () => {
  const fleet = setUp();
  fleet.appendPermit('a-0');
  const { run, setConfirmed } = createExecutor(fleet);
  assert.equal(formatActions(run(0, 3)), ['drain', 'checkpoint 3']);
  assert.equal(formatActions(run(1000, 0)), ['drain']);
  setConfirmed('drain');
  assert.equal(formatActions(run(2000, 1)), ['checkpoint 1']);
  assert.equal(formatActions(run(3000, 0)), ['reboot']);
  setConfirmed('reboot');
  assert.equal(formatActions(run(4000, 0)), []);
  assert.equal(formatActions(run(93_999, 0)), [], 'the list does not reliably show the reboot yet');
  assert.equal(formatActions(run(94_000, 0)), ['restore']);
  setConfirmed('restore');
  assert.equal(formatActions(run(95_000, 0)), ['returned: seen-after-reboot']);
});

test('a permit whose drain exceeds its limit is released once its restore is confirmed', () => {
  const fleet = setUp();
  fleet.appendPermit('a-0');
  const { run, setConfirmed } = createExecutor(fleet);
  run(0, 1);
  setConfirmed('drain');
  assert.equal(formatActions(run(POLICY.drainLimitMs, 1)), ['restore']);
  assert.equal(formatActions(run(POLICY.drainLimitMs + 1, 1)), ['restore']);
  setConfirmed('restore');
  assert.equal(formatActions(run(POLICY.drainLimitMs + 2, 1)), ['gave-back: drain-limit']);
});

test('a permit that an earlier executor ended at the platform is released at once', () => {
  const fleet = setUp();
  fleet.appendPermit('a-0');
  const { run, setConfirmed } = createExecutor(fleet);
  assert.equal(formatActions(run(0, 2)), ['drain', 'checkpoint 2']);
  const refused = { isEnded: () => true };
  assert.equal(formatActions(run(1000, 2, refused)), ['restore']);
  setConfirmed('restore');
  assert.equal(formatActions(run(2000, 2, refused)), ['gave-back: ended-before']);
});

test('a permit is released when a loss exceeds the budget before the reboot', () => {
  const fleet = setUp();
  fleet.appendPermit('a-0');
  fleet.appendLoss(['a-6', 'a-7'], NOW_MS);
  const { run, setConfirmed } = createExecutor(fleet);
  setConfirmed('drain');
  assert.equal(formatActions(run(0, 0)), ['restore']);
  setConfirmed('restore');
  assert.equal(formatActions(run(1, 0)), ['gave-back: budget-lost-before-reboot']);
});

test('an instance that does not return has failed, unless its whole rack is lost', () => {
  const fleet = setUp();
  fleet.appendPermit('a-0');
  const gone = { instances: new Map<string, Instance>(), requestedAtMs: 0 };
  const { run, setConfirmed } = createExecutor(fleet);
  setConfirmed('drain');
  run(0, 0);
  setConfirmed('reboot');
  run(1, 0, { list: gone });
  const lateMs = 10 * POLICY.rebootLimitMs;
  fleet.appendLoss(['a-2', 'a-4', 'a-6'], NOW_MS);
  assert.equal(formatActions(run(lateMs, 0, { list: gone })), []);
  fleet.appendLoss([], NOW_MS, ['a-2', 'a-4', 'a-6']);
  assert.equal(formatActions(run(lateMs + 1, 0, { list: gone })), []);
  const actions = run(lateMs + POLICY.rebootLimitMs, 0, { list: gone });
  assert.equal(formatActions(actions), ['restore', 'failed: reboot-limit']);
});

test('an executor that takes over starts from the drain with the same permit id', () => {
  const fleet = setUp();
  const offset = fleet.appendPermit('a-0');
  const { run } = createExecutor(fleet);
  const [action] = run(1e9, 0);
  assert.equal(action, {
    kind: 'operation',
    operation: 'drain',
    instanceId: 'a-0',
    permitId: `r${offset}`,
  });
});

// Guards against a wave that stands: an earlier executor has rebooted the instance, which is back in
// service and never idle.
test('an executor that takes over takes a drained instance that is live for rebooted', () => {
  const fleet = setUp();
  const heldSince = fleet.appendPermit('a-0') + 1;
  const busy = createExecutor(fleet);
  busy.run(0, 1, { heldSince });
  busy.setConfirmed('drain');
  assert.equal(formatActions(busy.run(1_000, 1, { heldSince })), ['checkpoint 1']);
  assert.equal(formatActions(busy.run(90_999, 1, { heldSince })), ['checkpoint 1']);
  const instances = new Map(fleet.instances);
  instances.set('a-0', { ...instances.get('a-0')!, state: 'leaving' });
  const leaving = { heldSince, list: { instances, requestedAtMs: 91_000 } };
  assert.equal(formatActions(busy.run(91_000, 1, leaving)), ['checkpoint 1'], 'not rebooted');
  assert.equal(formatActions(busy.run(91_000, 1)), ['checkpoint 1'], 'an own permit');
  assert.equal(formatActions(busy.run(91_000, 1, { heldSince })), ['restore']);
  busy.setConfirmed('restore');
  const ended = formatActions(busy.run(92_000, 1, { heldSince }));
  assert.equal(ended, ['returned: seen-after-reboot']);
});

test.run();
