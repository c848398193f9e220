/** An incarnation has ended when the fleet's list shows it, not when an order was done. */
import * as assert from 'uvu/assert';
import { suite } from 'uvu';
import type { FleetInstance } from 'vanilladock/lib/ports/fleet.js';
import { createIncarnationEnds } from '../lib/jobs/incarnation-ends.js';
import type { JobRequest } from '../lib/jobs/job-request.js';

const INSTANCE: FleetInstance = {
  id: 'm-1',
  pool: 'stalls',
  state: 'up',
  dataCentre: 'hobart',
  labels: [],
  cores: 4,
  workerId: 'w-1',
};

const test = suite('incarnation ends');

const listNotifications = (listed: FleetInstance | undefined) => {
  const requests: JobRequest[] = [];
  const ends = createIncarnationEnds({
    answerOnce: (request) => {
      requests.push(request);
      return Promise.resolve({ kind: 'accepted' });
    },
  });
  ends.add(INSTANCE);
  ends.handleList(new Map(listed === undefined ? [] : [[listed.id, listed]]));
  ends.handleList(new Map());
  return requests;
};

test('an order answered as done for an earlier one ends no incarnation', () => {
  assert.equal(listNotifications(INSTANCE), []);
});

test('an incarnation has ended when its instance is not up, has a new worker or is gone', () => {
  const end = [{ kind: 'life-ended', pool: 'stalls', workerId: 'w-1' }];
  assert.equal(listNotifications({ ...INSTANCE, state: 'maintenance', workerId: undefined }), end);
  assert.equal(listNotifications({ ...INSTANCE, workerId: 'w-2' }), end);
  assert.equal(listNotifications(undefined), end);
});

test('an instance without a worker has no incarnation to end', () => {
  let requestCount = 0;
  const ends = createIncarnationEnds({
    answerOnce: () => {
      requestCount += 1;
      return Promise.resolve({ kind: 'accepted' });
    },
  });
  ends.add({ ...INSTANCE, workerId: undefined });
  ends.handleList(new Map());
  assert.is(requestCount, 0);
});

test.run();
