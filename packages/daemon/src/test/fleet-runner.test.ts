/** Rounds of the fleet duties on the product's own interface. */
import FakeTimers from '@sinonjs/fake-timers';
import { Subject } from 'rxjs';
import { createFleetState, type StoredRecord } from 'vanilladock';
import * as assert from 'uvu/assert';
import { suite } from 'uvu';
import { startFleetRunner, type FleetRunnerOptions } from '../lib/fleet/runner.js';
import type { LogFields } from '../lib/json-log.js';

const test = suite('fleet runner');

const ROUND_MS = 1_000;

test('one round that fails does not end all later rounds', async () => {
  const clock = FakeTimers.install();
  const events: LogFields[] = [];
  const record = (fields: LogFields) => void events.push(fields);
  let refreshCount = 0;
  const options = {
    entryId: 'entry-1',
    store: { getState: createFleetState, records$: new Subject<StoredRecord>() },
    appender: { append: () => Promise.reject(new Error('not expected')) },
    duties: { getFence: () => undefined },
    getList: () => ({ instances: [], requestedAtMs: 0 }),
    pools: {},
    work: {
      refresh: () => {
        refreshCount += 1;
        return Promise.reject(new Error('planted'));
      },
      getCounts: () => new Map(),
    },
    log: { info: record, warn: record, error: record },
    times: { roundMs: ROUND_MS, lostAfterMs: 1, settleMs: 1 },
  } as unknown as FleetRunnerOptions;
  startFleetRunner(options);
  await clock.tickAsync(3 * ROUND_MS);
  clock.uninstall();
  assert.is(refreshCount, 3);
  assert.equal(events[0], { event: 'round-failed', duty: 'fleet', reason: 'Error: planted' });
});

test.run();
