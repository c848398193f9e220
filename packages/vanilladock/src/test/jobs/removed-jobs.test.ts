/** Records of jobs that ended long ago are removed from the store. */
import * as assert from 'uvu/assert';
import { suite } from 'uvu';
import type { KeyedRecord } from '../../lib/ports/keyed-store.js';
import { CLOCK_TOLERANCE_MS } from '../../lib/jobs/make-job.js';
import { createHarness, makeJob, POLICY, POOL, WALL_MS } from './planner-harness.js';

/** How long the harness keeps the status of an ended job. */
const STATUS_MS = 60_000;

const test = suite('removed jobs');

/** Applies records to what is stored, as the store of a keyed topic does. */
const applyRecords = (stored: Map<string, string>, records: readonly KeyedRecord[]) =>
  records.forEach(({ key, value }) => {
    if (value === undefined) stored.delete(key);
    else stored.set(key, value);
  });

/** Opens a planner whose job `a` was cancelled and stored at 10 ms. */
const openCancelled = () => {
  const harness = createHarness();
  const stored = new Map<string, string>();
  const writeBatch = () => {
    const batch = harness.planner.takeStoreBatch();
    applyRecords(stored, batch?.records ?? []);
    batch?.handleStored();
    return batch;
  };
  const submit = (id: string, nowMs: number) =>
    harness.planner.submit(makeJob(id), POLICY, harness.at(nowMs));
  submit('a', 1);
  writeBatch();
  harness.planner.cancel('a', harness.at(10));
  writeBatch();
  harness.planner.plan(harness.at(20));
  return { ...harness, stored, writeBatch, submit };
};

// Guards against a store that fills up, and a successor that runs out of memory.
test('the records of a job are removed once its state is no longer given', () => {
  const { planner, at, stored, writeBatch } = openCancelled();
  assert.equal([...stored.keys()], [`${POOL}:a`, `${POOL}:a:p`]);
  planner.plan(at(STATUS_MS));
  assert.is(planner.getJobStatus('a'), 'cancelled');
  assert.is(writeBatch(), undefined);
  planner.plan(at(STATUS_MS + 1_100));
  assert.is(planner.getJobStatus('a'), 'unknown');
  writeBatch();
  assert.equal([...stored.keys()], []);
  assert.is(writeBatch(), undefined);
});

// Guards against a 410 within `status_s` of an end that a store that was away has kept from callers.
test('the time for which the state of a job is given begins when it can be given', () => {
  const { planner, at, store, submit } = createHarness();
  submit(makeJob('a'), 1);
  planner.cancel('a', at(10));
  planner.plan(at(20));
  planner.dropUnstored(planner.takeStoreBatch()!);
  assert.is(planner.getJobStatus('a'), 'queued');
  store();
  planner.plan(at(STATUS_MS / 2));
  planner.plan(at(STATUS_MS + 1_100));
  assert.is(planner.getJobStatus('a'), 'cancelled');
  planner.plan(at(1.5 * STATUS_MS + 1_100));
  assert.is(planner.getJobStatus('a'), 'unknown');
});

test('a removal that the store refuses is tried again', () => {
  const { planner, at, stored, writeBatch } = openCancelled();
  planner.plan(at(STATUS_MS + 1_100));
  planner.dropUnstored(planner.takeStoreBatch()!);
  assert.is(stored.size, 2);
  writeBatch();
  assert.is(stored.size, 0);
});

// Guards against a job that its next planner takes for ended, as that of before under its id.
test('a new job under the id of a removed one keeps nothing of it', () => {
  const { planner, at, stored, writeBatch, submit } = openCancelled();
  planner.plan(at(STATUS_MS + 1_100));
  submit('a', STATUS_MS + 1_200);
  writeBatch();
  assert.equal([...stored.keys()], [`${POOL}:a`]);
});

test('many removals are spread over several writes', () => {
  const { planner, writeBatch } = openCancelled();
  planner.removeStored(Array.from({ length: 1_200 }, (_, index) => `old${index}`));
  assert.equal(
    [writeBatch(), writeBatch(), writeBatch(), writeBatch()].map((batch) => batch?.records.length),
    [1_000, 1_000, 400, undefined],
  );
});

/** Opens a successor that is told, by its own clock, how long ago the job `a` has ended. */
const openSuccessor = (endedAgoMs: number) => {
  const successor = createHarness({ runBase: 100 });
  const record = { spec: makeJob('a'), policy: POLICY, acceptedAtMs: WALL_MS };
  const progress = {
    phase: 'cancelled' as const,
    done: new Set<string>(),
    failedRuns: new Map(),
    crashes: new Map(),
    occurrencesDone: new Set<number>(),
    endedAtMs: WALL_MS - endedAgoMs,
  };
  successor.planner.loadJob(record, progress, successor.at(0));
  return successor;
};

test('a successor goes on to count the time since the end of a job', () => {
  const { stored } = openCancelled();
  const text = stored.get(`${POOL}:a:p`)!;
  assert.is((JSON.parse(text) as { readonly endedAtMs: number }).endedAtMs, WALL_MS + 10);
  const { planner, at } = openSuccessor(STATUS_MS / 2 + CLOCK_TOLERANCE_MS);
  planner.plan(at(STATUS_MS / 2 - 100));
  assert.is(planner.getJobStatus('a'), 'cancelled');
  planner.plan(at(STATUS_MS / 2 + 1_100));
  assert.is(planner.getJobStatus('a'), 'unknown');
});

// Guards against a 410 within `status_s`, and a repeated submission that is taken for a new job.
test('a successor whose clock is ahead does not forget a job that has just ended', () => {
  const { planner, at } = openSuccessor(CLOCK_TOLERANCE_MS);
  planner.plan(at(STATUS_MS - 100));
  assert.is(planner.getJobStatus('a'), 'cancelled');
  assert.is(planner.submit(makeJob('a'), POLICY, at(STATUS_MS - 90)), 'known');
  planner.plan(at(STATUS_MS + 1_100));
  assert.is(planner.getJobStatus('a'), 'unknown');
});

test.run();
