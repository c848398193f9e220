/** Tests of admission and queue order under peak load. */
import * as assert from 'uvu/assert';
import { suite } from 'uvu';
import { admitJob } from '../../lib/jobs/admit-job.js';
import { compareQueueKeys, makeQueueKey } from '../../lib/jobs/queue-order.js';
import { createTaskTable } from '../../lib/jobs/task-table.js';
import { makeJob, makeStep, POLICY, WALL_MS } from './planner-harness.js';

const test = suite('queue order');

const addJob = (
  table: ReturnType<typeof createTaskTable>,
  id: string,
  count: number,
  ageMs = 0,
  isLasting = false,
) =>
  table.addJob(
    {
      spec: makeJob(id, [makeStep({ count, isLasting })]),
      policy: POLICY,
      acceptedAtMs: WALL_MS - ageMs,
    },
    { progress: undefined, runBase: 0, storedPhase: 'active' },
    { nowMs: 10_000, wallMs: WALL_MS },
  );

const listOrder = (jobs: readonly ReturnType<typeof addJob>[]) =>
  jobs
    .map((job) => makeQueueKey(job, 2, 10_000))
    .sort(compareQueueKeys)
    .map(({ job }) => job.record.spec.id);

test('in a peak, lasting jobs go first, then small jobs; late jobs go last', () => {
  const table = createTaskTable();
  const jobs = [
    addJob(table, 'late', 1, 5_000),
    addJob(table, 'large', 12),
    addJob(table, 'small', 2),
    addJob(table, 'lasting', 2, 0, true),
  ];
  assert.equal(listOrder(jobs), ['lasting', 'small', 'large', 'late']);
});

test('late jobs are ordered by arrival, so that large jobs are not starved', () => {
  const table = createTaskTable();
  const jobs = [
    addJob(table, 'later', 1, 3_000),
    addJob(table, 'oldest-and-large', 20, 9_000),
    addJob(table, 'old', 1, 6_000),
  ];
  assert.equal(listOrder(jobs), ['oldest-and-large', 'old', 'later']);
});

test('a peak of five times the pool capacity is admitted while results are useful', () => {
  const load = {
    cores: 10,
    excessCoreSeconds: 0,
    largestWorker: { cores: 10, memoryMb: 1000, accelerators: 0 },
  };
  const spec = makeJob('a', [makeStep({ count: 4 })]);
  let backlogCoreSeconds = 0;
  let admitted = 0;
  let retryAfterMs: number | undefined;
  for (let index = 0; index < 40; index += 1) {
    const admission = admitJob(spec, POLICY, { ...load, backlogCoreSeconds });
    if (admission.kind === 'admitted') {
      admitted += 1;
      backlogCoreSeconds += 2;
    } else {
      retryAfterMs ??= admission.retryAfterMs;
    }
  }
  assert.is(admitted, 18);
  assert.ok(retryAfterMs !== undefined && retryAfterMs >= 1000);
});

test('a job that fits no worker is refused without a retry time', () => {
  const largestWorker = { cores: 2, memoryMb: 100, accelerators: 0 };
  const spec = makeJob('a', [makeStep({ size: { cores: 3, memoryMb: 1, accelerators: 0 } })]);
  const admission = admitJob(spec, POLICY, {
    cores: 10,
    excessCoreSeconds: 0,
    backlogCoreSeconds: 0,
    largestWorker,
  });
  assert.equal(admission, { kind: 'refused', why: 'never-runnable', retryAfterMs: undefined });
});

test.run();
