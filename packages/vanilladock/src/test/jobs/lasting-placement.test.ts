/** Replays of lasting jobs that arrive one after the other in a pool that could lend its workers. */
import * as assert from 'uvu/assert';
import { suite } from 'uvu';
import type { StepSpec } from '../../lib/jobs/spec.js';
import { createHarness, makeEntry, makeJob, makeStep } from './planner-harness.js';

const test = suite('placement of lasting tasks');

const RACKS = 5;
const WORKERS = 60;
const JOBS = 4;
const TASKS = 24;

/** Starts lasting jobs in an empty pool; returns the ids of the workers of each job's tasks. */
const startLastingJobs = (change: Partial<StepSpec> = {}) => {
  const { addWorkers, submit, planStarts, accept } = createHarness();
  const entries = Array.from({ length: WORKERS }, (_, index) =>
    makeEntry(`w${index}`, { rack: `rack${Math.floor((index * RACKS) / WORKERS)}` }),
  );
  addWorkers(0, ...entries);
  const racks = new Map(entries.map(({ id, rack }) => [id, rack]));
  const size = { cores: 0.5, memoryMb: 400, accelerators: 0 };
  const step = makeStep({ isLasting: true, count: TASKS, size, ...change });
  const workersByJob = Array.from({ length: JOBS }, (_, index) => {
    submit(makeJob(`lasting${index}`, [step]), 10 * index + 1);
    const starts = planStarts(10 * index + 2);
    accept(starts, 10 * index + 3);
    return starts.map(({ worker }) => worker.id);
  });
  return { workersByJob, racks };
};

test('lasting jobs share workers, so that others stay free to be lent', () => {
  const { workersByJob } = startLastingJobs();
  workersByJob.forEach((ids) => assert.is(ids.length, TASKS));
  // Two tasks fit on a worker by memory.
  assert.is(new Set(workersByJob.flat()).size, (JOBS * TASKS) / 2);
});

test('tasks of one lasting job are on different workers and spread over racks', () => {
  const { workersByJob, racks } = startLastingJobs();
  workersByJob.forEach((ids) => {
    assert.is(new Set(ids).size, TASKS);
    const counts = [...new Set(racks.values())].map(
      (rack) => ids.filter((id) => racks.get(id) === rack).length,
    );
    assert.ok(Math.max(...counts) <= Math.ceil(TASKS / RACKS) + 1, counts.join());
  });
});

test('lasting tasks with a target for their tail latency stay apart', () => {
  const { workersByJob } = startLastingJobs({ tailTargetMs: 50 });
  assert.is(new Set(workersByJob.flat()).size, WORKERS);
});

test.run();
