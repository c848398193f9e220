/** The fleet duty goes on when a round of it fails. */
import { install } from '@sinonjs/fake-timers';
import { BehaviorSubject } from 'rxjs';
import * as assert from 'uvu/assert';
import { suite } from 'uvu';
import { startFleetRunner, type FleetRunnerOptions } from '../lib/jobs/fleet-runner.js';
import type { LogFields } from '../lib/json-log.js';
import { createMemoryStore } from './memory-store.js';

const test = suite('fleet duty');

test('one round that fails ends the fleet duty of an instance that keeps its claim', async () => {
  const clock = install({ now: 0 });
  const events: LogFields[] = [];
  const record = (fields: LogFields) => void events.push(fields);
  let listCount = 0;
  const runner = startFleetRunner({
    store: createMemoryStore().store,
    fleet: {
      listInstances: () => {
        listCount += 1;
        return listCount === 1 ? Promise.reject(new Error('planted')) : Promise.resolve([]);
      },
    },
    config: new BehaviorSubject(undefined),
    waves: new BehaviorSubject(new Map()),
    holderGapMs: 0,
    fleetOrdersPerSecond: 100,
    log: { info: record, warn: record, error: record },
    claim: { duty: 'fleet', holder: 'a', token: 1 },
    holder: 'a',
    gateway: {},
    handleLost: () => {},
  } as unknown as FleetRunnerOptions);
  await clock.tickAsync(3_000);
  runner.stop();
  clock.uninstall();
  assert.ok(listCount > 2);
  assert.equal(events[0], { event: 'round-failed', duty: 'fleet', reason: 'Error: planted' });
});

test.run();
