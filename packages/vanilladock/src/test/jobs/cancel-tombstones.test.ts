/** Jobs that are cancelled before they are submitted, in the planner of their pool. */
import * as assert from 'uvu/assert';
import { suite } from 'uvu';
import { createCancelTombstones, MAX_TOMBSTONES } from '../../lib/jobs/cancel-tombstones.js';
import { createHarness, makeJob, POLICY, POOL } from './planner-harness.js';

/** Longer than a tombstone is kept. */
const EXPIRED_MS = 122_000;

const CANCELLED = { kind: 'refused', why: 'cancelled', retryAfterMs: undefined };

const test = suite('cancel tombstones');

const makeTombstone = (jobId: string, team?: string) => ({ jobId, team, cancelledAtMs: 1 });

/** Opens a planner, a function that stores what is due and tells the keys, and what is stored. */
const openPlanner = () => {
  const harness = createHarness();
  const stored = new Set<string>();
  const writeBatch = () => {
    const batch = harness.planner.takeStoreBatch();
    batch?.handleStored();
    batch?.records.forEach(({ key, value }) => {
      if (value === undefined) stored.delete(key);
      else stored.add(key);
    });
    return batch?.records.map(({ key, value }) => `${value === undefined ? '-' : '+'}${key}`);
  };
  return { ...harness, writeBatch, stored };
};

// Guards against a job that starts after its cancel was confirmed, as its submission arrives late.
test('a submission after the cancel of its job is refused, and nothing starts', () => {
  const { planner, at, writeBatch } = openPlanner();
  assert.is(planner.cancel('a', at(1)), 'recorded');
  assert.not(planner.isStored('a'), 'the cancel is not confirmed before it is stored');
  assert.equal(writeBatch(), [`+${POOL}:a:p`]);
  assert.ok(planner.isStored('a'));
  assert.equal(planner.submit(makeJob('a'), POLICY, at(2)), CANCELLED);
  assert.is(planner.table.jobs.size, 0);
  assert.is(planner.getJobStatus('a'), 'unknown', 'a job that nobody submitted is not shown');
});

test('a repeated cancel is recorded once', () => {
  const { planner, at, writeBatch } = openPlanner();
  planner.cancel('a', at(1));
  writeBatch();
  assert.is(planner.cancel('a', at(2)), 'recorded');
  assert.is(writeBatch(), undefined);
});

// Guards against a submission that starts right after a repeated cancel, as the first one has expired.
test('a repeated cancel is kept as long as the first one, and stored before it is confirmed', () => {
  const { planner, at, writeBatch } = openPlanner();
  planner.cancel('a', at(1));
  writeBatch();
  planner.cancel('a', at(119_000));
  assert.not(planner.isStored('a'));
  assert.equal(writeBatch(), [`+${POOL}:a:p`]);
  planner.plan(at(EXPIRED_MS));
  assert.equal(planner.submit(makeJob('a'), POLICY, at(EXPIRED_MS + 1)), CANCELLED);
});

// Guards against a tombstone that the planner after the next takes for expired.
test('the repeated cancel of a tombstone that was loaded late is stored anew', () => {
  const { planner, at, writeBatch } = openPlanner();
  const { wallMs } = at(0);
  planner.loadTombstone({ ...makeTombstone('a'), cancelledAtMs: wallMs - 100_000 }, at(0));
  planner.cancel('a', at(1));
  assert.equal(writeBatch(), [`+${POOL}:a:p`]);
});

test('a tombstone that the store refuses is written again', () => {
  const { planner, at, writeBatch } = openPlanner();
  planner.cancel('a', at(1));
  planner.dropUnstored(planner.takeStoreBatch()!);
  assert.not(planner.isStored('a'));
  assert.equal(writeBatch(), [`+${POOL}:a:p`]);
});

test('a tombstone is removed in the end, and one of the same id outlives the removal', () => {
  const { planner, at, writeBatch } = openPlanner();
  planner.cancel('a', at(1));
  writeBatch();
  planner.plan(at(EXPIRED_MS));
  planner.cancel('a', at(EXPIRED_MS + 1));
  assert.equal(writeBatch(), [`-${POOL}:a`, `-${POOL}:a:p`, `+${POOL}:a:p`]);
  assert.is(writeBatch(), undefined);
  planner.plan(at(2 * EXPIRED_MS + 2));
  assert.equal(writeBatch(), [`-${POOL}:a`, `-${POOL}:a:p`]);
  assert.equal(planner.submit(makeJob('a'), POLICY, at(2 * EXPIRED_MS + 3)), { kind: 'admitted' });
});

test('a tombstone that is not stored is not forgotten', () => {
  const tombstones = createCancelTombstones();
  tombstones.add(makeTombstone('a'), 0);
  assert.equal(tombstones.dropExpired(EXPIRED_MS, 1), []);
  tombstones.markStored(['a']);
  assert.equal(tombstones.dropExpired(EXPIRED_MS, 1), ['a']);
});

// Guards against a flood of cancels of unknown jobs that displaces those that were confirmed.
test('with too many tombstones a cancel is refused, and no earlier one is forgotten', () => {
  const tombstones = createCancelTombstones();
  for (let index = 0; index < MAX_TOMBSTONES; index += 1) {
    assert.is(tombstones.add(makeTombstone(`${index}`), 0), 'recorded');
  }
  assert.is(tombstones.add(makeTombstone('one more'), 0), 'refused');
  assert.is(tombstones.add(makeTombstone('0'), 0), 'recorded');
  assert.ok(tombstones.blocks('0', undefined));
  assert.not(tombstones.blocks('one more', undefined));
});

test('a team cannot keep another one from submitting a job, nor is its cancel confirmed', () => {
  const tombstones = createCancelTombstones();
  tombstones.add(makeTombstone('a', 'crew'), 0);
  assert.ok(tombstones.blocks('a', 'crew'));
  assert.not(tombstones.blocks('a', 'oven'));
  assert.is(tombstones.add(makeTombstone('a', 'oven'), 0), 'refused');
});

// Guards against an accepted job that its next planner takes for cancelled, as another team's id was.
test('a job has nothing stored of a tombstone that another team has left under its id', () => {
  const { planner, at, writeBatch, stored } = openPlanner();
  planner.cancel('a', at(1), { team: 'crew' });
  writeBatch();
  assert.equal(planner.submit(makeJob('a'), POLICY, at(2), { team: 'oven' }), { kind: 'admitted' });
  writeBatch();
  assert.equal([...stored], [`${POOL}:a`]);
  assert.ok(planner.isStored('a'));
});

// Guards against an accepted job whose records are removed with the tombstone of another team.
test('a job outlives the tombstone that another team has left under its id', () => {
  const { planner, at, writeBatch, stored } = openPlanner();
  planner.cancel('a', at(1), { team: 'crew' });
  writeBatch();
  planner.submit(makeJob('a'), POLICY, at(2), { team: 'oven' });
  writeBatch();
  planner.plan(at(EXPIRED_MS));
  writeBatch();
  assert.ok(stored.has(`${POOL}:a`));
});

test('a tombstone that the store refused is not stored beside the job of another team', () => {
  const { planner, at, writeBatch, stored } = openPlanner();
  planner.cancel('a', at(1), { team: 'crew' });
  const refused = planner.takeStoreBatch()!;
  planner.submit(makeJob('a'), POLICY, at(2), { team: 'oven' });
  planner.dropUnstored(refused);
  writeBatch();
  writeBatch();
  assert.equal([...stored], [`${POOL}:a`]);
});

test('the queues of tombstones count as queues of the pool', () => {
  const { planner, at } = openPlanner();
  planner.cancel('a', at(1), { queue: 'q' });
  assert.equal([...(planner.listQueues() ?? [])], ['q']);
  planner.cancel('b', at(1));
  assert.is(planner.listQueues(), undefined);
});

test.run();
