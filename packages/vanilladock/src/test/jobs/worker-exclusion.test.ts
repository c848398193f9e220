/** Tests of the reasons for which a worker gets no new tasks, and of their log. */
import * as assert from 'uvu/assert';
import { suite } from 'uvu';
import { isAcceptingTasks } from '../../lib/jobs/choose-worker.js';
import type { DecisionEvent } from '../../lib/jobs/pool-context.js';
import type { Worker } from '../../lib/jobs/state.js';
import { createTaskTable } from '../../lib/jobs/task-table.js';
import { countExclusions, explainExclusion } from '../../lib/jobs/worker-exclusion.js';
import { NO_FAILURES } from '../../lib/jobs/worker-failures.js';
import { createHarness, makeEntry } from './planner-harness.js';

const NOW_MS = 1_000;
const ON_TRIAL = { ...NO_FAILURES, ejections: 1, ejectedUntilMs: NOW_MS - 1 };

/** Makes a table with one worker that accepts tasks but for the given changes. */
const makeTable = (change: Partial<Worker>) => {
  const table = createTaskTable();
  table.addWorker(makeEntry('w1'));
  const clock = { workerMs: 0, lastReportMs: 0 };
  table.updateWorker('w1', { isRecorded: true, clock, ...change });
  return table;
};

const test = suite('worker exclusion');

test('gives each reason for which a worker gets no new tasks', () => {
  const draining = makeEntry('w1', { phase: 'draining' });
  const tasks = new Set(['a.0.0.0']);
  const cases: readonly (readonly [Partial<Worker>, string | undefined])[] = [
    [{}, undefined],
    [{ isListed: false }, 'unlisted'],
    [{ isRecorded: false }, 'unrecorded'],
    [{ entry: draining }, 'draining'],
    [{ clock: undefined }, 'no-report'],
    [{ missedReports: 1 }, 'unresponsive'],
    [{ evacuateUntilMs: NOW_MS + 1 }, 'evacuating'],
    [{ evacuateUntilMs: NOW_MS }, undefined],
    [{ noStartBeforeMs: NOW_MS + 1 }, 'unhealthy'],
    [{ noStartBeforeMs: NOW_MS }, undefined],
    [{ failures: { ...NO_FAILURES, ejectedUntilMs: NOW_MS + 1 } }, 'failing'],
    [{ failures: { ...NO_FAILURES, ejectedUntilMs: NOW_MS } }, undefined],
    [{ failures: { ...ON_TRIAL, trialTaskKey: 'a.0.0.0' }, tasks }, 'on-trial'],
    [{ failures: ON_TRIAL, tasks }, undefined],
    [{ failures: { ...ON_TRIAL, trialTaskKey: 'ended' }, tasks }, undefined],
  ];
  cases.forEach(([change, why]) => {
    const table = makeTable(change);
    const worker = table.workers.get('w1')!;
    assert.is(explainExclusion(worker, NOW_MS), why);
    assert.is(isAcceptingTasks(worker, NOW_MS), why === undefined);
    assert.equal(countExclusions(table, NOW_MS), { [why ?? 'accepting']: 1 });
  });
});

test('logs an exclusion once at the change, and its end', () => {
  const events: DecisionEvent[] = [];
  const { planner, addWorkers, report, at } = createHarness({
    report: (event) => events.push(event),
  });
  addWorkers(0, makeEntry('w1'));
  planner.plan(at(10));
  planner.observeMissedReport('w1', at(400));
  [410, 420, 430].forEach((nowMs) => planner.plan(at(nowMs)));
  report('w1', 900);
  [910, 920].forEach((nowMs) => planner.plan(at(nowMs)));
  assert.equal(
    events.filter(({ event }) => event.endsWith('cluded')),
    [
      { event: 'worker-included', worker: 'w1', bornMs: 1, why: undefined, excludedMs: 0 },
      {
        event: 'worker-excluded',
        worker: 'w1',
        bornMs: 1,
        why: 'unresponsive',
        reportAgeMs: 410,
        missedReports: 1,
      },
      { event: 'worker-included', worker: 'w1', bornMs: 1, why: 'unresponsive', excludedMs: 500 },
    ],
  );
});

test.run();
