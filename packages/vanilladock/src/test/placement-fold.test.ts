/** Tests for the placement fold: races, quotas, ends of leases, bounds. */
import { is } from 'immutable';
import * as assert from 'uvu/assert';
import { suite } from 'uvu';
import { FINISHED_KEPT } from '../lib/placement/fold-finished.js';
import { ATTEMPTS_MAX, LAPSES_MAX } from '../lib/placement/fold-outcome.js';
import { QUEUED_MAX_PER_TEAM } from '../lib/placement/fold.js';
import { createPlacementState } from '../lib/placement/state.js';
import {
  foldAll,
  makeLease,
  makeOutcome,
  makeQuarantine,
  makeRules,
  makeSize,
  makeSubmission,
} from './placement-fixtures.js';

const test = suite('placement fold');

test('a submission repeated by another entry changes nothing', () => {
  const once = foldAll([makeSubmission('t')]);
  const twice = foldAll([makeSubmission('t', { id: 'other', by: 'b' })], makeRules(100), once, 5);
  assert.is(twice, once);
});

test('the first of two leases that follow the same one wins', () => {
  const state = foldAll([
    makeSubmission('t'),
    makeLease('t', { workerId: 'w1' }),
    makeLease('t', { workerId: 'w2' }),
  ]);
  assert.is(state.tasks.get('t')?.lease?.workerId, 'w1');
  assert.is(state.voids.get('l-t--1-w2'), 'superseded');
  assert.not.ok(state.workers.has('w2'));
});

test('a lease from a planner with a superseded claim is void', () => {
  const state = foldAll([makeSubmission('t'), makeLease('t', { fence: 3 })]);
  assert.is(state.tasks.get('t')?.lease, undefined);
  assert.is(state.voids.get('l-t--1-w'), 'stale-claim');
});

test("a lease beyond the team's quota is void and leaves the team's totals unchanged", () => {
  const state = foldAll(
    [makeSubmission('t'), makeSubmission('u'), makeLease('t'), makeLease('u')],
    makeRules(3),
  );
  assert.is(state.voids.get('l-u--1-w'), 'quota');
  assert.is(state.teams.get('stalls')?.heldCores, 2);
  assert.is(state.teams.get('stalls')?.queued, 1);
});

test('a lease of zero cores or of NaN is void', () => {
  const state = foldAll([
    makeSubmission('t'),
    makeLease('t', { id: 'x', size: makeSize(0) }),
    makeLease('t', { id: 'y', size: makeSize(Number.NaN) }),
  ]);
  assert.equal([state.voids.get('x'), state.voids.get('y')], ['bad-size', 'bad-size']);
});

test('an outcome is void unless it names the current lease', () => {
  const state = foldAll([
    makeSubmission('t'),
    makeLease('t'),
    makeOutcome('t', 1, 'lapsed'),
    makeLease('t', { follows: 1, workerId: 'w2' }),
    makeOutcome('t', 1, 'succeeded'),
  ]);
  assert.is(state.tasks.get('t')?.lease?.offset, 3);
  assert.is(state.voids.get('o-t-1-succeeded'), 'not-holder');
});

test('only the current planner may record that a lease lapsed', () => {
  const state = foldAll([
    makeSubmission('t'),
    makeLease('t'),
    makeOutcome('t', 1, 'lapsed', { fence: 3 }),
  ]);
  assert.is(state.tasks.get('t')?.lease?.offset, 1);
});

test('a cancelled task counts towards the quota until its worker has stopped it', () => {
  const cancel = { version: 1, id: 'c', by: 'b', at: 0 } as const;
  const leased = foldAll([
    makeSubmission('t'),
    makeLease('t'),
    { ...cancel, kind: 'task.cancellation', taskId: 't' },
  ]);
  assert.is(leased.teams.get('stalls')?.heldCores, 2);
  const ended = foldAll([makeOutcome('t', 1, 'checkpointed')], makeRules(100), leased, 3);
  assert.is(ended.finished.get('t')?.result, 'cancelled');
  assert.is(ended.finished.get('t')?.verdict, 'may-have-run');
  assert.is(ended.teams.size, 0);
});

test('a task cancelled before any lease has not run', () => {
  const cancel = { version: 1, id: 'c', by: 'b', at: 0 } as const;
  const state = foldAll([
    makeSubmission('t'),
    { ...cancel, kind: 'task.cancellation', taskId: 't' },
  ]);
  assert.is(state.finished.get('t')?.verdict, 'not-run');
  assert.is(state.queues.size, 0);
});

// Guards against work that nobody wants: a submission that was sent before its cancel is read after it.
test('a task that is cancelled before its submission arrives is not queued', () => {
  const cancel = { version: 1, id: 'c', by: 'b', at: 0, kind: 'task.cancellation' } as const;
  const state = foldAll([{ ...cancel, taskId: 't' }, makeSubmission('t')]);
  assert.is(state.queued, 0);
  assert.is(state.finished.get('t')?.result, 'cancelled');
  assert.is(state.finished.get('t')?.verdict, 'not-run');
});

test('a refused task that is cancelled is not queued when it is sent again', () => {
  const cancel = { version: 1, id: 'c', by: 'b', at: 0, kind: 'task.cancellation' } as const;
  const refused = makeSubmission('t', { declared: makeSize(-1) });
  const state = foldAll([refused, { ...cancel, taskId: 't' }, makeSubmission('t')]);
  assert.is(state.queued, 0);
  assert.is(state.finished.get('t')?.result, 'cancelled');
});

test('a cancel of a task that has ended changes nothing', () => {
  const cancel = { version: 1, id: 'c', by: 'b', at: 0, kind: 'task.cancellation' } as const;
  const ended = [makeSubmission('t'), makeLease('t'), makeOutcome('t', 1, 'succeeded')];
  const state = foldAll([...ended, { ...cancel, taskId: 't' }]);
  assert.is(state.finished.get('t')?.result, 'succeeded');
  assert.is(state.voids.get('c'), 'no-such-task');
});

test('cancels of unknown tasks are kept up to the limit of ended ones', () => {
  const cancel = { version: 1, id: 'c', by: 'b', at: 0, kind: 'task.cancellation' } as const;
  const many = Array.from({ length: FINISHED_KEPT + 2 }, (_, index) => ({
    ...cancel,
    taskId: `t${index}`,
  }));
  const state = foldAll(many);
  assert.is(state.finished.size, FINISHED_KEPT);
  assert.not.ok(state.finished.has('t1'));
});

test('a task ends after three failed attempts or six lapsed leases', () => {
  const buildAttempts = (result: 'failed' | 'lapsed', times: number) =>
    Array.from({ length: times }, (_, index) => [
      makeLease('t', { follows: index === 0 ? -1 : index * 2 - 1 }),
      makeOutcome('t', index * 2 + 1, result),
    ]).flat();
  const failed = foldAll([makeSubmission('t'), ...buildAttempts('failed', ATTEMPTS_MAX)]);
  assert.is(failed.finished.get('t')?.result, 'failed');
  const almost = foldAll([makeSubmission('t'), ...buildAttempts('failed', ATTEMPTS_MAX - 1)]);
  assert.equal(almost.tasks.get('t')?.failedOn, ['w', 'w']);
  const lapsed = foldAll([makeSubmission('t'), ...buildAttempts('lapsed', LAPSES_MAX)]);
  assert.is(lapsed.finished.get('t')?.result, 'lapsed');
  const mixed = foldAll([
    makeSubmission('t'),
    makeLease('t'),
    makeOutcome('t', 1, 'lapsed'),
    makeLease('t', { follows: 1 }),
    makeOutcome('t', 3, 'failed'),
    makeLease('t', { follows: 3 }),
    makeOutcome('t', 5, 'failed'),
  ]);
  assert.is(mixed.finished.get('t')?.result, 'failed');
});

test('a quick submission beyond the quota is refused as not run and may be sent again', () => {
  const makeQuick = (taskId: string) => makeSubmission(taskId, { urgency: 'quick' });
  const full = foldAll([makeQuick('t'), makeQuick('u')], makeRules(3));
  assert.is(full.finished.get('u')?.verdict, 'not-run');
  const freed = foldAll(
    [makeLease('t'), makeOutcome('t', 2, 'succeeded'), makeQuick('u')],
    makeRules(3),
    full,
    2,
  );
  assert.ok(freed.tasks.has('u'));
  assert.not.ok(freed.finished.has('u'));
});

test('queues are bounded per team and finished tasks are evicted in order', () => {
  const flood = Array.from({ length: QUEUED_MAX_PER_TEAM + 1 }, (_, index) =>
    makeSubmission(`t${index}`),
  );
  const state = foldAll(flood);
  assert.is(state.queued, QUEUED_MAX_PER_TEAM);
  assert.is(state.finished.get(`t${QUEUED_MAX_PER_TEAM}`)?.result, 'refused');
  const cancel = { version: 1, id: 'c', by: 'b', at: 0, kind: 'task.cancellation' } as const;
  const many = Array.from({ length: FINISHED_KEPT + 2 }, (_, index) => [
    makeSubmission(`t${index}`),
    { ...cancel, taskId: `t${index}` },
  ]).flat();
  const ended = foldAll(many);
  assert.is(ended.finished.size, FINISHED_KEPT);
  assert.not.ok(ended.finished.has('t1'));
  assert.is(ended.tasks.size, 0);
});

test('a repeated old quarantine record does not undo a newer one', () => {
  const state = foldAll([
    makeQuarantine('w', true, -1),
    makeQuarantine('w', false, 0),
    { ...makeQuarantine('w', true, -1), id: 'again' },
  ]);
  assert.is(state.workers.get('w')?.isQuarantined, false);
});

test('a quarantined worker may hold only one task at a time', () => {
  const state = foldAll([
    makeSubmission('t'),
    makeSubmission('u'),
    makeQuarantine('w', true, -1),
    makeLease('t'),
    makeLease('u'),
  ]);
  assert.is(state.tasks.get('t')?.lease?.offset, 3);
  assert.is(state.voids.get('l-u--1-w'), 'quarantined');
});

test('all totals are zero once every task has ended', () => {
  const records = Array.from({ length: 50 }, (_, index) => makeSubmission(`t${index}`));
  const leases = records.map((record) =>
    makeLease(record.taskId, { size: makeSize(0.1 + record.taskId.length * 0.3) }),
  );
  const ends = leases.map((lease, index) => makeOutcome(lease.taskId, 50 + index, 'succeeded'));
  const state = foldAll([...records, ...leases, ...ends]);
  const empty = createPlacementState();
  assert.ok(is(state.teams, empty.teams));
  assert.ok(is(state.workers, empty.workers));
  assert.ok(is(state.queues, empty.queues));
  assert.is(state.queued, 0);
});

test.run();
