/** Order in which connections are read that have to wait for it. */
import * as assert from 'uvu/assert';
import { suite } from 'uvu';
import { createReadingQueue, type ReadingQueue } from '../lib/reading-queue.js';

const test = suite('reading queue');

const CROWD = 1_500;

/** Takes connections until one is out of the queue, each reading being long; resolves to their count. */
const countReadings = (queue: ReadingQueue<string>, awaited: string): number => {
  let readings = 0;
  while (queue.has(awaited)) {
    readings += queue.takeNext().length;
    queue.observeLongRead();
  }
  return readings;
};

/** Makes a queue of a crowd that was never read. */
const createCrowd = (): ReadingQueue<string> => {
  const queue = createReadingQueue<string>();
  for (let index = 0; index < CROWD; index += 1) queue.add(`crowd-${index}`, 'new');
  return queue;
};

// Guards against ordinary callers that wait until a whole crowd has been read.
test('a caller that comes after a crowd is read among the next ones', () => {
  const queue = createCrowd();
  queue.add('caller', 'new');
  assert.ok(countReadings(queue, 'caller') <= 3);
});

test('a caller whose connection was open before a crowd is read among the next ones', () => {
  const queue = createCrowd();
  queue.add('caller', 'light');
  assert.ok(countReadings(queue, 'caller') <= 3);
});

test('a connection that has waited longest is read although newer ones keep coming', () => {
  const queue = createReadingQueue<string>();
  queue.add('caller', 'new');
  let readings = 0;
  while (queue.has('caller')) {
    queue.add(`newer-${readings}`, 'new');
    queue.takeNext();
    queue.observeLongRead();
    readings += 1;
  }
  assert.ok(readings <= 3, `${readings} readings`);
});

// Guards against a connection that had many calls once and is not read while others keep coming.
test('a connection that has taken long is read although new ones keep coming', () => {
  const queue = createReadingQueue<string>();
  queue.add('heavy', 'heavy');
  let turns = 0;
  for (; queue.has('heavy') && turns < CROWD; turns += 1) {
    for (let index = 0; index < 40; index += 1) queue.add(`new-${turns}-${index}`, 'new');
    queue.takeNext();
  }
  assert.ok(turns <= 8, `${turns} turns`);
});

test('connections that have taken long come last and one by one', () => {
  const queue = createReadingQueue<string>();
  queue.add('heavy-1', 'heavy');
  queue.add('heavy-2', 'heavy');
  queue.add('light', 'light');
  queue.add('new', 'new');
  const taken = Array.from({ length: 4 }, queue.takeNext).map((items) => [...items].sort());
  assert.equal(taken, [['light'], ['new'], ['heavy-1'], ['heavy-2']]);
  assert.equal(queue.takeNext(), []);
});

test('more are read at once while no reading takes long', () => {
  const queue = createCrowd();
  const counts = Array.from({ length: 7 }, () => queue.takeNext().length);
  queue.observeLongRead();
  assert.equal([...counts, queue.takeNext().length], [1, 2, 4, 8, 16, 32, 32, 1]);
});

test('the first to close is heavy, then never read, then the one that has waited longest', () => {
  const queue = createReadingQueue<string>();
  queue.add('light', 'light');
  queue.add('new-1', 'new');
  queue.add('new-2', 'new');
  queue.add('heavy', 'heavy');
  assert.equal([queue.count(), queue.countUnproved()], [4, 3]);
  assert.is(queue.findFirstToClose('heavy'), 'new-1');
  const order: (string | undefined)[] = [];
  while (queue.count() > 0) {
    const item = queue.findFirstToClose();
    order.push(item);
    queue.remove(item!);
  }
  assert.equal(order, ['heavy', 'new-1', 'new-2', 'light']);
  assert.is(queue.findFirstToClose(), undefined);
});

test.run();
