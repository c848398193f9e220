/** Tests that the log says by what proof a run without a reported end was taken as ended. */
import * as assert from 'uvu/assert';
import { suite } from 'uvu';
import { LEASE_MS } from '../../lib/jobs/lease-clock.js';
import type { DecisionEvent } from '../../lib/jobs/pool-context.js';
import {
  createHarness,
  makeEntry,
  makeJob,
  makeRow,
  makeStep,
  POLICY,
  WALL_MS,
} from './planner-harness.js';

const TASK = 'a.0.0.0';
const START_MS = 2;
const CONFIRMED_MS = 3;

/** Opens a planner with one worker that has been ordered to start the only task of a job. */
const openStarted = () => {
  const events: DecisionEvent[] = [];
  const harness = createHarness({ report: (event) => events.push(event) });
  harness.addWorkers(0, makeEntry('w1'));
  harness.submit(makeJob('a', [makeStep({ isLasting: true })]), 1);
  const [start] = harness.planStarts(START_MS);
  const listEvents = (name: string) => events.filter(({ event }) => event === name);
  return { ...harness, start: start!, listEvents };
};

const BASE = { event: 'run-released', task: TASK, run: 1, worker: 'w1', bornMs: 1 };

const test = suite('log of released runs');

test('a run that a later report omits is released as missing', () => {
  const { accept, start, report, listEvents } = openStarted();
  accept([start], CONFIRMED_MS);
  report('w1', 103, [], [], 93);
  assert.equal(listEvents('run-released'), [
    {
      ...BASE,
      proof: 'missing-in-report',
      confirmedAgoMs: 100,
      sentAgoMs: 10,
      phase: 'running',
      isAdopted: false,
      ageMs: 100,
    },
  ]);
  assert.is(listEvents('run-missing').length, 1);
});

test('a run whose stop was answered is released by a later report that omits it', () => {
  const { planner, start, report, listEvents, at } = openStarted();
  planner.observeStart(start, { kind: 'unknown' }, at(100));
  const [stop] = planner.plan(at(110));
  assert.ok(stop?.kind === 'stop');
  planner.observeStop(stop, { kind: 'accepted', clockMs: 120 }, at(120));
  report('w1', 130, [], [], 125);
  const [released] = listEvents('run-released');
  assert.is(released!.proof, 'stop-answered');
  assert.is(released!.stopAnsweredAgoMs, 10);
  assert.is(released!.phase, 'stopping');
});

test('an unconfirmed run is released once its lease has expired', () => {
  const { planner, start, report, listEvents, at } = openStarted();
  planner.observeStart(start, { kind: 'unknown' }, at(100));
  report('w1', LEASE_MS + 10);
  const [released] = listEvents('run-released');
  assert.is(released!.proof, 'start-late');
  assert.is(released!.leaseUntilMs, LEASE_MS + START_MS);
  assert.is(released!.earliestWorkerMs, LEASE_MS + 10);
});

test('a rejected start is released with the reason of the worker', () => {
  const { planner, start, listEvents, at } = openStarted();
  planner.observeStart(start, { kind: 'rejected', why: 'no-room' }, at(10));
  assert.equal(listEvents('run-released'), [
    {
      ...BASE,
      proof: 'start-rejected',
      why: 'no-room',
      phase: 'starting',
      isAdopted: false,
      ageMs: 8,
    },
  ]);
});

test('the runs of an unresponsive worker are released with the lease that had expired', () => {
  const { planner, accept, start, listEvents, at } = openStarted();
  accept([start], CONFIRMED_MS);
  planner.observeMissedReport('w1', at(200));
  planner.plan(at(1_000));
  assert.equal(listEvents('run-released'), []);
  planner.plan(at(5_000));
  const lease = { leaseUntilMs: LEASE_MS + START_MS, earliestWorkerMs: 4_900, reportAgeMs: 5_000 };
  assert.equal(listEvents('worker-leases-passed'), [
    {
      event: 'worker-leases-passed',
      worker: 'w1',
      bornMs: 1,
      ...lease,
      missedReports: 1,
      adopted: 0,
    },
  ]);
  assert.equal(listEvents('run-released'), [
    {
      ...BASE,
      proof: 'lease-expired',
      ...lease,
      missedReports: 1,
      phase: 'running',
      isAdopted: false,
      ageMs: 4_997,
    },
  ]);
});

test('an adopted run is released with the longest lease that its planner may have given', () => {
  const events: DecisionEvent[] = [];
  const { planner, addWorkers, report, at } = createHarness({
    runBase: 100,
    report: (event) => events.push(event),
  });
  const record = { spec: makeJob('a'), policy: POLICY, acceptedAtMs: WALL_MS };
  planner.loadJob(record, undefined, at(0));
  addWorkers(0, makeEntry('w1'), makeEntry('w2'));
  report('w1', 20, [makeRow(TASK, 7, { percent: 10 })]);
  planner.observeMissedReport('w1', at(600));
  planner.plan(at(610));
  const findEvent = (name: string) => events.find(({ event }) => event === name)!;
  assert.equal(findEvent('run-adopted'), {
    event: 'run-adopted',
    task: TASK,
    run: 7,
    worker: 'w1',
    bornMs: 1,
    percent: 10,
    leaseUntilMs: LEASE_MS,
    clockMs: 20,
  });
  assert.is(findEvent('run-released'), undefined);
  planner.plan(at(5_020));
  assert.is(findEvent('worker-leases-passed').adopted, 1);
  const released = findEvent('run-released');
  assert.is(released.proof, 'lease-expired');
  assert.is(released.leaseUntilMs, LEASE_MS);
  assert.is(released.isAdopted, true);
  assert.is(released.phase, 'running');
  assert.is(released.ageMs, 5_000);
  report('w1', 5_030, [makeRow(TASK, 7, { percent: 10 })]);
  assert.is(findEvent('run-orphaned').otherRun, 101);
  assert.is(findEvent('run-orphaned').otherWorker, 'w2');
});

test('a released run that is reported again beside its successor leaves a line with both', () => {
  const { accept, start, planner, addWorkers, report, listEvents, at } = openStarted();
  accept([start], CONFIRMED_MS);
  planner.observeMissedReport('w1', at(200));
  planner.plan(at(5_000));
  addWorkers(5_010, makeEntry('w1'), makeEntry('w2'));
  planner.observeMissedReport('w1', at(5_020));
  assert.ok(planner.plan(at(5_030)).some(({ kind }) => kind === 'start'));
  [5_040, 5_050].forEach((nowMs) => report('w1', nowMs, [makeRow(TASK, 1)]));
  assert.equal(listEvents('run-orphaned'), [
    { ...BASE, event: 'run-orphaned', otherRun: 2, otherWorker: 'w2' },
  ]);
});

test('the runs of an ended incarnation are released with both incarnations', () => {
  const { accept, start, planner, report, listEvents, at } = openStarted();
  accept([start], CONFIRMED_MS);
  report('w1', 60, [makeRow(TASK, 1)]);
  planner.observeWorkers([makeEntry('w1', { bornMs: 9 })], at(100));
  assert.equal(listEvents('worker-lost'), [
    {
      event: 'worker-lost',
      worker: 'w1',
      bornMs: 1,
      newBornMs: 9,
      why: 'new-life',
      tasks: 1,
      silentMs: 0,
      reportAgeMs: 40,
    },
  ]);
  assert.equal(listEvents('run-released'), [
    {
      ...BASE,
      proof: 'incarnation-ended',
      why: 'new-life',
      newBornMs: 9,
      phase: 'running',
      isAdopted: false,
      ageMs: 97,
    },
  ]);
});

test('an order that ended an instance leaves a line with what became of its worker', () => {
  const { accept, start, planner, listEvents, at } = openStarted();
  accept([start], CONFIRMED_MS);
  planner.observeEndNotice('w1', at(50));
  planner.observeEndNotice('unseen', at(50));
  assert.equal(
    listEvents('incarnation-end-notified').map(({ worker, outcome, reportAgeMs }) => [
      worker,
      outcome,
      reportAgeMs,
    ]),
    [
      ['w1', 'report-requested', 50],
      ['unseen', 'unknown-worker', undefined],
    ],
  );
  planner.plan(at(60));
  assert.equal(listEvents('run-released'), [], 'the notice is no proof');
  planner.plan(at(5_000));
  const [released] = listEvents('run-released');
  assert.is(released!.proof, 'lease-expired');
  assert.is(released!.missedReports, 1);
});

test('another worker at the address of a worker leaves a line, and releases its runs', () => {
  const { accept, start, planner, listEvents, at } = openStarted();
  accept([start], CONFIRMED_MS);
  planner.observeIncarnationEnd('w1', 1, at(50));
  const [notified] = listEvents('incarnation-end-notified');
  assert.is(notified!.why, 'other-life');
  assert.is(notified!.outcome, 'worker-dropped');
  const [released] = listEvents('run-released');
  assert.is(released!.proof, 'incarnation-ended');
  assert.is(released!.why, 'other-life');
  assert.is(released!.newBornMs, undefined);
});

test.run();
