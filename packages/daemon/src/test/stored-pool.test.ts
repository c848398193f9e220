/** What a planner keeps of the stored jobs of its pool, in whatever order they are read. */
import * as assert from 'uvu/assert';
import { suite } from 'uvu';
import { encodeTombstone } from 'vanilladock/lib/jobs/progress.js';
import type { KeyedRecord } from 'vanilladock/lib/ports/keyed-store.js';
import { createPoolDecoder, encodeMeta } from '../lib/jobs/stored-pool.js';
import { POLICY, POOL, SPEC } from './job-fixtures.js';

const WALL_MS = 1_800_000_000_000;
const STATUS_MS = 120_000;
const HOUR_MS = 3_600_000;

const test = suite('stored pool');

/** Makes the records of a job; it is active without a progress. */
const makeRecords = (
  id: string,
  progress?: { readonly phase: string; readonly endedAtMs?: number },
  acceptedAtMs = WALL_MS,
): readonly KeyedRecord[] => {
  const record = { spec: { ...SPEC, id }, policy: POLICY, acceptedAtMs };
  const stored = { done: [], failedRuns: {}, occurrencesDone: [], ...progress };
  return [
    { key: `${POOL}:${id}`, value: JSON.stringify(record) },
    ...(progress === undefined ? [] : [{ key: `${POOL}:${id}:p`, value: JSON.stringify(stored) }]),
  ];
};

const decode = (records: readonly KeyedRecord[], pageSize = 3) => {
  const decoder = createPoolDecoder(POOL, STATUS_MS, WALL_MS);
  for (let start = 0; start < records.length; start += pageSize) {
    decoder.add(records.slice(start, start + pageSize));
  }
  const { meta, jobs, expiredJobs } = decoder.decode();
  return { meta, ids: jobs.map(({ record }) => record.spec.id), expired: [...expiredJobs].sort() };
};

// Guards against a successor that runs out of memory, as it loads every job that has ever run.
test('of a job that ended long ago nothing but its id is kept, in any order of the records', () => {
  const ended = { phase: 'completed', endedAtMs: WALL_MS - HOUR_MS };
  const records = [
    ...makeRecords('active'),
    ...makeRecords('begun', { phase: 'active' }),
    ...makeRecords('recent', { phase: 'completed', endedAtMs: WALL_MS - STATUS_MS }),
    ...makeRecords('old', ended),
    ...makeRecords('cancelled', { ...ended, phase: 'cancelled' }),
    { key: `other${POOL}:x`, value: '{' },
    encodeMeta(POOL, { generation: 3, workers: [] }),
  ];
  [records, [...records].reverse()].forEach((list) => {
    const { meta, ids, expired } = decode(list);
    assert.equal([...ids].sort(), ['active', 'begun', 'recent']);
    assert.equal(expired, ['cancelled', 'old']);
    assert.is(meta.generation, 3);
  });
});

test('progress without its job is removed', () => {
  const [, progress] = makeRecords('gone', { phase: 'active' });
  assert.equal(decode([progress!]).expired, ['gone']);
});

test('of ended jobs of old records, which do not say when, the newest are kept', () => {
  const count = 12_000;
  const records = Array.from({ length: count }, (_, index) =>
    makeRecords(
      `job${index}`,
      { phase: 'completed' },
      WALL_MS - HOUR_MS + ((index * 7_919) % count),
    ),
  ).flat();
  const { ids, expired } = decode(records, 500);
  assert.is(ids.length, 5_000);
  assert.is(expired.length, count - 5_000);
  const isNew = (id: string) => (Number(id.slice(3)) * 7_919) % count >= count - 5_000;
  assert.ok(ids.every(isNew) && !expired.some(isNew));
});

test('ceilings of teams are read from the metadata', () => {
  const teamCeilings = { fishmongers: { cores: 2 }, restaurants: {} };
  const value = JSON.stringify({ generation: 2, workers: [], teamCeilings });
  assert.equal(decode([{ key: `${POOL}:meta`, value }]).meta.teamCeilings, teamCeilings);
});

test('metadata of an earlier version of the program are read', () => {
  const value = JSON.stringify({ generation: 2, workers: ['w1'] });
  const { meta } = decode([{ key: `${POOL}:meta`, value }]);
  assert.equal(meta, { generation: 2, workers: [{ id: 'w1', bornMs: 0 }] });
  assert.equal(decode([]).meta, { generation: 0, workers: [] });
});

// Guards against a successor that starts a job whose cancel its predecessor has confirmed.
test('a cancel of a job that was not submitted is kept as long as the state of an ended one', () => {
  const makeTombstone = (id: string, endedAtMs: number): KeyedRecord => ({
    key: `${POOL}:${id}:p`,
    value: encodeTombstone({ jobId: id, queue: 'q', cancelledAtMs: endedAtMs }),
  });
  const decoder = createPoolDecoder(POOL, STATUS_MS, WALL_MS);
  decoder.add([makeTombstone('new', WALL_MS - STATUS_MS), makeTombstone('old', WALL_MS - HOUR_MS)]);
  const { jobs, tombstones, expiredJobs } = decoder.decode();
  assert.equal(jobs, []);
  assert.equal(tombstones, [{ jobId: 'new', queue: 'q', cancelledAtMs: WALL_MS - STATUS_MS }]);
  assert.equal(expiredJobs, ['old']);
});

test.run();
