/** Tests of what counts as a crash under a task, and that it is stored and counted once. */
import * as assert from 'uvu/assert';
import { suite } from 'uvu';
import type { CrashRecord } from '../../../lib/jobs/crashes/crash-evidence.js';
import type { DecisionEvent } from '../../../lib/jobs/pool-context.js';
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

/** Opens a planner with a worker on which the only task of job `a` runs, and one without a task. */
const openRunning = () => {
  const events: DecisionEvent[] = [];
  const harness = createHarness({ report: (event) => events.push(event) });
  harness.addWorkers(0, makeEntry('w1'));
  harness.submit(makeJob('a'), 1);
  const [start] = harness.planStarts(2);
  harness.accept([start!], 3);
  harness.planner.observeWorkers([makeEntry('w1'), makeEntry('w22')], harness.at(5));
  harness.planner.markWorkersRecorded(['w22']);
  harness.report('w22', 5);
  harness.report('w1', 10, [makeRow(TASK, 1)]);
  return { ...harness, start: start!, events };
};

const listCrashes = ({ planner }: Pick<Harness, 'planner'>) =>
  (planner.table.findTask(TASK)?.crashes ?? []).map(({ workerId, isConfirmed }) => [
    workerId,
    isConfirmed,
  ]);

const test = suite('crash watch');

test('an incarnation that ends under a run counts as a crash, once', () => {
  const harness = openRunning();
  harness.planner.observeIncarnationEnd('w1', 1, harness.at(50));
  harness.planner.observeIncarnationEnd('w1', 1, harness.at(60));
  assert.equal(listCrashes(harness), [['w1', true]]);
  const [crash] = harness.events.filter(({ event }) => event === 'worker-crashed');
  assert.equal(crash!.runs, [{ task: TASK, run: 1, aliveMs: 7, crashes: 1 }]);
});

test('an ended incarnation whose entry remains listed crashes only once', () => {
  const { planner, at, events } = openRunning();
  planner.observeIncarnationEnd('w1', 1, at(50));
  planner.plan(at(3_000));
  planner.observeMissedReport('w1', at(3_050));
  planner.observeIncarnationEnd('w1', 1, at(3_100));
  assert.is(events.filter(({ event }) => event === 'worker-seen').length, 3);
  assert.is(events.filter(({ event }) => event === 'worker-crashed').length, 1);
});

test('a worker that does not answer twice may have crashed, and has not if it answers again', () => {
  const harness = openRunning();
  const { planner, at, report } = harness;
  planner.observeMissedReport('w1', at(50));
  assert.equal(listCrashes(harness), []);
  planner.observeMissedReport('w1', at(200));
  assert.equal(listCrashes(harness), [['w1', false]]);
  report('w1', 300, [makeRow(TASK, 1)]);
  assert.equal(listCrashes(harness), []);
});

test('a lease that lapses is a crash once another incarnation of its machine is there', () => {
  const harness = openRunning();
  const { planner, at } = harness;
  [50, 200].forEach((atMs) => planner.observeMissedReport('w1', at(atMs)));
  planner.plan(at(5_000));
  assert.equal(listCrashes(harness), [['w1', false]]);
  const next = makeEntry('w333', { instance: 'm-w1', bornMs: 9 });
  planner.observeWorkers([makeEntry('w22'), next], at(6_000));
  assert.equal(listCrashes(harness), [['w1', true]]);
});

test('a worker that answers without a report has not crashed', () => {
  const harness = openRunning();
  const { planner, at } = harness;
  [50, 200, 350].forEach((atMs) => planner.observeMissedReport('w1', at(atMs), 'answered'));
  assert.equal(listCrashes(harness), []);
});

test('a worker that drains, is evacuated or is ended by an order has not crashed', () => {
  const drained = openRunning();
  const draining = makeEntry('w1', { phase: 'draining' });
  drained.planner.observeWorkers([draining, makeEntry('w22')], drained.at(20));
  const evacuated = openRunning();
  evacuated.planner.evacuate('w1', evacuated.at(20));
  const ordered = openRunning();
  ordered.planner.observeEndNotice('w1', ordered.at(20));
  [drained, evacuated, ordered].forEach((harness) => {
    [50, 200].forEach((atMs) => harness.planner.observeMissedReport('w1', harness.at(atMs)));
    harness.planner.observeIncarnationEnd('w1', 1, harness.at(300));
    assert.equal(listCrashes(harness), []);
  });
});

test('a worker that is evacuated after it stopped to answer may have crashed', () => {
  const harness = openRunning();
  const { planner, at } = harness;
  planner.observeMissedReport('w1', at(50));
  planner.evacuate('w1', at(60));
  planner.observeMissedReport('w1', at(200));
  planner.observeIncarnationEnd('w1', 1, at(300));
  assert.equal(listCrashes(harness), [['w1', true]]);
});

test('a start that may never have arrived is no confirmed crash', () => {
  const harness = createHarness();
  const { planner, at } = harness;
  harness.addWorkers(0, makeEntry('w1'));
  harness.submit(makeJob('a'), 1);
  const [start] = harness.planStarts(2);
  planner.observeStart(start!, { kind: 'unknown' }, at(100));
  planner.observeIncarnationEnd('w1', 1, at(150));
  assert.equal(listCrashes(harness), [['w1', false]]);
});

// Guards against a sound lasting job given up for crashes that are minutes or days apart.
test('a run that goes on for long ends what earlier crashes say of its task', () => {
  const { planner, at, ...harness } = openRunning();
  planner.observeIncarnationEnd('w1', 1, at(50));
  harness.store();
  const [start] = harness.planStarts(60);
  harness.accept([start!], 70);
  const row = makeRow(TASK, start!.run);
  harness.report('w22', 10_060, [row]);
  assert.equal(listCrashes({ planner }), [['w1', true]]);
  harness.report('w22', 10_080, [{ ...row, percent: 20 }]);
  assert.equal(listCrashes({ planner }), []);
  harness.store();
  assert.is(harness.readProgress('a')!.crashes.size, 0);
});

// Guards against lasting tasks that fail after some seconds, and are suspects again at each start.
test('a run that goes on for 4 s clears its task of the crash before it', () => {
  const { planner, at, ...harness } = openRunning();
  planner.observeIncarnationEnd('w1', 1, at(50));
  harness.store();
  const [start] = harness.planStarts(60);
  harness.accept([start!], 70);
  const row = makeRow(TASK, start!.run);
  const readSuspicions = () =>
    planner.table.findTask(TASK)!.crashes.map((crash) => crash.suspicion);
  harness.report('w22', 4_060, [row]);
  assert.equal(readSuspicions(), ['recent']);
  harness.report('w22', 4_080, [{ ...row, percent: 20 }]);
  assert.equal(readSuspicions(), ['none']);
  harness.store();
  assert.is(harness.readProgress('a')!.crashes.get('0.0.0')![0]!.suspicion, 'none');
});

test('a task is not started again before the crash under it is stored', () => {
  const { planner, at, planStarts, store } = openRunning();
  planner.observeIncarnationEnd('w1', 1, at(50));
  assert.equal(planStarts(60), []);
  assert.equal(planStarts(2_000), []);
  store();
  assert.is(planStarts(2_010).length, 1);
});

test('a successor counts the crashes that were stored, possible ones when they are confirmed', () => {
  const first = openRunning();
  [50, 200].forEach((atMs) => first.planner.observeMissedReport('w1', first.at(atMs)));
  first.store();
  const second = createHarness({ runBase: 100 });
  const record = { spec: makeJob('a'), policy: POLICY, acceptedAtMs: WALL_MS };
  second.planner.loadJob(record, first.readProgress('a'), second.at(300));
  second.planner.observeWorkers([makeEntry('w1'), makeEntry('w22')], second.at(310));
  assert.equal(listCrashes(second), [['w1', false]]);
  second.planner.observeIncarnationEnd('w1', 1, second.at(400));
  assert.equal(listCrashes(second), [['w1', true]]);
  second.planner.plan(second.at(410));
  second.store();
  assert.is(second.readProgress('a')!.crashes.get('0.0.0')![0]!.isConfirmed, true);
});

/** Opens a planner for what another has stored, and lists the next incarnation of `w1` there. */
const openSuccessor = (first: Pick<Harness, 'readProgress'>) => {
  const second = createHarness({ runBase: 100 });
  const record = { spec: makeJob('a'), policy: POLICY, acceptedAtMs: WALL_MS };
  second.planner.loadJob(record, first.readProgress('a'), second.at(300));
  return second;
};

// Guards against a crash that never counts as its planner stopped before the next incarnation came.
test('a stored possible crash is confirmed by the next incarnation that a successor sees', () => {
  const first = openRunning();
  [50, 200].forEach((atMs) => first.planner.observeMissedReport('w1', first.at(atMs)));
  first.store();
  const same = openSuccessor(first);
  same.planner.observeWorkers([makeEntry('w1'), makeEntry('w22')], same.at(310));
  assert.equal(listCrashes(same), [['w1', false]]);
  const next = makeEntry('w1', { bornMs: 2 });
  [next, makeEntry('w333', { instance: 'm-w1', bornMs: 2 })].forEach((entry) => {
    const second = openSuccessor(first);
    second.planner.observeWorkers([entry, makeEntry('w22')], second.at(310));
    assert.equal(listCrashes(second), [['w1', true]]);
  });
  same.planner.observeWorkers([next, makeEntry('w22')], same.at(400));
  same.planner.observeWorkers([makeEntry('w1', { bornMs: 3 }), makeEntry('w22')], same.at(500));
  assert.equal(listCrashes(same), [['w1', true]]);
});

// Guards against a sound job given up for a worker that the fleet ended just before the hand-over.
test('a successor confirms no possible crash of a worker that an order had ended', () => {
  const first = openRunning();
  [50, 200].forEach((atMs) => first.planner.observeMissedReport('w1', first.at(atMs)));
  first.store();
  assert.is(first.readProgress('a')!.crashes.size, 1);
  first.planner.observeEndNotice('w1', first.at(250));
  first.store();
  const second = openSuccessor(first);
  second.planner.observeWorkers([makeEntry('w1', { bornMs: 2 }), makeEntry('w22')], second.at(310));
  assert.equal(listCrashes(second), []);
});

// Guards against a sound job given up for a start that never arrived.
test('a successor confirms no crash under a start that may never have arrived', () => {
  const first = createHarness();
  first.addWorkers(0, makeEntry('w1'));
  first.submit(makeJob('a'), 1);
  const [start] = first.planStarts(2);
  first.planner.observeStart(start!, { kind: 'unknown' }, first.at(40));
  [50, 200].forEach((atMs) => first.planner.observeMissedReport('w1', first.at(atMs)));
  first.store();
  const second = openSuccessor(first);
  second.planner.observeWorkers([makeEntry('w1', { bornMs: 2 })], second.at(310));
  assert.equal(listCrashes(second), [['w1', false]]);
  second.planner.observeWorkers([makeEntry('w1', { bornMs: 3 })], second.at(400));
  assert.equal(listCrashes(second), [['w1', false]]);
});

test('a successor ends a job whose evidence its predecessor had stored', () => {
  const { planner, at, store, readProgress } = createHarness({ runBase: 100 });
  const record = { spec: makeJob('a'), policy: POLICY, acceptedAtMs: WALL_MS };
  const crash = { workerId: 'w1', bornMs: 1, isConfirmed: true, atMs: 0 };
  const crashes: readonly CrashRecord[] = [
    { ...crash, machine: 'm1', suspicion: 'recent', isAlone: false },
    { ...crash, workerId: 'w2', machine: 'm2', suspicion: 'recent', isAlone: true },
  ];
  const progress = {
    phase: 'active',
    done: new Set<string>(),
    failedRuns: new Map(),
    crashes: new Map([['0.0.0', crashes]]),
    occurrencesDone: new Set<number>(),
  } as const;
  planner.loadJob(record, progress, at(0));
  planner.plan(at(10));
  store();
  assert.is(planner.getJobStatus('a'), 'failed');
  assert.is(readProgress('a')!.phase, 'failed');
});

// Guards against a sound job that is given up for the crash of a cancelled one beside it.
test('a crash under a run that is being stopped does not name the only other job there', () => {
  const { planner, at, events, ...harness } = openRunning();
  harness.report('w1', 1_000, [makeRow(TASK, 1)]);
  planner.observeIncarnationEnd('w1', 1, at(1_100));
  harness.store();
  harness.submit(makeJob('b'), 1_110);
  const starts = harness.planStarts(1_120);
  assert.equal(
    starts.map(({ worker }) => worker.id),
    ['w22', 'w22'],
  );
  harness.accept(starts, 1_125);
  const rows = starts.map(({ taskKey, run }) => makeRow(taskKey, run));
  harness.report('w22', 1_200, rows);
  planner.cancel('b', at(1_300));
  planner.observeIncarnationEnd('w22', 1, at(1_320));
  planner.plan(at(1_330));
  harness.store();
  assert.is(planner.getJobStatus('a'), 'running');
  assert.equal(listCrashes({ planner }).length, 2);
  assert.not(events.some(({ event }) => event === 'job-given-up'));
});

/** Crashes a machine under job `b`, then under job `a` alone, which crashed another one before. */
const runCrashAlone = (handleBetween: (harness: Harness) => void) => {
  const harness = createHarness();
  const { planner, at, store } = harness;
  const startAll = (nowMs: number) => {
    const starts = harness.planStarts(nowMs);
    harness.accept(starts, nowMs + 1);
    return starts;
  };
  harness.addWorkers(0, makeEntry('w1'));
  harness.submit(makeJob('a'), 1);
  startAll(2);
  const second = makeEntry('w22', { labels: ['b'] });
  planner.observeWorkers([makeEntry('w1'), second], at(5));
  planner.markWorkersRecorded(['w22']);
  harness.report('w22', 5);
  harness.submit(makeJob('b', [makeStep({ requiredLabel: 'b' })]), 6);
  startAll(7);
  planner.observeIncarnationEnd('w22', 1, at(50));
  planner.observeIncarnationEnd('w1', 1, at(500));
  store();
  handleBetween(harness);
  const third = makeEntry('w333', { instance: 'm-w22' });
  planner.observeWorkers([third], at(1_000));
  planner.markWorkersRecorded(['w333']);
  harness.report('w333', 1_001);
  assert.equal(
    startAll(1_010).map(({ taskKey }) => taskKey),
    [TASK],
  );
  planner.observeIncarnationEnd('w333', 1, at(1_100));
  planner.plan(at(1_110));
  store();
  return planner.getJobStatus('a');
};

// Guards against tasks that crash worker after worker in a pool in which several of them do.
test('a machine that has crashed under a suspect is a witness against another one', () => {
  assert.is(
    runCrashAlone(() => {}),
    'failed',
  );
});

test('a machine that has crashed under no suspect is no witness', () => {
  const status = runCrashAlone(({ planner, at }) => planner.cancel('b', at(600)));
  assert.is(status, 'running');
});

// Guards against a task that crashes its workers and is started more often over a hand-over.
test('a crash that its planner has not recorded before a hand-over is known to the successor', () => {
  const first = openRunning();
  first.planner.observeMissedReport('w1', first.at(50));
  first.store();
  const second = createHarness({ runBase: 100, inheritedWorkers: ['w1'], hasPredecessor: true });
  const { planner, at } = second;
  const record = { spec: makeJob('a'), policy: POLICY, acceptedAtMs: WALL_MS };
  planner.loadJob(record, first.readProgress('a'), at(0));
  planner.observeHandOver({ handOver: first.planner.makeHandOver(7, 100), atMs: 1 });
  planner.observeWorkers([makeEntry('w1'), makeEntry('w22')], at(2));
  planner.markWorkersRecorded(['w1', 'w22']);
  second.report('w22', 5);
  [20, 170].forEach((atMs) => planner.observeMissedReport('w1', at(atMs)));
  planner.observeWorkers([makeEntry('w1', { bornMs: 2 }), makeEntry('w22')], at(900));
  planner.plan(at(901));
  assert.equal(listCrashes(second), [['w1', true]]);
});

test.run();
