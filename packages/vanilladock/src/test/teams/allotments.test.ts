/**
 * Starts above a team's limit, and shares of it that lie unused, over sequences of starts, ends, lost
 * messages, late messages and changes of planners and of the holder that divides the limit.
 */
import * as fc from 'fast-check';
import * as assert from 'uvu/assert';
import { suite } from 'uvu';
import { computeRoundMs, createAllotmentLedger } from '../../lib/teams/allotment-ledger.js';
import { computeAllotments } from '../../lib/teams/compute-allotments.js';
import { LIMIT, makeAmount, makeUse, openScene, TEAM, TOLERANCE } from './allotment-scene.js';

const test = suite('allotments');

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
  { weight: 2, arbitrary: fc.record({ kind: fc.constant('stop'), index }) },
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
        else if (drawn.kind === 'stop') scene.handOver(drawn.index);
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

/** Runs rounds in which each task lasts for as many rounds as there are pools and all refill at once. */
const countStartsWithRefills = (scene: ReturnType<typeof openScene>, rounds: number) => {
  const starts = scene.pools.map(() => 0);
  for (let round = 0; round < rounds; round += 1) {
    scene.runRound();
    scene.pools.forEach((pool, number) => {
      if (pool.used > 0 && round % scene.pools.length === number) pool.used -= 1;
      while (pool.waiting > 0 && scene.startTask(number, 1)) starts[number]! += 1;
    });
  }
  return starts;
};

// Guards against a pool that waits while another one, which refills at once, keeps the whole limit.
test('a pool that refills at once gives way to one that waits, also to one that wants little', () => {
  [100, 2].forEach((waiting) => {
    const scene = openScene(2, 8);
    scene.pools[0]!.waiting = 100;
    countStartsWithRefills(scene, 4);
    assert.is(scene.pools[0]!.used, 8);
    scene.pools[1]!.waiting = waiting;
    const [, started] = countStartsWithRefills(scene, 8);
    assert.ok(started! >= 2, `${started} starts for ${waiting} tasks`);
  });
});

// Guards against a pool that waits because others refill what one with lasting tasks does not give up.
test('pools that wait share what a pool above its part does not give up', () => {
  const scene = openScene(3, 10);
  scene.pools[0]!.waiting = 30;
  for (let round = 0; round < 3; round += 1) scene.runRound();
  for (let task = 0; task < 8; task += 1) assert.ok(scene.startTask(0, 1));
  [1, 2].forEach((number) => {
    scene.pools[number]!.waiting = 6;
  });
  const starts = [0, 0, 0];
  for (let round = 0; round < 12; round += 1) {
    scene.runRound();
    [1, 2].forEach((number) => {
      const pool = scene.pools[number]!;
      if (round % 2 === 0) pool.used = 0;
      while (scene.startTask(number, 1)) starts[number]! += 1;
    });
  }
  assert.ok(Math.min(starts[1]!, starts[2]!) >= 2, `starts ${starts.join()}`);
});

// Guards against a limit that is kept for a pool whose planner is gone.
test('a pool that has not answered for some rounds takes nothing from one that refills', () => {
  const scene = openScene(2, 8);
  scene.pools[0]!.waiting = 100;
  countStartsWithRefills(scene, 4);
  scene.pools[1]!.waiting = 100;
  scene.runRound();
  for (let round = 0; round < 12; round += 1) {
    scene.runRound([1]);
    scene.pools[0]!.used -= 1;
    while (scene.startTask(0, 1));
  }
  assert.ok(scene.pools[0]!.used >= 6, `${scene.pools[0]!.used} of 8 in use`);
});

// Guards against a limit that no pool may use while a new holder learns what is in force.
test('a new holder takes nothing from a pool that refills before it may give it to another', () => {
  const scene = openScene(3, 8);
  scene.pools[0]!.waiting = 100;
  countStartsWithRefills(scene, 4);
  scene.replaceHolder();
  scene.pools[1]!.waiting = 100;
  for (let round = 0; round < 5; round += 1) scene.runRound([2]);
  scene.pools[0]!.used -= 4;
  assert.ok(scene.startTask(0, 4));
});

// Guards against starts above the limit: a holder counts a pool that never answers as using nothing.
test('what an earlier holder allotted ends before a new one gives it to others unanswered', () => {
  const scene = openScene(2, 8);
  scene.pools[0]!.waiting = 100;
  countStartsWithRefills(scene, 4);
  scene.replaceHolder();
  scene.pools[0]!.used = 0;
  for (let round = 0; round < 17; round += 1) scene.runRound([0]);
  assert.ok(scene.startTask(0, 1));
  for (let round = 0; round < 3; round += 1) scene.runRound([0]);
  assert.not.ok(scene.startTask(0, 1));
});

// Guards against a pool that waits while another one, whose jobs are older, runs one task after the other.
test('pools of which the limit serves one at a time are served by turns', () => {
  const scene = openScene(2, 3);
  scene.pools.forEach((pool) => {
    pool.waiting = 100;
  });
  const starts = [0, 0];
  for (let round = 0; round < 24; round += 1) {
    scene.runRound([], [], 2);
    scene.pools.forEach((pool, number) => {
      if (round % 4 === 0) pool.used = 0;
      if (scene.startTask(number, 2)) starts[number]! += 1;
    });
  }
  assert.ok(Math.min(...starts) >= 2, `starts ${starts.join()}`);
});

// Guards against what is left of a limit for no pool, although a smaller task waits.
test('what is less than the largest waiting task is allotted too', () => {
  const wants = { wanted: 8, unit: 2 };
  const uses = new Map([
    ['a', makeUse({ ...wants, used: 2, held: 2 })],
    ['b', makeUse(wants)],
  ]);
  assert.is(computeAllotments(makeAmount(3), uses, true).get('b')?.cores, 1);
});

// Guards against a limit that is exceeded by a message to a planner that another one has succeeded.
test('a message that arrives late at the next planner of a pool allots nothing', () => {
  const scene = openScene(2, 8);
  scene.pools[0]!.waiting = 100;
  for (let round = 0; round < 3; round += 1) scene.runRound();
  scene.runRound([], [0]);
  scene.pools[0]!.waiting = 0;
  scene.pools[1]!.waiting = 100;
  for (let round = 0; round < 4; round += 1) scene.runRound();
  assert.ok(scene.startTask(1, 8));
  scene.replacePlanner(0);
  scene.deliverLate();
  assert.not.ok(scene.startTask(0, 8));
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
