/**
 * Starts above a team's limit, and shares of it that lie unused, over sequences of starts, ends, lost
 * messages, late messages and changes of planners and of the holder that divides the limit.
 */
import * as fc from 'fast-check';
import * as assert from 'uvu/assert';
import { suite } from 'uvu';
import {
  computeRoundMs,
  createAllotmentLedger,
  type TeamReport,
} from '../../lib/teams/allotment-ledger.js';
import { computeAllotments, type PoolUse } from '../../lib/teams/compute-allotments.js';
import {
  createTeamBudget,
  type AllotMessage,
  type TeamBudget,
} from '../../lib/teams/team-budget.js';
import { createTeamDirectory } from '../../lib/teams/team-directory.js';

const test = suite('allotments');

const TEAM = 'fishmongers';
const TOLERANCE = 0.1;
const LIMIT = 100;
const makeAmount = (cores: number) => ({ cores, memoryMb: 0, accelerators: 0 });
const makeUse = (
  change: Partial<Record<'used' | 'wanted' | 'unit' | 'held', number>>,
): PoolUse => ({
  used: makeAmount(change.used ?? 0),
  wanted: makeAmount(change.wanted ?? 0),
  unit: makeAmount(change.unit ?? 0),
  held: makeAmount(change.held ?? 0),
  oldestWaitMs: 0,
});

/** One pool: its planner, and what the team runs and wants there. */
interface Pool {
  readonly name: string;
  budget: TeamBudget;
  used: number;
  /** What the planner counts as used in addition, as its predecessor may have started it. */
  unseen: number;
  waiting: number;
}

/** Pools with one team, and the holder of the duty that divides its limit. */
const openScene = (poolCount: number, limit = LIMIT) => {
  let directory = createTeamDirectory([]);
  const setLimit = (cores: number) => {
    const team = { name: TEAM, jobsPerSecond: 1, limit: makeAmount(cores) };
    directory = createTeamDirectory([{ team, keys: [] }]);
  };
  setLimit(limit);
  const makeBudget = () =>
    createTeamBudget({
      getDirectory: () => directory,
      countPools: () => poolCount,
      limitTolerance: TOLERANCE,
    });
  const pools = Array.from({ length: poolCount }, (_, index): Pool => {
    return { name: `p${index}`, budget: makeBudget(), used: 0, unseen: 0, waiting: 0 };
  });
  let token = 1;
  let sequence = 0;
  let nowMs = 0;
  let ledger = createAllotmentLedger(nowMs);
  const late: { readonly pool: Pool; readonly message: AllotMessage }[] = [];
  const makeReport = (pool: Pool, unit: number): TeamReport => ({
    ...makeUse({
      used: pool.used + pool.unseen,
      wanted: pool.used + pool.unseen + pool.waiting,
      unit,
    }),
    held: pool.budget.getAllotment(TEAM),
    jobsPerSecond: 0,
  });
  return {
    pools,
    setLimit,
    sumUsed: () => pools.reduce((sum, { used }) => sum + used, 0),
    /** Runs a round; messages to the pools in `lost` get no answer, those in `delayed` come later. */
    runRound: (lost: readonly number[] = [], delayed: readonly number[] = [], unit = 1) => {
      nowMs += 200;
      sequence += 1;
      const names = pools.map(({ name }) => name);
      ledger.plan(directory.teams, names, nowMs).forEach((shares, name) => {
        const index = names.indexOf(name);
        const pool = pools[index]!;
        const message = { token, sequence, shares };
        if (delayed.includes(index)) {
          late.push({ pool, message });
          return;
        }
        pool.budget.apply(message);
        if (lost.includes(index)) return;
        const teams = { [TEAM]: makeReport(pool, unit) };
        ledger.observeReport(name, { teams, isSettled: pool.unseen === 0 });
      });
    },
    deliverLate: () => late.splice(0).forEach(({ pool, message }) => pool.budget.apply(message)),
    replacePlanner: (index: number, unseen = 0) => {
      pools[index]!.budget = makeBudget();
      pools[index]!.unseen = unseen;
    },
    settlePlanners: () =>
      pools.forEach((pool) => {
        pool.unseen = 0;
      }),
    replaceHolder: () => {
      token += 1;
      sequence = 0;
      ledger = createAllotmentLedger(nowMs);
    },
    /** Starts a task in a pool if its planner lets it; returns whether it did. */
    startTask: (index: number, size: number) => {
      const pool = pools[index]!;
      const isFree = pool.budget.hasRoom(
        TEAM,
        makeAmount(pool.used + pool.unseen),
        makeAmount(size),
      );
      if (isFree) pool.used += size;
      return isFree;
    },
  };
};

const POOLS = 4;
const index = fc.nat(POOLS - 1);
const step = fc.oneof(
  { weight: 6, arbitrary: fc.record({ kind: fc.constant('start'), index, size: fc.nat(30) }) },
  { weight: 3, arbitrary: fc.record({ kind: fc.constant('end'), index, size: fc.nat(120) }) },
  { weight: 3, arbitrary: fc.record({ kind: fc.constant('want'), index, size: fc.nat(200) }) },
  {
    weight: 6,
    arbitrary: fc.record({
      kind: fc.constant('round'),
      lost: fc.subarray([0, 1, 2, 3]),
      delayed: fc.subarray([0, 1, 2, 3], { maxLength: 2 }),
    }),
  },
  { weight: 4, arbitrary: fc.record({ kind: fc.constant('calm-round') }) },
  { weight: 3, arbitrary: fc.record({ kind: fc.constant('late') }) },
  { weight: 1, arbitrary: fc.record({ kind: fc.constant('planner'), index, unseen: fc.nat(300) }) },
  { weight: 1, arbitrary: fc.record({ kind: fc.constant('settle') }) },
  { weight: 1, arbitrary: fc.record({ kind: fc.constant('holder') }) },
);

test('no start brings a team above its limit and the tolerance, whatever is lost or replaced', () => {
  fc.assert(
    fc.property(fc.array(step, { minLength: 40, maxLength: 120, size: 'max' }), (steps) => {
      const scene = openScene(POOLS);
      steps.forEach((drawn) => {
        const { pools } = scene;
        if ('delayed' in drawn) scene.runRound(drawn.lost, drawn.delayed);
        else if ('size' in drawn && drawn.kind === 'start') {
          // Starts as many as it may, as a planner with a backlog does.
          const size = drawn.size + 1;
          while (scene.startTask(drawn.index, size)) {
            assert.ok(scene.sumUsed() <= LIMIT * (1 + TOLERANCE) + 1e-6);
          }
        } else if ('size' in drawn && drawn.kind === 'end') {
          const pool = pools[drawn.index]!;
          pool.used = Math.max(0, pool.used - drawn.size);
        } else if ('size' in drawn) pools[drawn.index]!.waiting = drawn.size;
        else if ('unseen' in drawn) scene.replacePlanner(drawn.index, drawn.unseen);
        else if (drawn.kind === 'settle') scene.settlePlanners();
        else if (drawn.kind === 'holder') scene.replaceHolder();
        else if (drawn.kind === 'late') scene.deliverLate();
        else scene.runRound();
      });
    }),
    { numRuns: 2_000, seed: 35 },
  );
});

test('a share that lies unused elsewhere serves a waiting pool after three rounds', () => {
  const scene = openScene(4);
  scene.pools[0]!.waiting = 90;
  for (let round = 0; round < 3; round += 1) scene.runRound();
  scene.pools[0]!.waiting = 0;
  scene.pools[1]!.waiting = 90;
  for (let round = 0; round < 3; round += 1) scene.runRound();
  let started = 0;
  while (scene.startTask(1, 10)) started += 10;
  assert.ok(started >= 90, `only ${started} of 90 could start`);
});

test('tasks larger than an equal share are served one pool after the other, never none', () => {
  const scene = openScene(4, 20);
  scene.pools.forEach((pool) => {
    pool.waiting = 130;
  });
  for (let round = 0; round < 4; round += 1) scene.runRound([], [], 13);
  const started = scene.pools.filter((_, number) => scene.startTask(number, 13));
  assert.is(started.length, 1);
});

test('a limit lowered below what runs starts nothing until enough has ended', () => {
  const scene = openScene(2);
  scene.pools.forEach((pool) => {
    pool.waiting = 100;
  });
  for (let round = 0; round < 3; round += 1) scene.runRound();
  [0, 1].forEach((number) => assert.ok(scene.startTask(number, 40)));
  scene.setLimit(20);
  for (let round = 0; round < 3; round += 1) scene.runRound();
  [0, 1].forEach((number) => assert.not.ok(scene.startTask(number, 5)));
  scene.pools[0]!.used = 0;
  scene.pools[1]!.used = 10;
  for (let round = 0; round < 3; round += 1) scene.runRound();
  assert.ok(scene.startTask(0, 5));
});

test('a holder that has not heard of a pool raises nothing that this pool may use', () => {
  const scene = openScene(2);
  scene.pools[0]!.waiting = 100;
  for (let round = 0; round < 3; round += 1) scene.runRound();
  while (scene.startTask(0, 10));
  scene.replaceHolder();
  scene.pools[1]!.waiting = 100;
  for (let round = 0; round < 5; round += 1) scene.runRound([0]);
  assert.not.ok(scene.startTask(1, 10));
});

test('what a new planner may have inherited is not allotted to it beyond the limit', () => {
  const scene = openScene(2);
  for (let round = 0; round < 2; round += 1) scene.runRound();
  scene.replacePlanner(0, 400);
  for (let round = 0; round < 3; round += 1) scene.runRound();
  scene.settlePlanners();
  while (scene.startTask(0, 10));
  while (scene.startTask(1, 10));
  assert.ok(scene.sumUsed() <= LIMIT * (1 + TOLERANCE));
});

test('a take-over in one pool does not take the shares of the others', () => {
  const scene = openScene(2);
  scene.pools[1]!.waiting = 80;
  for (let round = 0; round < 3; round += 1) scene.runRound();
  scene.replacePlanner(0, 400);
  for (let round = 0; round < 3; round += 1) scene.runRound();
  let started = 0;
  while (scene.startTask(1, 10)) started += 10;
  assert.ok(started >= 80, `only ${started} of 80 could start`);
});

test('a team that is new to a pool may begin there without a round', () => {
  const team = { name: TEAM, jobsPerSecond: 1, limit: makeAmount(LIMIT) };
  const ledger = createAllotmentLedger(0);
  ['a', 'b'].forEach((pool) => ledger.observeReport(pool, { teams: {}, isSettled: true }));
  const messages = ledger.plan(new Map([[TEAM, team]]), ['a', 'b'], 200);
  assert.is(messages.get('a')?.[TEAM]?.allotment.cores, LIMIT / 2);
});

test('rounds over many pools stay below a hundred calls a second, and few pools do not wait', () => {
  assert.is(computeRoundMs(5), 200);
  [5, 16, 17, 241, 2_000].forEach((pools) => {
    assert.ok(pools / (computeRoundMs(pools) / 1_000) <= 100);
  });
});

test('resources are divided separately, and one without a limit is not restricted', () => {
  const uses = new Map([['p', makeUse({ wanted: 5, unit: 1 })]]);
  const limit = { cores: 0, memoryMb: 10, accelerators: 0 };
  assert.equal(computeAllotments(limit, uses, true).get('p'), {
    cores: 0,
    memoryMb: 10,
    accelerators: 0,
  });
});

test.run();
