/** Every order of events between an older and a newer owner of a pool, within the model's bounds. */
import * as assert from 'uvu/assert';
import { suite } from 'uvu';
import { runOwnershipModel, type Guard } from './duties-ownership-model.js';

const GUARDS: readonly Guard[] = ['authority', 'succession', 'leases', 'fence', 'late'];

const test = suite('ownership model');

// Guards against a task that runs twice, at an older and a newer owner's workers.
test('no order of events runs a task twice', () => {
  const { fault, states } = runOwnershipModel();
  assert.is(fault?.join(', '), undefined);
  assert.ok(states > 10_000, `${states} states`);
});

GUARDS.forEach((guard) =>
  test(`without ${guard} the model finds a task that runs twice`, () => {
    assert.ok(runOwnershipModel(guard).fault !== undefined);
  }),
);

test.run();
