/**
 * Breadth-first search over a small model of moves and permits, with two racing planners and an
 * entry that routes requests. The search visits every interleaving within its bounds. To show that
 * the checks are effective, it must find a fault when the fence, the barrier or the budget is
 * omitted.
 */
import * as assert from 'uvu/assert';
import { suite } from 'uvu';
import {
  appendClaimsOf,
  createModel,
  appendJoinOf,
  LEASE_MS,
  appendPermitOf,
  readEntry,
  readPlanner,
  appendReleaseOf,
  sendAcknowledgement,
  type Model,
  type Omission,
} from './fleet-model.js';
import { findFault } from './fleet-model-checks.js';

const test = suite('fleet-model');
const PLANNERS = [0, 1];
const DEPTH = 8;
const RECORDS = 5;
const POOL_SIZE = 3;

type Step = (model: Model) => Model;

const listMoveSteps = (omission: Omission): readonly Step[] => [
  ...PLANNERS.flatMap((index): readonly Step[] => [
    (model) => readPlanner(model, index),
    (model) => appendClaimsOf(model, index),
    (model) => appendReleaseOf(model, index, [`a-${index}`, 'b'], omission),
    (model) => appendJoinOf(model, index, omission),
  ]),
  (model) => sendAcknowledgement(model, 0),
  (model) => readEntry(model, 0),
  (model) => ({ ...model, nowMs: model.nowMs + LEASE_MS / 2 }),
];

const listPermitSteps = (omission: Omission): readonly Step[] =>
  PLANNERS.flatMap((index): readonly Step[] => [
    (model) => readPlanner(model, index),
    (model) => appendClaimsOf(model, index),
    (model) => appendPermitOf(model, index, `a-${index}`, omission),
    (model) => appendPermitOf(model, index, 'a-2', omission),
    (model) => appendReleaseOf(model, index, ['a-1', 'b'], omission),
  ]);

/** Makes a key that is equal for models with the same possible continuations. */
const makeKey = (model: Model, base: number): string =>
  JSON.stringify([
    model.records.slice(base).map((record) => ({ ...record, id: 0 })),
    model.planners,
    model.entries,
    model.nowMs,
  ]);

/** Visits all states within the bounds; returns their number and the first fault. */
const runSearch = (steps: readonly Step[]) => {
  const first = createModel(2, 1, POOL_SIZE);
  const base = first.records.length;
  const seen = new Set([makeKey(first, base)]);
  let level: readonly Model[] = [first];
  for (let depth = 0; depth < DEPTH; depth += 1) {
    const next: Model[] = [];
    for (const model of level) {
      for (const apply of steps) {
        const after = apply(model);
        const key = after === model ? '' : makeKey(after, base);
        if (after !== model && after.records.length - base <= RECORDS && !seen.has(key)) {
          seen.add(key);
          const fault = findFault(after);
          if (fault !== undefined) return { states: seen.size, fault };
          next.push(after);
        }
      }
    }
    level = next;
  }
  return { states: seen.size, fault: undefined };
};

test('no interleaving of moves puts an instance into two pools or leaves a pool too small', () => {
  const { states, fault } = runSearch(listMoveSteps('nothing'));
  process.stdout.write(`moves: ${states} states\n`);
  assert.is(fault, undefined);
  assert.ok(states > 10_000, `only ${states} states`);
});

test('without the barrier the search finds an instance routed to as a member of two pools', () => {
  const { fault } = runSearch(listMoveSteps('barrier'));
  assert.match(fault ?? '', 'is routed to as a member of two pools');
});

test('without the fence the search finds two planners that together leave a pool too small', () => {
  const { fault } = runSearch(listMoveSteps('fence'));
  assert.is(fault, 'pool a has too few instances left');
});

test('no interleaving of permits and a move exceeds a budget', () => {
  const { states, fault } = runSearch(listPermitSteps('nothing'));
  process.stdout.write(`permits: ${states} states\n`);
  assert.is(fault, undefined);
  assert.ok(states > 1000, `only ${states} states`);
});

test('without the budget check in the fold the search finds planners that exceed it', () => {
  const { fault } = runSearch(listPermitSteps('budget'));
  assert.is(fault, 'the budget of a is exceeded');
});

test.run();
