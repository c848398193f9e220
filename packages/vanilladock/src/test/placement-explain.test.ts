/** Tests for task explanations and learned sizes. */
import * as assert from 'uvu/assert';
import { suite } from 'uvu';
import { explainTask } from '../lib/placement/explain.js';
import { observeUsage, SAMPLES_KEPT, UNKNOWN_KIND } from '../lib/placement/learn-sizes.js';
import type { PoolView } from '../lib/placement/plan-input.js';
import type { PlacementState } from '../lib/placement/state.js';
import {
  foldAll,
  makeLease,
  makeOutcome,
  makeRules,
  makeSize,
  makeSubmission,
} from './placement-fixtures.js';

const location = { region: 'r', dataCentre: 'd', rack: 'k' };

const POOL: PoolView = {
  name: 'p',
  workers: [{ id: 'w', location, capacity: makeSize(4), isOpen: true }],
  urgentReserveShare: 0,
  taskLeaseMs: 30_000,
};

const explain = (state: PlacementState, quotaCores = 100) =>
  explainTask(state, 't', makeRules(quotaCores), new Map([['p', POOL]]));

const test = suite('placement explain');

test('a task is explained as unknown, leased or finished', () => {
  assert.is(explain(foldAll([])).kind, 'unknown');
  const leased = foldAll([makeSubmission('t'), makeLease('t')]);
  const explanation = explain(leased);
  assert.is(explanation.kind === 'leased' && explanation.workerId, 'w');
  const ended = explain(foldAll([makeOutcome('t', 1, 'succeeded')], makeRules(100), leased, 2));
  assert.is(ended.kind === 'finished' && ended.verdict, 'ran');
});

test('the explanation of a queued task names what it waits for', () => {
  const explainReason = (state: PlacementState, quotaCores?: number): string => {
    const explanation = explain(state, quotaCores);
    return explanation.kind === 'waiting' ? explanation.reason : explanation.kind;
  };
  const waiting = makeSubmission('t');
  assert.match(explainReason(foldAll([waiting])), 'it is due');
  const busy = foldAll([waiting, makeSubmission('u'), makeLease('u', { size: makeSize(3) })]);
  assert.match(explainReason(busy), 'no worker of pool p has room');
  assert.match(explainReason(busy, 4), 'holds 3 of its 4 cores');
  const large = foldAll([makeSubmission('t', { declared: makeSize(9) })]);
  assert.match(explainReason(large), 'can ever hold it');
});

test('learned sizes follow the upper samples, drop old ones and grow at the limit', () => {
  const observe = (cores: readonly number[]) =>
    cores.reduce((kind, used) => observeUsage(kind, makeSize(used), makeSize(100)), UNKNOWN_KIND);
  assert.is(observe([1, 1]).estimate, undefined);
  assert.is(observe([1, 1, 1, 5]).estimate?.cores, 5.5);
  const settled = observe([50, ...Array.from({ length: SAMPLES_KEPT }, () => 1)]);
  assert.is(settled.estimate?.cores, 1.1);
  const limited = [1, 2, 3].reduce(
    (kind) => observeUsage(kind, makeSize(1), makeSize(1)),
    UNKNOWN_KIND,
  );
  assert.is(limited.estimate?.cores, 4.4);
});

test.run();
