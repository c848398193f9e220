/** Tests of the worker stand-in: leases by its own clock, fences, pauses and its HTTP interface. */
import * as assert from 'uvu/assert';
import { suite } from 'uvu';
import type { WorkerCommand, WorkerReport } from 'vanilladock/lib/ports/workers.js';
import { createWorkerCore } from '../lib/worker-core.js';
import type { TaskRun, Work } from '../lib/worker-model.js';
import { startWorkerStandIn } from '../lib/worker.js';

const SIZE = { cores: 2, memoryMb: 1_000, accelerators: 0 };
const WORK: Work = { needs: SIZE, runMs: 60_000, isFaulty: false };

const makeCore = (work = WORK) => {
  const entries: TaskRun[] = [];
  const core = createWorkerCore({
    workerId: 'w',
    capacity: { cores: 8, memoryMb: 8_000, accelerators: 0 },
    clockRate: 1,
    getWork: () => work,
    progress: new Map(),
    onStart: () => undefined,
    onEnd: (entry) => entries.push(entry),
  });
  return { core, entries };
};

const makeStart = (reportId: string, fencingToken = 5, plannerFence = 3): WorkerCommand => ({
  kind: 'start',
  lease: { taskId: 't', fencingToken, durationMs: 10_000, duty: 'd', plannerFence, reportId },
  size: SIZE,
});

const test = suite('worker stand-in');

test('a lease starts at the time of the report that the command names, not at its arrival', () => {
  const { core, entries } = makeCore();
  const { reportId } = core.report(1_000);
  assert.is(core.apply(makeStart(reportId), 9_000), 'done');
  assert.is(core.report(11_001).tasks[0]?.phase, 'lapsed');
  assert.is(entries[0]?.endMs, 11_000);
  assert.is(core.apply(makeStart(reportId, 6), 12_000), 'refused');
});

test('a renewal extends leases; a superseded planner or token is fenced off', () => {
  const { core } = makeCore();
  core.apply(makeStart(core.report(0).reportId), 0);
  const { reportId } = core.report(5_000);
  const renewal = {
    kind: 'renew-worker',
    duty: 'd',
    plannerFence: 4,
    reportId,
    settled: [],
  } as const;
  assert.is(core.apply(renewal, 6_000), 'done');
  assert.is(core.report(14_000).tasks[0]?.phase, 'running');
  assert.is(core.apply({ ...renewal, plannerFence: 3 }, 14_000), 'fenced');
  assert.is(core.apply(makeStart(reportId, 4, 4), 14_000), 'fenced');
});

test('a repeated start of a task that has ended and is settled starts nothing', () => {
  const { core, entries } = makeCore({ ...WORK, runMs: 1_000 });
  const { reportId } = core.report(0);
  core.apply(makeStart(reportId), 0);
  core.report(2_000);
  const renewal = { kind: 'renew-worker', duty: 'd', plannerFence: 3, reportId } as const;
  core.apply({ ...renewal, settled: [5] }, 3_000);
  assert.is(core.apply(makeStart(reportId), 4_000), 'fenced');
  core.report(9_000);
  assert.is(entries.length, 1);
});

test('a paused worker makes no progress and finds its lease lapsed when it resumes', () => {
  const { core, entries } = makeCore();
  core.apply(makeStart(core.report(0).reportId), 0);
  core.setBehaviour({ isFailing: false, isPaused: true }, 2_000);
  core.setBehaviour({ isFailing: false, isPaused: false }, 20_000);
  assert.equal([entries[0]?.phase, entries[0]?.endMs], ['lapsed', 2_000]);
});

test('a throttled task takes longer and a checkpoint keeps its progress', () => {
  const { core, entries } = makeCore({ ...WORK, runMs: 4_000 });
  const { reportId } = core.report(0);
  const start = makeStart(reportId);
  core.apply(start, 0);
  if (start.kind === 'start')
    core.apply({ kind: 'throttle', lease: start.lease, share: 0.5 }, 2_000);
  core.report(7_000);
  assert.equal([entries[0]?.phase, entries[0]?.endMs], ['succeeded', 6_000]);
});

test('over HTTP it applies commands, reports with a lag and fails every task when set to', async () => {
  const worker = await startWorkerStandIn({
    workerId: 'w',
    capacity: { cores: 8, memoryMb: 8_000, accelerators: 0 },
    reportLagMs: 0,
    defaultWork: WORK,
  });
  const base = `http://${worker.address}`;
  const sendBody = (path: string, body: unknown) =>
    fetch(`${base}${path}`, { method: 'POST', body: JSON.stringify(body) });
  const fetchReport = async () => (await (await fetch(`${base}/report`)).json()) as WorkerReport;
  await sendBody('/behaviour', { isFailing: true, isPaused: false });
  const { reportId } = await fetchReport();
  const answer = (await (await sendBody('/command', makeStart(reportId))).json()) as {
    answer: string;
  };
  assert.is(answer.answer, 'done');
  let report = await fetchReport();
  for (let tries = 0; tries < 400 && report.tasks[0]?.phase !== 'failed'; tries += 1) {
    await new Promise((resolve) => {
      setTimeout(resolve, 20);
    });
    report = await fetchReport();
  }
  await worker.close();
  assert.is(report.tasks[0]?.phase, 'failed');
});

test.run();
