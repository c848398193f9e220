/** Tests of the records of the pools in which jobs of a queue may live. */
import * as assert from 'uvu/assert';
import { suite } from 'uvu';
import type { KeyedRecord } from '../../lib/ports/keyed-store.js';
import {
  foldHomes,
  listPools,
  makeQueueName,
  makeRemoval,
  NO_HOMES,
  planHomes,
  type QueueHomes,
} from '../../lib/queues/queue-homes.js';

const QUEUE = 'pule25.example/tray/';

const test = suite('queue homes');

const fold = (homes: QueueHomes, records: readonly KeyedRecord[]) => {
  const unusable: string[] = [];
  const folded = foldHomes(homes, records, (key) => void unusable.push(key));
  assert.equal(unusable, []);
  return folded;
};

/** Records a version that sends the queue to a pool, or drops the queue. */
const recordVersion = (homes: QueueHomes, version: number, pool: string | undefined) => {
  const targets = new Map(pool === undefined ? [] : [[QUEUE, pool]]);
  const plan = planHomes(homes, version, targets);
  return plan.kind === 'record' ? fold(homes, plan.records) : homes;
};

test('a queue is known by host and path, whatever its route is called', () => {
  assert.is(makeQueueName({ host: 'pule25.example', pathPrefix: '/tray/' }), QUEUE);
});

test('a queue that is sent elsewhere keeps its former pools, and returns to one of them', () => {
  const first = recordVersion(NO_HOMES, 7, 'stalls');
  const second = recordVersion(first, 8, 'kilns');
  assert.equal(listPools(second, QUEUE), ['stalls', 'kilns']);
  const dropped = recordVersion(second, 9, undefined);
  assert.equal(listPools(dropped, QUEUE), ['stalls', 'kilns'], 'while no route leads to it');
  const third = recordVersion(dropped, 12, 'stalls');
  assert.equal(listPools(third, QUEUE), ['kilns', 'stalls']);
});

test('a version marks itself even if it moves no queue, and an older one is superseded', () => {
  const homes = recordVersion(recordVersion(NO_HOMES, 7, 'stalls'), 9, 'stalls');
  assert.is(homes.version, 9);
  assert.is(planHomes(homes, 9, new Map([[QUEUE, 'stalls']])).kind, 'recorded');
  assert.is(planHomes(homes, 8, new Map([[QUEUE, 'kilns']])).kind, 'superseded');
});

test('a pool that is left is dropped, and so is the record of a queue without pools', () => {
  const moved = recordVersion(recordVersion(NO_HOMES, 7, 'stalls'), 8, 'kilns');
  const left = fold(moved, [makeRemoval(moved, QUEUE, 'stalls')]);
  assert.equal(listPools(left, QUEUE), ['kilns']);
  const removal = makeRemoval(left, QUEUE, 'kilns');
  assert.is(removal.value, undefined);
  assert.is(fold(left, [removal]).homes.size, 0);
  assert.ok(removal.key.length < 64, 'the key of a queue with a long name is short');
});

test('records that cannot be read are reported and have no effect', () => {
  const keys: string[] = [];
  const records = [
    { key: 'version', value: '{"version":"8"}' },
    { key: 'queue/1', value: '{' },
    { key: 'queue/2', value: '{"queue":"a","pools":"b"}' },
    { key: 'other', value: '{}' },
  ];
  const homes = foldHomes(NO_HOMES, records, (key) => void keys.push(key));
  assert.equal(keys, ['version', 'queue/1', 'queue/2', 'other']);
  assert.is(homes.version, -1);
  assert.is(homes.homes.size, 0);
});

test.run();
