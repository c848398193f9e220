/** Tests that the log tells apart why a queue stands. */
import * as assert from 'uvu/assert';
import { suite } from 'uvu';
import type { DecisionEvent } from '../../lib/jobs/pool-context.js';
import { STANDING_AFTER_MS } from '../../lib/jobs/standing-queue.js';
import {
  createHarness,
  makeEnd,
  makeEntry,
  makeJob,
  makeRow,
  makeStep,
  POLICY,
  WALL_MS,
  type Harness,
} from './planner-harness.js';

const PLAN_INTERVAL_MS = 250;
const STEP_OF_TWO = makeStep({ count: 2 });

/** Opens a planner whose decision log is kept. */
const openLogged = (options: Parameters<typeof createHarness>[0] = {}) => {
  const events: DecisionEvent[] = [];
  const harness = createHarness({ ...options, report: (event) => events.push(event) });
  const listEvents = (name: string) => events.filter(({ event }) => event === name);
  return { ...harness, listEvents };
};

/** Plans at the interval of a daemon; before each plan the given workers report no tasks. */
const planFor = (
  harness: Harness,
  fromMs: number,
  untilMs: number,
  observe: (nowMs: number) => void = () => {},
) => {
  for (let nowMs = fromMs; nowMs <= untilMs; nowMs += PLAN_INTERVAL_MS) {
    observe(nowMs);
    harness.planner.plan(harness.at(nowMs));
  }
};

/** Plans until the queue counts as standing and returns the line about it. */
const findStandingLine = (
  harness: ReturnType<typeof openLogged>,
  observe?: (nowMs: number) => void,
) => {
  planFor(harness, 10, 10 + STANDING_AFTER_MS + PLAN_INTERVAL_MS, observe);
  const lines = harness.listEvents('queue-stands');
  assert.is(lines.length, 1);
  return lines[0]!;
};

const test = suite('log of standing queues');

test('says that a worker is excluded as failing, and after which jobs', () => {
  const harness = openLogged();
  harness.addWorkers(0, makeEntry('w1'));
  const policy = { ...POLICY, maxAttempts: 1 };
  ['a', 'b', 'c', 'd'].forEach((id) => harness.submit(makeJob(id), 1, policy));
  const starts = harness.planStarts(2);
  harness.accept(starts, 3);
  const ends = starts.map((start, index) => makeEnd(index + 1, start.taskKey, 1, 'failed'));
  const capacity = { cores: 0.5, memoryMb: 1000, accelerators: 0 };
  harness.addWorkers(4, makeEntry('w1'), makeEntry('w2', { capacity }));
  harness.report('w1', 5, [], ends);
  harness.submit(makeJob('other', [makeStep({ requiredLabel: 'none-has-it' })]), 6);
  const line = findStandingLine(harness, (nowMs) => harness.report('w1', nowMs, [], ends));
  assert.equal(line.workers, { failing: 1, accepting: 1 });
  assert.is(line.waitingJobs, 1);
  assert.is(line.freeCores, 0.5);
  const [excluded] = harness.listEvents('worker-excluded').slice(-1);
  assert.is(excluded!.why, 'failing');
  assert.is(excluded!.ejections, 1);
  assert.is(excluded!.forMs, 3_995);
  const failedJobs = excluded!.failedJobs as readonly { job: string; ageMs: number }[];
  assert.equal(
    failedJobs.map(({ job }) => job),
    ['a', 'b', 'c', 'd'],
  );
});

test('says that lasting tasks reserve the workers whose batch tasks they wait for', () => {
  const harness = openLogged();
  const capacity = { cores: 0.5, memoryMb: 1000, accelerators: 0 };
  const small = makeEntry('w3', { capacity });
  harness.addWorkers(0, makeEntry('w1'), makeEntry('w2', { phase: 'draining' }), small);
  harness.submit(makeJob('long'), 1);
  const starts = harness.planStarts(2);
  harness.accept(starts, 3);
  const size = { cores: 4, memoryMb: 100, accelerators: 0 };
  const lasting = makeStep({ isLasting: true, size });
  harness.submit(makeJob('lasting-1', [lasting]), 4);
  harness.submit(makeJob('lasting-2', [lasting]), 5);
  harness.submit(makeJob('batch'), 6);
  const line = findStandingLine(harness);
  assert.equal(line.workers, { accepting: 2, draining: 1 });
  assert.is(line.reserved, 1);
  assert.is(line.fittingSteps, 1);
  assert.is(line.freeCores, 3);
});

test('says that no reservation is made for lasting tasks that could run nowhere', () => {
  const harness = openLogged();
  harness.addWorkers(0, makeEntry('w1'), makeEntry('w2'));
  const lasting = makeStep({ isLasting: true, requiredLabel: 'none-has-it' });
  harness.submit(makeJob('lasting-1', [lasting]), 1);
  harness.submit(makeJob('lasting-2', [lasting]), 2);
  const line = findStandingLine(harness);
  assert.equal(line.workers, { accepting: 2 });
  assert.is(line.reserved, 0);
  assert.is(line.fittingSteps, 2);
  assert.is(line.freeCores, 4);
});

test('says that no worker has reported', () => {
  const harness = openLogged();
  harness.planner.observeWorkers([makeEntry('w1')], harness.at(0));
  harness.planner.markWorkersRecorded(['w1']);
  harness.submit(makeJob('a'), 1);
  assert.equal(findStandingLine(harness).workers, { 'no-report': 1 });
});

test('says that the workers no longer report', () => {
  const harness = openLogged();
  harness.addWorkers(0, makeEntry('w1'));
  harness.planner.observeMissedReport('w1', harness.at(1));
  harness.submit(makeJob('a'), 2);
  assert.equal(findStandingLine(harness).workers, { unresponsive: 1 });
});

test('says that the only worker counts as ended though it is registered', () => {
  const harness = openLogged();
  harness.addWorkers(0, makeEntry('w1'));
  harness.planner.observeMissedReport('w1', harness.at(1));
  harness.submit(makeJob('a'), 3);
  const line = findStandingLine(harness, (nowMs) => {
    if (nowMs === 1_510) harness.planner.observeEndNotice('w1', harness.at(nowMs));
  });
  assert.equal(line.workers, {});
  assert.is(line.endedWorkers, 1);
  const [notified] = harness.listEvents('incarnation-end-notified');
  assert.equal(notified, {
    event: 'incarnation-end-notified',
    worker: 'w1',
    why: 'ordered',
    bornMs: 1,
    outcome: 'report-requested',
    wasUnreported: false,
    reportAgeMs: 1_510,
  });
});

test('says that there are no workers', () => {
  const harness = openLogged();
  harness.submit(makeJob('a'), 1);
  const line = findStandingLine(harness);
  assert.equal(line.workers, {});
  assert.is(line.endedWorkers, 0);
  assert.is(line.cores, 0);
});

test('says that no worker is recorded as a lease holder', () => {
  const harness = openLogged();
  harness.planner.observeWorkers([makeEntry('w1')], harness.at(0));
  harness.report('w1', 0);
  harness.submit(makeJob('a'), 1);
  assert.equal(findStandingLine(harness).workers, { unrecorded: 1 });
});

test('says that the workers are held for a move', () => {
  const harness = openLogged();
  harness.addWorkers(0, makeEntry('w1'));
  harness.submit(makeJob('a'), 1);
  const line = findStandingLine(harness, (nowMs) =>
    harness.planner.evacuate('w1', harness.at(nowMs)),
  );
  assert.equal(line.workers, { evacuating: 1 });
});

test('says that there is no free capacity', () => {
  const harness = openLogged();
  harness.addWorkers(0, makeEntry('w1'));
  const size = { cores: 3, memoryMb: 100, accelerators: 0 };
  harness.submit(makeJob('lasting', [makeStep({ size, isLasting: true })]), 1);
  harness.accept(harness.planStarts(2), 3);
  harness.submit(makeJob('batch', [makeStep({ ...STEP_OF_TWO, size })]), 4, POLICY);
  const row = makeRow('lasting.0.0.0', 1, { percent: 100 });
  const line = findStandingLine(harness, (nowMs) => harness.report('w1', nowMs, [row]));
  assert.equal(line.workers, { accepting: 1 });
  assert.is(line.fittingSteps, 0);
  assert.is(line.freeCores, 1);
  assert.equal(line.smallest, size);
  assert.is(line.usedCores, 3);
  assert.is(line.cores, 4);
  assert.is(line.waitingTasks, 2);
  assert.is(line.unstoredEnds, 0);
  assert.is(line.job, 'batch');
  assert.is(line.route, 'r-stalls');
});

test('says that the ends of a full worker are not stored', () => {
  const harness = openLogged();
  harness.addWorkers(0, makeEntry('w1'));
  harness.submit(makeJob('running', [makeStep({ count: 4 })]), 1);
  harness.accept(harness.planStarts(2), 3);
  harness.submit(makeJob('waiting'), 4);
  const ends = Array.from({ length: 500 }, (_, index) =>
    makeEnd(index + 1, `gone.0.0.${index}`, 1),
  );
  const line = findStandingLine(harness, (nowMs) => harness.report('w1', nowMs, [], ends));
  assert.is(line.unstoredEnds, 500);
  assert.is(line.fittingSteps, 0);
});

test('says that steps wait for tickets of the advisor', () => {
  const harness = openLogged();
  harness.addWorkers(0, makeEntry('w1'));
  const advice = { decideMs: 1, perWorkerMs: 1, validMs: 1000 };
  harness.submit(makeJob('a'), 1, { ...POLICY, advice });
  const line = findStandingLine(harness);
  assert.equal(line.workers, { accepting: 1 });
  assert.is(line.ticketless, 1);
  assert.is(line.reserved, 0);
  assert.is(line.fittingSteps, 1);
});

test('says that inherited jobs wait for workers that have not reported', () => {
  const harness = openLogged({
    runBase: 100,
    inheritedWorkers: ['w1', 'gone'],
    hasPredecessor: true,
  });
  const record = { spec: makeJob('a'), policy: POLICY, acceptedAtMs: WALL_MS };
  harness.planner.loadJob(record, undefined, harness.at(0));
  harness.addWorkers(0, makeEntry('w1'));
  const line = findStandingLine(harness);
  assert.is(line.isInheritanceUncertain, true);
  assert.is(line.unreportedWorkers, 2);
  assert.equal(line.workers, { accepting: 1 });
});

test('writes one line in two seconds while a queue stands, and one when it moves', () => {
  const harness = openLogged();
  harness.submit(makeJob('a'), 1);
  planFor(harness, 10, 10_010);
  assert.equal(
    harness.listEvents('queue-stands').map(({ standingMs }) => standingMs),
    [2_000, 4_000, 6_000, 8_000, 10_000],
  );
  assert.equal(harness.planner.getFigures(10_100), {
    workers: {},
    waitingTasks: 1,
    standingMs: 10_090,
    teams: [],
    interference: { knownPairs: 0, hurtingPairs: 0 },
  });
  harness.addWorkers(10_100, makeEntry('w1'));
  planFor(harness, 10_110, 14_110);
  assert.is(harness.listEvents('queue-stands').length, 5);
  assert.equal(harness.listEvents('queue-moves'), [
    { event: 'queue-moves', standingMs: 10_100, starts: 1 },
  ]);
  assert.equal(harness.planner.getFigures(14_200), {
    workers: { accepting: 1 },
    waitingTasks: 0,
    standingMs: 0,
    teams: [],
    interference: { knownPairs: 0, hurtingPairs: 0 },
  });
});

test('writes nothing while no task waits, or while starts are planned', () => {
  const harness = openLogged();
  harness.addWorkers(0, makeEntry('w1'));
  planFor(harness, 10, 5_010);
  for (let index = 0; index < 10; index += 1) {
    const nowMs = 6_000 + 1_000 * index;
    const id = `job-${index}`;
    harness.submit(makeJob(id, [STEP_OF_TWO]), nowMs);
    harness.accept(harness.planStarts(nowMs + 1), nowMs + 2);
    const ends = [0, 1].map((task) => makeEnd(2 * index + task + 1, `${id}.0.0.${task}`, 1));
    harness.report('w1', nowMs + 100, [], ends);
  }
  assert.equal(harness.listEvents('queue-stands'), []);
});

test.run();
