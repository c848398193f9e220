/** Exhaustive search of the hand-over of a pool from an older to a newer owner. */
import * as assert from 'uvu/assert';
import { suite } from 'uvu';
import { runOwnershipModel, type Guard } from './duties-ownership-model.js';

const GUARDS: readonly Guard[] = ['authority', 'succession', 'leases', 'fence', 'late'];

const test = suite('ownership model');

// Guards against running a task twice, once for the older owner and once for the newer one.
test('no order of events runs a task twice', () => {
  const { fault, states } = runOwnershipModel();
  assert.is(fault?.join(', '), undefined);
  assert.ok(states > 10_000, `${states} states`);
});

GUARDS.forEach((guard) =>
  test(`without the guard ${guard}, the model finds a task that runs twice`, () => {
    assert.ok(runOwnershipModel(guard).fault !== undefined);
  }),
);

test.run();
