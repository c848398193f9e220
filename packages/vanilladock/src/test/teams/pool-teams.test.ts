/**
 * Planners that let a team above its limit, hold back teams that have room, or let a team that sends
 * several times its usual take the room of the others.
 */
import * as assert from 'uvu/assert';
import { suite } from 'uvu';
import { encodeRelease } from '../../lib/duties/claim-table.js';
import { refreshHandOver } from '../../lib/jobs/hand-over.js';
import { parseTaskKey } from '../../lib/jobs/spec.js';
import { createTeamDirectory } from '../../lib/teams/team-directory.js';
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
} from '../jobs/planner-harness.js';

const test = suite('teams of a pool');

const makeAmount = (cores: number) => ({ cores, memoryMb: 0, accelerators: 0 });
const makeTeams = (limits: Readonly<Record<string, number>>, jobsPerSecond = 2) => {
  const directory = createTeamDirectory(
    Object.entries(limits).map(([name, cores]) => {
      return { team: { name, jobsPerSecond, limit: makeAmount(cores) }, keys: [] };
    }),
  );
  return { getDirectory: () => directory, countPools: () => 2, limitTolerance: 0 };
};
const sendAllotments = (
  harness: Harness,
  cores: Readonly<Record<string, number>>,
  sequence = 1,
  limit = 1,
) =>
  harness.planner.applyAllotments(
    {
      token: 1,
      sequence,
      shares: Object.fromEntries(
        Object.entries(cores).map(([team, amount]) => [
          team,
          { allotment: makeAmount(amount), limit: makeAmount(limit), otherJobsPerSecond: 0 },
        ]),
      ),
    },
    harness.at(0),
  ).teams;

test('a team starts tasks up to its allotment, and the others use the rest of the pool', () => {
  const harness = createHarness({ teams: makeTeams({ hot: 4, calm: 100 }) });
  harness.addWorkers(0, makeEntry('w1'), makeEntry('w2'));
  sendAllotments(harness, { hot: 3, calm: 100 });
  harness.submit(makeJob('a', [makeStep({ count: 8 })]), 0, POLICY, 'hot');
  harness.submit(makeJob('b', [makeStep({ count: 4 })]), 0, POLICY, 'calm');
  const starts = harness.planStarts(1);
  const countOf = (id: string) => starts.filter(({ taskKey }) => taskKey.startsWith(id)).length;
  assert.is(countOf('a'), 3);
  assert.is(countOf('b'), 4);
  const { hot } = sendAllotments(harness, { hot: 3, calm: 100 }, 2);
  assert.equal([hot?.used.cores, hot?.wanted.cores, hot?.held.cores], [3, 8, 3]);
});

test('a run that is being stopped, and one of a cancelled job, count until their ends', () => {
  const harness = createHarness({ teams: makeTeams({ hot: 2 }) });
  harness.addWorkers(0, makeEntry('w1'));
  sendAllotments(harness, { hot: 2 });
  harness.submit(makeJob('a', [makeStep({ count: 2 })]), 0, POLICY, 'hot');
  const starts = harness.planStarts(1);
  harness.accept(starts, 2);
  harness.planner.cancel('a', harness.at(3));
  harness.submit(makeJob('b'), 4, POLICY, 'hot');
  assert.is(harness.planStarts(5).length, 0);
  harness.report(
    'w1',
    300,
    [],
    starts.map(({ taskKey, run }, index) => makeEnd(index + 1, taskKey, run, 'stopped')),
  );
  assert.is(harness.planStarts(301).length, 1);
});

test('a successor starts nothing for a team whose inherited tasks may fill its allotment', () => {
  const harness = createHarness({
    runBase: 100,
    inheritedWorkers: ['w1'],
    hasPredecessor: true,
    teams: makeTeams({ hot: 4 }),
  });
  const record = { spec: makeJob('a', [makeStep({ count: 4 })]), policy: POLICY, team: 'hot' };
  harness.planner.loadJob({ ...record, acceptedAtMs: WALL_MS }, undefined, harness.at(0));
  harness.addWorkers(0, makeEntry('w2'));
  sendAllotments(harness, { hot: 4 });
  harness.submit(makeJob('b'), 0, POLICY, 'hot');
  assert.is(harness.planStarts(1).length, 0);
  const { hot } = sendAllotments(harness, { hot: 4 }, 2);
  assert.is(hot?.used.cores, 4);
});

test('a successor lets a team start what cannot run unseen on the workers that have not reported', () => {
  const harness = createHarness({
    runBase: 100,
    inheritedWorkers: ['w1', 'w2'],
    teams: makeTeams({ hot: 8 }),
  });
  const record = { spec: makeJob('a', [makeStep({ count: 40 })]), policy: POLICY, team: 'hot' };
  harness.planner.loadJob({ ...record, acceptedAtMs: WALL_MS }, undefined, harness.at(0));
  // The first worker is gone; only on it may tasks of the predecessor run.
  harness.addWorkers(1, makeEntry('w2'), makeEntry('w3'));
  sendAllotments(harness, { hot: 8 }, 1, 8);
  harness.submit(makeJob('b', [makeStep({ count: 8 })]), 2, POLICY, 'hot');
  assert.is(harness.planStarts(3).length, 4);
});

// Guards against a team that stands until a lease has ended although the planner before has stopped.
test('on a worker without a report only that counts which a stopped planner tells of it', () => {
  const entries = [makeEntry('w1'), makeEntry('w22'), makeEntry('w333')];
  const first = createHarness({ teams: makeTeams({ hot: 8 }) });
  first.addWorkers(0, ...entries);
  sendAllotments(first, { hot: 2 }, 1, 8);
  const spec = makeJob('a', [makeStep({ count: 40 })]);
  first.submit(spec, 0, POLICY, 'hot');
  const starts = first.planStarts(1);
  first.accept(starts, 2);
  const silent = starts[0]!.worker.id;
  first.planner.observeMissedReport(silent, first.at(2));
  const second = createHarness({
    runBase: 100,
    inheritedWorkers: entries.map(({ id }) => id),
    hasPredecessor: true,
    teams: makeTeams({ hot: 8 }),
  });
  const record = { spec, policy: POLICY, team: 'hot', acceptedAtMs: WALL_MS };
  second.planner.loadJob(record, undefined, second.at(0));
  second.planner.observeHandOver({ handOver: first.planner.makeHandOver(7, 3), atMs: 0 });
  second.planner.observeWorkers(entries, second.at(1));
  second.planner.markWorkersRecorded(entries.map(({ id }) => id));
  entries
    .filter(({ id }) => id !== silent)
    .forEach(({ id }) => {
      const own = starts.filter(({ worker }) => worker.id === id);
      const rows = own.map(({ taskKey, run }) => makeRow(taskKey, run));
      second.report(id, 10, rows);
    });
  sendAllotments(second, { hot: 8 }, 2, 8);
  second.submit(makeJob('b', [makeStep({ count: 8 })]), 11, POLICY, 'hot');
  assert.is(starts.length, 2);
  assert.is(second.planStarts(12).length, 6);
});

// Guards against a team that stands until a lease has ended after planners were killed.
test('a successor of killed planners counts no more as unseen than they could use', () => {
  const harness = createHarness({
    runBase: 100,
    inheritedWorkers: ['w1', 'w22'],
    hasPredecessor: true,
    teams: makeTeams({ hot: 4 }),
    teamCeilings: { hot: { cores: 1 } },
  });
  const spec = makeJob('a', [makeStep({ count: 40 })]);
  const record = { spec, policy: POLICY, team: 'hot', acceptedAtMs: WALL_MS };
  harness.planner.loadJob(record, undefined, harness.at(0));
  harness.addWorkers(0, makeEntry('w333'), makeEntry('w4444'));
  const { hot } = sendAllotments(harness, { hot: 4 }, 1, 4);
  assert.is(hot?.used.cores, 1);
  harness.submit(makeJob('b', [makeStep({ count: 8 })]), 1, POLICY, 'hot');
  assert.is(harness.planStarts(2).length, 0, 'a higher ceiling is not stored');
  assert.equal(harness.planner.planTeamCeilings(3, false), { hot: { cores: 4 } });
  assert.is(harness.planStarts(210).length, 0, 'nor is it while its write is under way');
  harness.planner.observeCeilingsWrite(true);
  assert.is(harness.planStarts(420).length, 3);
});

// Guards against teams that start nothing while one holder of the fleet duty follows another.
test('a successor of a stopped planner goes on with its allotments for a while', () => {
  const first = createHarness({ teams: makeTeams({ hot: 8, calm: 8 }) });
  first.addWorkers(0, makeEntry('w1'));
  sendAllotments(first, { hot: 2, calm: 3 }, 5, 8);
  first.submit(makeJob('a'), 0, POLICY, 'hot');
  const told = refreshHandOver(
    { handOver: first.planner.makeHandOver(7, 1_000), atMs: 1_000 },
    1_500,
  );
  assert.equal(Object.keys(told.allotments?.shares ?? {}), ['hot'], 'teams with jobs');
  assert.not.match(encodeRelease({ duty: 'd', holder: 'h', token: 7 }, told).value!, 'shares');
  const takeOver = (later: readonly number[], nowMs: number) => {
    const second = createHarness({ runBase: 100, teams: makeTeams({ hot: 8 }) });
    later.forEach((sequence) => sendAllotments(second, { hot: 1 }, sequence, 8));
    second.planner.observeHandOver({ handOver: told, atMs: 0 });
    second.addWorkers(nowMs, makeEntry('w1'));
    second.submit(makeJob('b', [makeStep({ count: 4 })]), nowMs, POLICY, 'hot');
    return second.planStarts(nowMs + 1).length;
  };
  assert.is(takeOver([], 100), 2);
  assert.is(takeOver([6], 100), 1, 'a later message came first');
  assert.is(takeOver([], 2_000), 0, 'too late');
});

test('a holder that knows only an older, higher limit lets no planner start beyond the new one', () => {
  const harness = createHarness({ teams: makeTeams({ hot: 4 }) });
  harness.addWorkers(0, makeEntry('w1'), makeEntry('w2'));
  sendAllotments(harness, { hot: 8 }, 1, 16);
  harness.submit(makeJob('a', [makeStep({ count: 8 })]), 0, POLICY, 'hot');
  assert.is(harness.planStarts(1).length, 2);
});

test('a message of an earlier holder or an earlier one of this holder changes nothing', () => {
  const harness = createHarness({ teams: makeTeams({ hot: 9 }) });
  sendAllotments(harness, { hot: 5 }, 2);
  assert.is(sendAllotments(harness, { hot: 9 }, 1).hot?.held.cores, 5);
});

test('without teams in the configuration a job with a team runs as before', () => {
  const harness = createHarness();
  harness.addWorkers(0, makeEntry('w1'));
  harness.submit(makeJob('a', [makeStep({ count: 4 })]), 0, POLICY, 'hot');
  assert.is(harness.planStarts(1).length, 4);
});

test('a task that needs more than the limit is refused at once, without a time to come back', () => {
  const harness = createHarness({ teams: makeTeams({ hot: 0.5 }) });
  const admission = harness.planner.submit(makeJob('a'), POLICY, harness.at(0), { team: 'hot' });
  assert.equal(admission, { kind: 'refused', why: 'team-limit', retryAfterMs: undefined });
});

test('a team at five times its rate in a peak waits behind and is refused before the others', () => {
  const harness = createHarness({ teams: makeTeams({ hot: 0, calm: 0 }, 4) });
  harness.addWorkers(0, makeEntry('w1'));
  const outcomes = new Map([
    ['hot', { admitted: 0, refused: 0 }],
    ['calm', { admitted: 0, refused: 0 }],
  ]);
  // 20 jobs a second of the hot team and 4 of the other, on room for 8 a second.
  for (let number = 0; number < 72; number += 1) {
    const nowMs = number * 42;
    const team = number % 6 === 0 ? 'calm' : 'hot';
    const spec = makeJob(`${team}-${number}`);
    const admission = harness.planner.submit(spec, POLICY, harness.at(nowMs), { team });
    const count = outcomes.get(team)!;
    if (admission !== 'known' && admission.kind === 'admitted') count.admitted += 1;
    else {
      count.refused += 1;
      assert.ok(admission !== 'known' && admission.kind === 'refused');
      assert.ok((admission.retryAfterMs ?? 0) >= 1_000);
    }
    harness.store();
  }
  assert.is(outcomes.get('calm')!.refused, 0);
  assert.ok(outcomes.get('hot')!.refused > 10);
  const { jobs } = harness.planner.table;
  const isExcess = (taskKey: string) => jobs.get(parseTaskKey(taskKey).jobId)?.record.isExcess;
  const starts = harness.planStarts(3_100);
  assert.is(starts.length, 4);
  assert.ok(starts.every(({ taskKey }) => isExcess(taskKey) !== true));
});

test('a team whose jobs are refused for the backlog does not exceed its rate by trying again', () => {
  const harness = createHarness({ teams: makeTeams({ calm: 0 }, 4) });
  harness.addWorkers(0, makeEntry('w1'));
  for (let number = 0; number < 8; number += 1) {
    harness.submit(makeJob(`b-${number}`, [makeStep({ count: 8 })]), number * 500, POLICY, 'calm');
  }
  // One job a second that is tried again each 100 ms, at a rate of four jobs a second.
  const refusals = Array.from({ length: 40 }, (_, number) =>
    harness.planner.submit(
      makeJob('again', [makeStep({ count: 8 })]),
      POLICY,
      harness.at(4_000 + number * 100),
      { team: 'calm' },
    ),
  );
  refusals.forEach((admission) =>
    assert.is(admission !== 'known' && admission.kind === 'refused' && admission.why, 'backlog'),
  );
});

test('a team beyond its rate is served at once while there is room', () => {
  const harness = createHarness({ teams: makeTeams({ hot: 0 }, 0.1) });
  harness.addWorkers(0, makeEntry('w1', { capacity: makeAmount(64) }));
  const step = makeStep({ size: { cores: 1, memoryMb: 0, accelerators: 0 } });
  for (let number = 0; number < 20; number += 1) {
    harness.submit(makeJob(`hot-${number}`, [step]), number, POLICY, 'hot');
  }
  assert.is(harness.planStarts(30).length, 20);
});

test.run();
