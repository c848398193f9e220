/** Tests of the stored progress of jobs: its size, and what a next planner reads from it. */
import * as assert from 'uvu/assert';
import { suite } from 'uvu';
import type { CrashRecord } from '../../lib/jobs/crashes/crash-evidence.js';
import { decodeProgress, encodeProgress, type Progress } from '../../lib/jobs/progress.js';
import {
  createHarness,
  makeEnd,
  makeEntry,
  makeJob,
  makeStep,
  POLICY,
  POOL,
  WALL_MS,
} from './planner-harness.js';

/** Largest number of tasks that a submission may have. */
const MAX_TASKS = 10_000;

/** Largest record that the store takes. */
const RECORD_BYTES = 262_144;

const ACTIVE: Progress = {
  phase: 'active',
  done: new Set(),
  failedRuns: new Map(),
  crashes: new Map(),
  occurrencesDone: new Set(),
};

const makeCrash = (workerId: string, change: Partial<CrashRecord> = {}): CrashRecord => ({
  workerId,
  bornMs: WALL_MS,
  machine: `machine-${workerId}`,
  isConfirmed: true,
  suspicion: 'mass',
  isAlone: false,
  atMs: 0,
  ...change,
});

/** Makes the progress of a job of `count` tasks as a planner with these records stores it. */
const makeStored = (count: number, crashes: ReadonlyMap<string, readonly CrashRecord[]>) => {
  const { planner, at } = createHarness({ runBase: 100 });
  const spec = makeJob('a', [makeStep({ count })]);
  const record = { spec, policy: POLICY, acceptedAtMs: WALL_MS };
  planner.loadJob(record, { ...ACTIVE, crashes }, at(0));
  return encodeProgress(planner.table.jobs.get('a')!, planner.table.listJobTasks('a'));
};

const test = suite('progress');

// Guards against a pool that stores nothing any more, as the store refuses the record of one job.
test('the progress of the largest job fits into a record when its workers have crashed', () => {
  const crashes = ['w1', 'w2', 'w3'].map((id) => makeCrash(id));
  const suffixes = Array.from({ length: MAX_TASKS }, (_, index) => `0.0.${index}`);
  const text = makeStored(MAX_TASKS, new Map(suffixes.map((suffix) => [suffix, crashes])));
  assert.ok(Buffer.byteLength(text) < RECORD_BYTES, `${Buffer.byteLength(text)} bytes`);
  const read = decodeProgress(text).crashes;
  assert.is(read.size, MAX_TASKS);
  assert.equal(read.get('0.0.9999'), crashes);
});

// Guards against the same for a job whose tasks have nearly all failed several times.
test('the progress of the largest job fits into a record when its tasks have failed', () => {
  const { planner, at } = createHarness({ runBase: 100 });
  const spec = makeJob('a', [makeStep({ count: MAX_TASKS })]);
  const suffixes = Array.from({ length: MAX_TASKS }, (_, index) => `0.0.${index}`);
  const failedRuns = new Map(
    suffixes.slice(10).map((suffix) => [suffix, [10_101, 10_202, 10_303]]),
  );
  const done = new Set(suffixes.slice(0, 10));
  const record = { spec, policy: POLICY, acceptedAtMs: WALL_MS };
  planner.loadJob(record, { ...ACTIVE, failedRuns, done }, at(0));
  const text = encodeProgress(planner.table.jobs.get('a')!, planner.table.listJobTasks('a'));
  assert.ok(text.length < RECORD_BYTES, `${text.length} bytes`);
  assert.equal(decodeProgress(text).done, done);
});

// Guards against the same for a job with an occurrence each second for days.
test('the progress of a job does not grow with its finished occurrences', () => {
  const { planner, at } = createHarness({ runBase: 100 });
  const change = { repeatCount: 200_000, startAtMs: WALL_MS + 1_000, intervalMs: 1 };
  const record = { spec: makeJob('a', undefined, change), policy: POLICY, acceptedAtMs: WALL_MS };
  const occurrencesDone = new Set(Array.from({ length: 100_000 }, (_, number) => number));
  occurrencesDone.add(100_007);
  planner.loadJob(record, { ...ACTIVE, occurrencesDone }, at(0));
  const text = encodeProgress(planner.table.jobs.get('a')!, []);
  assert.ok(text.length < 200, `${text.length} bytes`);
  assert.equal(decodeProgress(text).occurrencesDone, occurrencesDone);
});

// Guards against the same for a job that lasts for days and whose tasks fail now and then.
test('the progress of a lasting job does not grow with the failures of its tasks', () => {
  const { report, submit, addWorkers, store, stored } = createHarness();
  addWorkers(0, makeEntry('w1'));
  submit(makeJob('a', [makeStep({ isLasting: true })]), 1);
  const countBytes = (failures: number) => {
    const ends = Array.from({ length: failures }, (_, index) =>
      makeEnd(index + 1, 'a.0.0.0', index + 1, 'failed'),
    );
    report('w1', failures, [], ends);
    store();
    return stored.get(`${POOL}:a:p`)!.length;
  };
  const once = countBytes(1);
  assert.ok(countBytes(500) < once + 10);
});

test('crashes are read as they were stored, in their order, also from old records', () => {
  const first = makeCrash('w1', { suspicion: 'recent', isConfirmed: false });
  const second = makeCrash('w2', { suspicion: 'earlier', isAlone: true });
  const crashes = new Map([
    ['0.0.0', [first, second]],
    ['0.0.1', [second, makeCrash('w1', { suspicion: 'explained' })]],
  ]);
  const text = makeStored(3, crashes);
  assert.equal([...decodeProgress(text).crashes], [...crashes]);
  const old = {
    phase: 'active',
    done: [],
    failedRuns: {},
    crashes: { '0.0.0': [['w1', WALL_MS, 'machine-w1', false, 'recent', false]] },
    occurrencesDone: [],
  };
  assert.equal([...decodeProgress(JSON.stringify(old)).crashes], [['0.0.0', [first]]]);
});

test('what a crash leaves open is read as it was stored, and versions before ignore the last', () => {
  const isStartUnknown = true;
  const isMomentUnknown = true;
  const crashes = [
    makeCrash('w1', { isStartUnknown }),
    makeCrash('w2', { isMomentUnknown }),
    makeCrash('w3', { isStartUnknown, isMomentUnknown }),
  ];
  const text = makeStored(1, new Map([['0.0.0', crashes]]));
  assert.equal(decodeProgress(text).crashes.get('0.0.0'), crashes);
  const { crashTable } = JSON.parse(text) as { readonly crashTable: readonly unknown[][] };
  assert.equal(
    crashTable.map((row) => row.slice(6)),
    [[true], [null, true], [true, true]],
  );
});

test.run();
