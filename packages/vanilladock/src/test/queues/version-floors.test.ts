/** Tests of the versions below which a pool takes no submissions of a queue. */
import * as assert from 'uvu/assert';
import { suite } from 'uvu';
import { addFloor, getFloor, NO_FLOORS } from '../../lib/queues/version-floors.js';

const test = suite('version floors');

test('a floor is of one queue and never falls', () => {
  const floors = addFloor(addFloor(NO_FLOORS, 'a', 8), 'b', 3);
  assert.is(getFloor(floors, 'a'), 8);
  assert.is(getFloor(floors, 'b'), 3);
  assert.is(getFloor(floors, 'c'), -1);
  assert.is(addFloor(floors, 'a', 7), floors);
  assert.is(getFloor(addFloor(floors, 'a', 9), 'a'), 9);
  assert.is(getFloor(floors, '__proto__'), -1);
});

test('the floors of many queues are bounded, and none of them falls by that', () => {
  let floors = NO_FLOORS;
  for (let number = 0; number < 1_000; number += 1) floors = addFloor(floors, `q${number}`, number);
  assert.is(Object.keys(floors.byQueue).length, 256);
  for (let number = 0; number < 1_000; number += 1) {
    assert.ok(getFloor(floors, `q${number}`) >= number);
  }
});

test.run();
