/** Tests of crashes of workers that had been silent for a while, so that runs there may have ended. */
import * as assert from 'uvu/assert';
import { suite } from 'uvu';
import { decideGiveUp, type CrashRecord } from '../../../lib/jobs/crashes/crash-evidence.js';
import { isCrashUnderRun } from '../../../lib/jobs/crashes/crash-moment.js';
import {
  createHarness,
  makeEntry,
  makeJob,
  makeRow,
  makeStep,
  POLICY,
  WALL_MS,
  type Harness,
} from '../planner-harness.js';

const TASK = 'a.0.0.0';

/** Time from the last report of a worker to one in its place: a silence or none, and a restart. */
const DOWN_MS = { unanswered: 6_000, refused: 3_000 };

/** Times after the last report at which calls to a silent worker end. */
const TIMEOUTS_MS = [1_100, 2_300];

type Silence = 'unanswered' | 'refused';

const test = suite('silent crashes');

/** Opens a planner whose task was on a worker that has crashed with it. */
const openCrashedOnce = () => {
  const harness = createHarness();
  harness.addWorkers(0, makeEntry('w1'));
  harness.submit(makeJob('a'), 1);
  harness.accept(harness.planStarts(2), 3);
  harness.report('w1', 10, [makeRow(TASK, 1)]);
  harness.planner.observeIncarnationEnd('w1', 1, harness.at(50));
  harness.store();
  return harness;
};

/**
 * Starts the task alone on a new worker, which reports the run for the last time at `nowMs` + 400, and
 * from then on does not answer or refuses calls.
 */
const startAlone = (harness: Harness, workerId: string, nowMs: number, how: Silence) => {
  const { planner, at, store } = harness;
  harness.addWorkers(nowMs, makeEntry(workerId));
  const [start] = harness.planStarts(nowMs + 1);
  assert.is(start?.worker.id, workerId);
  harness.accept([start!], nowMs + 2);
  const signMs = nowMs + 400;
  harness.report(workerId, signMs, [makeRow(TASK, start!.run)]);
  const missesMs = how === 'refused' ? [200, 350] : TIMEOUTS_MS;
  missesMs.forEach((ms) => planner.observeMissedReport(workerId, at(signMs + ms), how));
  store();
};

/** Starts the task as above, until another worker answers in place of the one that was silent. */
const runCrashAlone = (harness: Harness, workerId: string, nowMs: number, how: Silence) => {
  const { planner, at, store } = harness;
  startAlone(harness, workerId, nowMs, how);
  const endMs = nowMs + 400 + DOWN_MS[how];
  planner.observeIncarnationEnd(workerId, 1, at(endMs));
  planner.plan(at(endMs));
  store();
};

const readCrashes = ({ planner }: Pick<Harness, 'planner'>, taskKey = TASK) =>
  planner.table
    .findTask(taskKey)!
    .crashes.map(({ workerId, isConfirmed, suspicion, isMomentUnknown = false }) => [
      workerId,
      isConfirmed,
      suspicion,
      isMomentUnknown,
    ]);

// Guards against a sound job given up for a worker that fell silent and crashed after the run's end.
test('a worker that crashes after a silence longer than the run needed ends no job', () => {
  const harness = openCrashedOnce();
  runCrashAlone(harness, 'w22', 100, 'unanswered');
  assert.is(harness.planner.getJobStatus('a'), 'running');
  assert.equal(readCrashes(harness), [
    ['w1', true, 'recent', false],
    ['w22', true, 'earlier', true],
  ]);
});

test('a task that crashes a worker whose address refuses calls soon after is given up', () => {
  const harness = openCrashedOnce();
  runCrashAlone(harness, 'w22', 100, 'refused');
  assert.is(harness.planner.getJobStatus('a'), 'failed');
});

// Guards against deadly tasks that go on where crashed machines answer nothing.
test('a third crash, again alone and after a silence, ends the job', () => {
  const harness = openCrashedOnce();
  runCrashAlone(harness, 'w22', 100, 'unanswered');
  runCrashAlone(harness, 'w333', 10_000, 'unanswered');
  assert.is(harness.planner.getJobStatus('a'), 'failed');
});

test('a silence that ends with a refused call when the run was over leaves the moment unknown', () => {
  const harness = openCrashedOnce();
  startAlone(harness, 'w22', 100, 'unanswered');
  harness.planner.observeMissedReport('w22', harness.at(500 + 2_800), 'refused');
  harness.planner.observeIncarnationEnd('w22', 1, harness.at(500 + 5_800));
  harness.planner.plan(harness.at(6_400));
  harness.store();
  assert.is(harness.planner.getJobStatus('a'), 'running');
});

test('a run is under a crash that is found within 1.5 s, or within the rest of its estimate', () => {
  const step = { estimateMs: 4_000, isLasting: false };
  const moment = { lastSignMs: 0, refusedMs: undefined, replacedMs: undefined };
  const listUnder = (change: Partial<typeof step>, aliveMs: number) =>
    [undefined, 1_500, 1_501, 3_000, 3_001].map((refusedMs) =>
      isCrashUnderRun({ ...moment, refusedMs }, aliveMs, { ...step, ...change }),
    );
  assert.equal(listUnder({}, 1_000), [false, true, true, true, false]);
  assert.equal(listUnder({}, 3_900), [false, true, false, false, false]);
  assert.equal(listUnder({ isLasting: true }, 3_900), [false, true, true, true, true]);
  const listReplaced = (refusedMs: number | undefined) =>
    [4_500, 4_501].map((replacedMs) =>
      isCrashUnderRun({ ...moment, refusedMs, replacedMs }, 3_900, step),
    );
  assert.equal(
    [listReplaced(undefined), listReplaced(2_000)],
    [
      [true, false],
      [false, false],
    ],
  );
});

// Guards against deadly tasks that take three crashes where crashed machines answer nothing.
test('a task that crashes a worker that answers nothing until it is back in time is given up', () => {
  const harness = openCrashedOnce();
  startAlone(harness, 'w22', 100, 'unanswered');
  harness.planner.observeIncarnationEnd('w22', 1, harness.at(500 + 4_000));
  harness.planner.plan(harness.at(4_500));
  harness.store();
  assert.is(harness.planner.getJobStatus('a'), 'failed');
});

test('crashes at unknown moments ask for one more, whatever their order', () => {
  const makeCrash = (machine: string, isMomentUnknown: boolean): CrashRecord => ({
    workerId: `w-${machine}`,
    bornMs: 1,
    machine,
    isConfirmed: true,
    ...(isMomentUnknown ? { isMomentUnknown } : undefined),
    suspicion: 'recent',
    isAlone: true,
    atMs: 0,
  });
  const decide = (...unknown: readonly boolean[]) =>
    decideGiveUp(unknown.map((isUnknown, index) => makeCrash(`m${index}`, isUnknown)));
  assert.is(decide(false, false), 'crashed-alone');
  assert.equal(
    [decide(true, false), decide(false, true), decide(true, true)],
    Array(3).fill(undefined),
  );
  const third = [true, false].flatMap((a) => [true, false].map((b) => [a, b] as const));
  assert.equal(
    third.flatMap(([a, b]) => [true, false].map((c) => decide(a, b, c))),
    Array(8).fill('crashed-alone'),
  );
});

// Guards against a task that is started without end as its later starts are not answered.
test('five crashes end a job whatever is known of their moments', () => {
  const makeCrash = (machine: string, change: Partial<CrashRecord>): CrashRecord => ({
    workerId: `w-${machine}`,
    bornMs: 1,
    machine,
    isConfirmed: true,
    suspicion: 'recent',
    isAlone: true,
    atMs: 0,
    ...change,
  });
  const late = ['a', 'b'].map((machine) => makeCrash(machine, { isMomentUnknown: true }));
  const unanswered = ['c', 'd', 'e'].map((machine) =>
    makeCrash(machine, { isConfirmed: false, isStartUnknown: true }),
  );
  const crashes = [...late, ...unanswered];
  assert.is(decideGiveUp(crashes.slice(0, 4)), undefined);
  assert.is(decideGiveUp(crashes), 'crash-limit');
});

// Guards against a deadly task that is cleared by the silence of another worker.
test('a silence clears other suspects only once its worker is found gone before the run was over', () => {
  const harness = createHarness();
  const { planner, at, store } = harness;
  harness.addWorkers(0, makeEntry('w1'));
  ['a', 'b'].forEach((id) => harness.submit(makeJob(id, [makeStep({ estimateMs: 3_500 })]), 1));
  const shared = harness.planStarts(2);
  harness.accept(shared, 3);
  const rows = shared.map(({ taskKey, run }) => makeRow(taskKey, run));
  harness.report('w1', 10, rows);
  planner.observeIncarnationEnd('w1', 1, at(50));
  store();
  harness.addWorkers(100, makeEntry('w22'), makeEntry('w333'));
  const starts = harness.planStarts(101);
  harness.accept(starts, 102);
  const { worker, run } = starts.find(({ taskKey }) => taskKey === TASK)!;
  harness.report(worker.id, 500, [makeRow(TASK, run)]);
  TIMEOUTS_MS.forEach((ms) => planner.observeMissedReport(worker.id, at(500 + ms)));
  assert.equal(readCrashes(harness)[1], [worker.id, false, 'earlier', true]);
  assert.equal(readCrashes(harness, 'b.0.0.0'), [['w1', true, 'recent', false]]);
  planner.observeMissedReport(worker.id, at(500 + 2_800), 'refused');
  assert.equal(readCrashes(harness)[1], [worker.id, false, 'earlier', false]);
  assert.equal(readCrashes(harness, 'b.0.0.0'), [['w1', true, 'explained', false]]);
});

// Guards against a possible crash that a successor takes for one under the run.
test('a successor that confirms a stored possible crash does not know its moment either', () => {
  const first = openCrashedOnce();
  startAlone(first, 'w22', 100, 'unanswered');
  const second = createHarness({ runBase: 100 });
  const record = { spec: makeJob('a'), policy: POLICY, acceptedAtMs: WALL_MS };
  second.planner.loadJob(record, first.readProgress('a'), second.at(0));
  second.planner.observeWorkers([makeEntry('w22', { bornMs: 2 })], second.at(10));
  second.planner.plan(second.at(11));
  second.store();
  assert.equal(readCrashes(second)[1], ['w22', true, 'earlier', true]);
  assert.is(second.planner.getJobStatus('a'), 'running');
});

test('a successor knows of a crash that was found in time by the planner before', () => {
  const first = openCrashedOnce();
  startAlone(first, 'w22', 100, 'refused');
  const second = createHarness({ runBase: 100 });
  const record = { spec: makeJob('a'), policy: POLICY, acceptedAtMs: WALL_MS };
  second.planner.loadJob(record, first.readProgress('a'), second.at(0));
  second.planner.observeWorkers([makeEntry('w22', { bornMs: 2 })], second.at(10));
  second.planner.plan(second.at(11));
  second.store();
  assert.is(second.planner.getJobStatus('a'), 'failed');
});

test.run();
