/** Tests of the quarantine of workers that fail tasks, and of the way out of it. */
import * as assert from 'uvu/assert';
import { suite } from 'uvu';
import { createPlanner } from '../lib/placement/plan.js';
import type { PlacementRecord } from '../lib/placement/records.js';
import {
  foldAll,
  makeLease,
  makeOutcome,
  makeQuarantine,
  makeRules,
  makeSubmission,
} from './placement-fixtures.js';
import { makePool, makeReports, makeInput, listGrants } from './placement-plan-scene.js';

const test = suite('placement quarantine');

/** Builds successes of two kinds on worker `good`, then failures of both on worker `a`. */
const buildFailures = (hasSuccesses: boolean): PlacementRecord[] => {
  const kinds = ['kiln', 'price', 'kiln', 'price', 'kiln', 'price'];
  const run = (from: number, workerId: string, result: 'succeeded' | 'failed') =>
    kinds.flatMap((taskKind, index) => [
      makeSubmission(`${workerId}${index}`, { taskKind }),
      makeLease(`${workerId}${index}`, { workerId }),
      makeOutcome(`${workerId}${index}`, from + index * 3 + 1, result),
    ]);
  const failures = run(hasSuccesses ? 18 : 0, 'a', 'failed');
  return hasSuccesses ? [...run(0, 'good', 'succeeded'), ...failures] : failures;
};

test('a worker that fails task kinds that succeed elsewhere is quarantined', () => {
  const state = foldAll(buildFailures(true));
  const decision = createPlanner('e')
    .plan(makeInput(state))
    .find((candidate) => candidate.kind === 'quarantine');
  assert.is(decision?.kind === 'quarantine' && decision.record.workerId, 'a');
  const quarantined = foldAll([makeQuarantine('a', true, -1)], makeRules(100), state, 50);
  const grants = listGrants(
    createPlanner('e').plan(
      makeInput(foldAll([makeSubmission('t')], makeRules(100), quarantined, 51)),
    ),
  );
  assert.ok(grants.every(({ workerId }) => workerId !== 'a'));
});

test('a worker is not quarantined for task kinds that fail everywhere', () => {
  const decisions = createPlanner('e').plan(makeInput(foldAll(buildFailures(false))));
  assert.not.ok(decisions.some((decision) => decision.kind === 'quarantine'));
});

test('a quarantined worker is probed with one task and readmitted when it passes', () => {
  const start = foldAll([...buildFailures(true), makeQuarantine('a', true, -1)]);
  const proofs = [0, 1, 2].flatMap((index) => [
    makeSubmission(`f${index}`, { taskKind: 'fine' }),
    makeLease(`f${index}`, { workerId: 'good' }),
    makeOutcome(`f${index}`, 41 + index * 3, 'succeeded'),
  ]);
  const waiting = makeSubmission('t', { taskKind: 'fine' });
  const state = foldAll([...proofs, waiting], makeRules(100), start, 40);
  const planner = createPlanner('e');
  const pools = [makePool(['a'])];
  const plan = (nowMs: number) =>
    planner.plan(makeInput(state, { pools, nowMs, reports: makeReports(['a'], nowMs) }));
  assert.is(listGrants(plan(1_000)).length, 0);
  assert.is(listGrants(plan(11 * 60_000))[0]?.workerId, 'a');
  const passed = foldAll(
    [makeLease('t', { workerId: 'a' }), makeOutcome('t', 50, 'succeeded')],
    makeRules(100),
    state,
    50,
  );
  const nowMs = 12 * 60_000;
  const input = makeInput(passed, { pools, nowMs, reports: makeReports(['a'], nowMs) });
  const back = planner.plan(input).find((decision) => decision.kind === 'quarantine');
  assert.is(back?.kind === 'quarantine' && back.record.isQuarantined, false);
});

test.run();
