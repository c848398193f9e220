/** Lasting tasks while instances are stopped in series and one worker answers no calls. */
import * as assert from 'uvu/assert';
import { suite } from 'uvu';
import {
  listFaults,
  listSeriesInTurn,
  listSeriesOfRounds,
  listSeriesTogether,
} from './stop-series.js';

const test = suite('stops with a silent worker');

// Guards against one worker without answers that keeps the tasks of all others waiting.
test('lasting tasks of other workers run again within 9 s while one answers no calls', async () => {
  const series = [...listSeriesInTurn(true), ...listSeriesOfRounds(true)];
  assert.equal(await listFaults(new Map(series)), []);
});

// Guards against waits that begin anew because nobody can ask the planner that has gone.
test('lasting tasks of other workers run again within 9 s while all instances are stopped at once', async () => {
  assert.equal(await listFaults(listSeriesTogether(true)), []);
});

test.run();
