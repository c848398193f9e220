/** A life is over when the fleet's list shows so, not when an order is answered as done. */
import * as assert from 'uvu/assert';
import { suite } from 'uvu';
import type { FleetInstance } from 'vanilladock/lib/ports/fleet.js';
import { createLifeEnds } from '../lib/jobs/life-ends.js';
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

const test = suite('life ends');

const listTold = (found: FleetInstance | undefined) => {
  const told: JobRequest[] = [];
  const ends = createLifeEnds({
    answerOnce: (request) => {
      told.push(request);
      return Promise.resolve({ kind: 'accepted' });
    },
  });
  ends.add(INSTANCE);
  ends.handleList(new Map(found === undefined ? [] : [[found.id, found]]));
  ends.handleList(new Map());
  return told;
};

test('an order that an earlier one had done already ends no life', () => {
  assert.equal(listTold(INSTANCE), []);
});

test('a life is over when its instance is away, has another worker, or is gone', () => {
  const end = [{ kind: 'life-ended', pool: 'stalls', workerId: 'w-1' }];
  assert.equal(listTold({ ...INSTANCE, state: 'maintenance', workerId: undefined }), end);
  assert.equal(listTold({ ...INSTANCE, workerId: 'w-2' }), end);
  assert.equal(listTold(undefined), end);
});

test('an instance without a worker has no life to end', () => {
  let told = 0;
  const ends = createLifeEnds({
    answerOnce: () => {
      told += 1;
      return Promise.resolve({ kind: 'accepted' });
    },
  });
  ends.add({ ...INSTANCE, workerId: undefined });
  ends.handleList(new Map());
  assert.is(told, 0);
});

test.run();
