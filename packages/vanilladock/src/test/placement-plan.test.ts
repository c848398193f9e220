/** Tests of placement plans: urgency, fairness, sizes, lapses, outages, stops. */
import * as assert from 'uvu/assert';
import { suite } from 'uvu';
import type { PlacementDecision } from '../lib/placement/decisions.js';
import { formatDecision } from '../lib/placement/decisions.js';
import { UNRESPONSIVE_AFTER_MS, UNCONFIRMED_MAX } from '../lib/placement/plan-input.js';
import { createPlanner } from '../lib/placement/plan.js';
import type { PlacementRecord } from '../lib/placement/records.js';
import {
  foldAll,
  makeLease,
  makeOutcome,
  makeRules,
  makeSize,
  makeSubmission,
} from './placement-fixtures.js';
import {
  makePool,
  makeReports,
  makeInput,
  listGrants,
  listCommands,
  makeRunning,
} from './placement-plan-scene.js';

const test = suite('placement plan');

test('a quick task is placed before many older patient tasks', () => {
  const flood = Array.from({ length: 200 }, (_, index) =>
    makeSubmission(`p${index}`, { urgency: 'patient' }),
  );
  const state = foldAll([...flood, makeSubmission('q', { urgency: 'quick', team: 'vans' })]);
  const grants = listGrants(createPlanner('e').plan(makeInput(state)));
  assert.is(grants[0]?.taskId, 'q');
});

test('teams get cores by weight, not by the amount of queued work', () => {
  const flood = Array.from({ length: 50 }, (_, index) => makeSubmission(`f${index}`));
  const few = Array.from({ length: 3 }, (_, index) => makeSubmission(`m${index}`, { team: 'm' }));
  const grants = listGrants(createPlanner('e').plan(makeInput(foldAll([...flood, ...few]))));
  const mine = grants.filter(({ taskId }) => taskId.startsWith('m')).length;
  assert.is(mine, 3);
  assert.ok(grants.length > 5);
});

test('a task is not granted again while its append has not been read back', () => {
  const state = foldAll([makeSubmission('t')]);
  const planner = createPlanner('e');
  assert.is(listGrants(planner.plan(makeInput(state))).length, 1);
  const again = planner.plan(makeInput(state, { nowMs: 1_500 }));
  assert.is(listGrants(again).length, 0);
  const lost = planner.plan(
    makeInput(state, { nowMs: 9_000, reports: makeReports(['a', 'b'], 9_000) }),
  );
  assert.is(listGrants(lost).length, 1);
});

test('a quick task without free cores throttles less urgent tasks and starts at once', () => {
  const state = foldAll([
    makeSubmission('t', { declared: makeSize(8, 1_000) }),
    makeLease('t', { workerId: 'a', size: makeSize(8, 1_000) }),
    makeSubmission('q', { urgency: 'quick', declared: makeSize(4, 1_000) }),
  ]);
  const reports = makeReports(['a'], 1_000, [makeRunning('t', 1)]);
  const input = makeInput(state, { pools: [makePool(['a'])], reports });
  const decisions = createPlanner('e').plan(input);
  assert.is(listGrants(decisions)[0]?.taskId, 'q');
  const throttle = listCommands(decisions, 'throttle')[0];
  assert.is(throttle?.kind === 'throttle' && throttle.share, 0.5);
});

test('a quick task without free memory checkpoints the fewest tasks, then uses their memory', () => {
  const leased = [
    makeSubmission('t', { urgency: 'patient' }),
    makeLease('t', { workerId: 'a', size: makeSize(1, 8_000) }),
    makeSubmission('q', { urgency: 'quick', declared: makeSize(1, 4_000) }),
  ];
  const state = foldAll(leased);
  const planner = createPlanner('e');
  const pools = [makePool(['a'])];
  const reports = makeReports(['a'], 1_000, [makeRunning('t', 1)]);
  const first = planner.plan(makeInput(state, { pools, reports }));
  assert.is(listCommands(first, 'checkpoint').length, 1);
  assert.is(listGrants(first).length, 0);
  const freed = foldAll([makeOutcome('t', 1, 'checkpointed')], makeRules(100), state, 3);
  const later = makeReports(['a'], 3_000);
  const second = planner.plan(makeInput(freed, { pools, reports: later, nowMs: 3_000 }));
  assert.is(listGrants(second)[0]?.taskId, 'q');
});

// Guards against a quick task that waits for a checkpoint while another worker has free capacity.
test('a quick task with a reservation uses capacity that becomes free elsewhere first', () => {
  const size = makeSize(1, 8_000);
  const state = foldAll([
    makeSubmission('t', { urgency: 'patient' }),
    makeLease('t', { workerId: 'a', size }),
    makeSubmission('u', { urgency: 'patient' }),
    makeLease('u', { workerId: 'b', size }),
    makeSubmission('q', { urgency: 'quick', declared: makeSize(1, 4_000) }),
  ]);
  const planner = createPlanner('e');
  const running = [...makeReports(['a'], 1_000, [makeRunning('t', 1)])];
  const alsoRunning = [...makeReports(['b'], 1_000, [makeRunning('u', 3)])];
  const reports = new Map([...running, ...alsoRunning]);
  const [checkpoint] = listCommands(planner.plan(makeInput(state, { reports })), 'checkpoint');
  assert.ok(checkpoint?.kind === 'checkpoint');
  const [ended, freed] = checkpoint.lease.taskId === 't' ? ['u', 'b'] : ['t', 'a'];
  const offset = ended === 'u' ? 3 : 1;
  const later = foldAll([makeOutcome(ended, offset, 'succeeded')], makeRules(100), state, 5);
  const [grant] = listGrants(planner.plan(makeInput(later, { reports, nowMs: 2_000 })));
  assert.is(grant?.taskId, 'q');
  assert.is(grant?.workerId, freed);
});

test('a task that fits no worker of its pool is rejected with its size as the reason', () => {
  const state = foldAll([makeSubmission('t', { declared: makeSize(9) })]);
  const decision = createPlanner('e').plan(makeInput(state))[0];
  assert.is(decision?.kind, 'end');
  assert.match(decision?.reason ?? '', 'no worker of pool p holds 9 cores');
  const line = JSON.parse(formatDecision(decision as PlacementDecision, 5)) as { result: string };
  assert.is(line.result, 'never-runnable');
});

test('sizes learned from usage replace declared sizes that are ten times too large', () => {
  const records: PlacementRecord[] = [0, 1, 2].flatMap((index) => [
    makeSubmission(`t${index}`, { declared: makeSize(8) }),
    makeLease(`t${index}`, { size: makeSize(8) }),
    makeOutcome(`t${index}`, index * 3 + 1, 'succeeded', { used: makeSize(0.8) }),
  ]);
  const state = foldAll([...records, makeSubmission('t', { declared: makeSize(8) })]);
  const size = listGrants(createPlanner('e').plan(makeInput(state)))[0]?.size;
  assert.ok((size?.cores ?? 8) < 1);
  assert.ok((size?.memoryMb ?? 8_000) < 1_000);
});

test('a worker is granted no more than the limit of unconfirmed tasks', () => {
  const many = Array.from({ length: 40 }, (_, index) =>
    makeSubmission(`t${index}`, { declared: makeSize(0.1, 10) }),
  );
  const input = makeInput(foldAll(many), { pools: [makePool(['a'])] });
  const grants = listGrants(createPlanner('e').plan(input));
  assert.ok(grants.length <= UNCONFIRMED_MAX);
});

test('a lease whose end is decided is never started, even if the worker reports again', () => {
  const state = foldAll([makeSubmission('t'), makeLease('t', { workerId: 'a' })]);
  const planner = createPlanner('e');
  const pools = [makePool(['a'])];
  planner.plan(makeInput(state, { pools, reports: makeReports(['a'], 1_000) }));
  const unresponsiveMs = 1_000 + 32_000 + UNRESPONSIVE_AFTER_MS;
  const unresponsive = makeInput(state, {
    pools,
    nowMs: unresponsiveMs,
    reports: makeReports(['a'], 1_000),
  });
  const ended = planner.plan(unresponsive).find((decision) => decision.kind === 'end');
  assert.is(ended?.kind === 'end' && ended.record.result, 'lapsed');
  const backMs = unresponsiveMs + 1_000;
  const back = makeInput(state, { pools, nowMs: backMs, reports: makeReports(['a'], backMs) });
  assert.is(listCommands(planner.plan(back), 'start').length, 0);
});

test('while the store is down, running tasks are renewed and nothing else is decided', () => {
  const state = foldAll([
    makeSubmission('t'),
    makeLease('t', { workerId: 'a' }),
    makeSubmission('u'),
  ]);
  const { duty } = makeInput(state);
  const down = { ...duty, heldUntilMs: 500 };
  const reports = makeReports(['a'], 1_000, [makeRunning('t', 1)]);
  const decisions = createPlanner('e').plan(makeInput(state, { duty: down, reports }));
  assert.is(decisions.length, 1);
  assert.is(listCommands(decisions, 'renew-worker').length, 1);
  const lost = { ...down, isSuperseded: true };
  assert.equal(createPlanner('e').plan(makeInput(state, { duty: lost, reports })), []);
});

test('a cancelled task and an orphaned run without a record in the log are stopped', () => {
  const cancel = { version: 1, id: 'c', by: 'b', at: 0 } as const;
  const state = foldAll([
    makeSubmission('t'),
    makeLease('t', { workerId: 'a' }),
    { ...cancel, kind: 'task.cancellation', taskId: 't' },
  ]);
  const reports = makeReports(['a'], 1_000, [makeRunning('t', 1), makeRunning('gone', 0)]);
  const decisions = createPlanner('e').plan(makeInput(state, { reports }));
  assert.is(listCommands(decisions, 'stop').length, 2);
});

test.run();
