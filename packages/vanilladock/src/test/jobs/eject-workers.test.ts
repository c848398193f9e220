/** Tests of the ejection of workers on which tasks fail. */
import * as assert from 'uvu/assert';
import { suite } from 'uvu';
import type { Harness } from './planner-harness.js';
import { createHarness, makeEnd, makeEntry, makeJob, makeStep, POLICY } from './planner-harness.js';

const IDS = ['w1', 'w2', 'w3', 'w4'];
const FAILED_JOBS_LIMIT = 4;
const ONE_ATTEMPT = { ...POLICY, maxAttempts: 1 };

const test = suite('ejection of workers');

/** Opens a planner with workers, each in a rack of its own so that jobs can be sent there. */
const openPool = (ids: readonly string[] = IDS) => {
  const harness = createHarness();
  const makeRackEntry = (id: string) => makeEntry(id, { rack: id, labels: [id] });
  harness.addWorkers(0, ...ids.map(makeRackEntry));
  let lastNumber = 0;
  let lastJob = 0;
  /** Starts a job on the worker and reports how it ends there. */
  const runJob = (workerId: string, nowMs: number, how: 'done' | 'failed') => {
    lastJob += 1;
    lastNumber += 1;
    const id = `job${lastJob}`;
    harness.submit(makeJob(id, [makeStep({ requiredLabel: workerId })]), nowMs, ONE_ATTEMPT);
    const starts = harness.planStarts(nowMs);
    harness.accept(starts, nowMs);
    assert.is(starts[0]?.worker.id, workerId, `${id} started on ${workerId} at ${nowMs} ms`);
    harness.report(workerId, nowMs, [], [makeEnd(lastNumber, `${id}.0.0.0`, 1, how)]);
  };
  const failJobs = (workerId: string, nowMs: number, count = FAILED_JOBS_LIMIT) => {
    for (let index = 0; index < count; index += 1) runJob(workerId, nowMs + index, 'failed');
  };
  return { ...harness, runJob, failJobs };
};

/** Submits a job for the worker and says whether it starts there at once; it is cancelled then. */
const isAccepting = (harness: Harness, workerId: string, nowMs: number) => {
  const id = `probe-${workerId}-${nowMs}`;
  harness.submit(makeJob(id, [makeStep({ requiredLabel: workerId })]), nowMs);
  const hasStarted = harness.planStarts(nowMs).length > 0;
  harness.planner.cancel(id, harness.at(nowMs));
  return hasStarted;
};

test('ejects a worker after the limit of failed jobs, not before', () => {
  const pool = openPool();
  pool.failJobs('w1', 10, FAILED_JOBS_LIMIT - 1);
  assert.ok(isAccepting(pool, 'w1', 20));
  pool.failJobs('w1', 30, 1);
  assert.not(isAccepting(pool, 'w1', 40));
});

test('a success clears the failures of a worker', () => {
  const pool = openPool();
  pool.failJobs('w1', 10, FAILED_JOBS_LIMIT - 1);
  pool.runJob('w1', 20, 'done');
  pool.failJobs('w1', 30, FAILED_JOBS_LIMIT - 1);
  assert.ok(isAccepting(pool, 'w1', 40));
});

test('failures that are long ago are forgotten', () => {
  const pool = openPool();
  pool.failJobs('w1', 10, FAILED_JOBS_LIMIT - 1);
  pool.failJobs('w1', 20_000, 1);
  assert.ok(isAccepting(pool, 'w1', 20_010));
});

test('keeps at least half of the workers when jobs fail on all of them', () => {
  const pool = openPool();
  IDS.forEach((id, index) => pool.failJobs(id, 10 + index * 10));
  const excluded = IDS.filter((id) => !isAccepting(pool, id, 60));
  assert.is(excluded.length, 2);
});

test('releases ejected workers when the others leave the pool', () => {
  const pool = openPool();
  ['w1', 'w2'].forEach((id, index) => pool.failJobs(id, 10 + index * 10));
  ['w3', 'w4'].forEach((id) => pool.planner.observeMissedReport(id, pool.at(40)));
  pool.planStarts(50);
  const accepting = ['w1', 'w2'].filter((id) => isAccepting(pool, id, 60));
  assert.equal(accepting, ['w1']);
});

test('tries a worker again after 2 s if a waiting task needs it, else later each time', () => {
  const pool = openPool();
  pool.failJobs('w1', 10);
  assert.not(isAccepting(pool, 'w1', 1_900));
  assert.ok(isAccepting(pool, 'w1', 2_100));
  pool.failJobs('w1', 2_200, 1);
  pool.planStarts(9_000);
  assert.is(pool.planner.table.workers.get('w1')?.failures.ejectedUntilMs, 2_200 + 8_000);
});

test('a worker on trial gets one batch task at a time until a success', () => {
  const pool = openPool(['w1', 'w2']);
  pool.failJobs('w1', 10);
  const step = makeStep({ requiredLabel: 'w1', count: 3 });
  pool.submit(makeJob('trial', [step]), 20);
  assert.is(pool.planStarts(30).length, 0);
  const starts = pool.planStarts(2_100);
  pool.accept(starts, 2_100);
  assert.is(starts.length, 1);
  assert.is(pool.planStarts(2_200).length, 0);
  pool.report('w1', 2_300, [], [makeEnd(99, starts[0]!.taskKey, 1)]);
  assert.is(pool.planStarts(2_310).length, 2);
});

test('a job that fails on workers in good standing too ends the ejection that it led to', () => {
  const { addWorkers, submit, planStarts, accept, report, planner, at } = createHarness();
  addWorkers(0, ...IDS.map((id) => makeEntry(id)));
  const jobs = ['a', 'b', 'c', 'd'];
  jobs.forEach((id) => submit(makeJob(id), 1));
  const first = planStarts(2);
  accept(first, 3);
  const failOn = (workerId: string, keys: readonly string[], run: number, nowMs: number) => {
    const ends = keys.map((key, index) => makeEnd(nowMs + index, key, run, 'failed'));
    report(workerId, nowMs, [], ends);
  };
  const keys = first.map(({ taskKey }) => taskKey);
  failOn('w1', keys, 1, 10);
  assert.equal([...new Set(first.map(({ worker }) => worker.id))], ['w1']);
  assert.ok(planner.table.workers.get('w1')!.failures.ejectedUntilMs > 10);
  const second = planStarts(20);
  accept(second, 21);
  second.forEach(({ worker, taskKey, run }) => failOn(worker.id, [taskKey], run, 30));
  assert.ok(planner.table.workers.get('w1')!.failures.ejectedUntilMs < 30);
  planner.plan(at(40));
});

test.run();
