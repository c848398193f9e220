/** Lasting tasks while instances are stopped one after the other, in a simulation of them. */
import * as assert from 'uvu/assert';
import { suite } from 'uvu';
import {
  listFaults,
  listSeriesInTurn,
  listSeriesOfRounds,
  listSeriesTogether,
  listSeriesWithRestarts,
} from './stop-series.js';

const test = suite('stops in series');

// Guards against a chain of planners that each wait anew for what the one before it had waited for.
test('lasting tasks run again within 9 s while instances are stopped one after the other', async () => {
  assert.equal(await listFaults(listSeriesInTurn(false)), []);
});

// Guards against the same chain where the instances are stopped in two rounds at a time.
test('lasting tasks run again within 9 s while all instances are stopped in turn', async () => {
  assert.equal(await listFaults(listSeriesOfRounds(false)), []);
});

// Guards against waits that begin anew because nobody can ask the planner that has gone.
test('lasting tasks run again within 9 s while all instances are stopped at once', async () => {
  assert.equal(await listFaults(listSeriesTogether(false)), []);
});

// Guards against restarted workers that get no tasks as each planner takes their leases for long anew.
test('lasting tasks run again within 9 s while workers restart beside a series of stops', async () => {
  assert.equal(await listFaults(listSeriesWithRestarts()), []);
});

test.run();
