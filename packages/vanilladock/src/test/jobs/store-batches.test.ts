/** Tests that what a planner stores at once fits into one call to the store. */
import * as assert from 'uvu/assert';
import { suite } from 'uvu';
import type { StoreBatch } from '../../lib/jobs/store-queue.js';
import { createHarness, makeEnd, makeEntry, makeJob, POLICY } from './planner-harness.js';

/** Most that the store takes in a call. */
const CALL_BYTES = 2_097_152;

const JOBS = 600;

const test = suite('store batches');

const countBytes = ({ records }: StoreBatch) =>
  records.reduce((sum, { key, value = '' }) => sum + Buffer.byteLength(key + value), 0);

/** Opens a planner that has noted the end of a stored job, and has more to store than fits. */
const openFull = () => {
  const harness = createHarness();
  const { planner, at } = harness;
  harness.addWorkers(0, makeEntry('w1'));
  for (let index = 0; index < JOBS; index += 1) {
    const spec = makeJob(`new${index}`, undefined, { payload: 'p'.repeat(4_000) });
    planner.submit(spec, { ...POLICY, stretch: 1_000_000 }, at(1));
  }
  return harness;
};

// Guards against a pool that stores nothing any more, as the store refuses each call as too large.
test('much that is due at once is stored in several calls', () => {
  const { planner } = openFull();
  const stored = new Set<string>();
  for (let batch = planner.takeStoreBatch(); batch; batch = planner.takeStoreBatch()) {
    assert.ok(countBytes(batch) < CALL_BYTES, `${countBytes(batch)} bytes`);
    batch.newJobs.forEach((id) => stored.add(id));
    batch.handleStored();
  }
  assert.is(stored.size, JOBS);
});

// Guards against an end that its worker forgets before it is stored.
test('ends count as stored only with all that they have changed', () => {
  const { planner, at, report } = openFull();
  const last = `new${JOBS - 1}`;
  report('w1', 2, [], [makeEnd(1, `${last}.0.0.0`, 1, 'failed')]);
  const first = planner.takeStoreBatch()!;
  assert.not(first.jobIds.includes(last));
  first.handleStored();
  assert.is(planner.table.workers.get('w1')!.storedEnd, 0);
  for (let batch = planner.takeStoreBatch(); batch; batch = planner.takeStoreBatch()) {
    batch.handleStored();
  }
  assert.is(planner.table.workers.get('w1')!.storedEnd, 1);
  planner.plan(at(10));
});

test.run();
