/**
 * Use beyond a stored ceiling, over sequences of needs, starts, and writes that are stored, refused or
 * left open; and writes that are more frequent than they have to be.
 */
import * as fc from 'fast-check';
import * as assert from 'uvu/assert';
import { suite } from 'uvu';
import { createCeilingKeeper, type TeamCeilings } from '../../lib/teams/team-ceilings.js';

const test = suite('team ceilings');

const TEAM = 'fishmongers';
const LIMIT = 16;
const makeAmount = (cores: number) => ({ cores, memoryMb: 0, accelerators: 0 });
const makeNeeds = (need: number) =>
  new Map([[TEAM, { limit: makeAmount(LIMIT), need: makeAmount(need) }]]);
const getCeiling = (ceilings: TeamCeilings | undefined) => ceilings?.[TEAM]?.cores ?? Infinity;

const step = fc.record({
  allotted: fc.nat(LIMIT),
  starts: fc.nat(4),
  ends: fc.nat(4),
  passesMs: fc.nat(1_500),
  isWrittenAnyway: fc.boolean(),
  write: fc.constantFrom('stored', 'refused', 'late'),
});

test('nothing starts beyond any ceiling that may be in the store', () => {
  fc.assert(
    fc.property(fc.array(step, { minLength: 20, maxLength: 60, size: 'max' }), (steps) => {
      const keeper = createCeilingKeeper({ [TEAM]: { cores: 2 } });
      let stored: TeamCeilings | undefined = { [TEAM]: { cores: 2 } };
      let sent: TeamCeilings | undefined;
      let isLate = false;
      let used = 0;
      let nowMs = 0;
      steps.forEach((drawn) => {
        nowMs += drawn.passesMs;
        if (isLate) {
          stored = sent;
          keeper.observeWrite(true);
        }
        const needs = makeNeeds(Math.max(used, drawn.allotted));
        sent = keeper.plan(needs, nowMs, drawn.isWrittenAnyway);
        isLate = sent !== undefined && drawn.write === 'late';
        if (sent !== undefined && !isLate) {
          if (drawn.write === 'stored') stored = sent;
          keeper.observeWrite(drawn.write === 'stored');
        }
        used = Math.max(0, used - drawn.ends);
        for (let start = 0; start < drawn.starts; start += 1) {
          const isAllotted = used + 1 <= drawn.allotted;
          if (!isAllotted || !keeper.hasRoom(TEAM, makeAmount(used), makeAmount(1))) break;
          used += 1;
          assert.ok(used <= getCeiling(stored), 'stored');
          if (isLate) assert.ok(used <= getCeiling(sent), 'on its way');
        }
      });
    }),
    { numRuns: 1_000, seed: 49 },
  );
});

test('an allotment that changes with each round is seldom written', () => {
  const keeper = createCeilingKeeper({});
  let writes = 0;
  for (let nowMs = 0; nowMs < 20_000; nowMs += 200) {
    if (keeper.plan(makeNeeds(5 + ((nowMs / 200) % 4)), nowMs, false) !== undefined) {
      writes += 1;
      keeper.observeWrite(true);
    }
  }
  assert.ok(writes <= 2, `${writes} writes`);
});

test('a ceiling that is too high is lowered after a while, and at once with another write', () => {
  const keeper = createCeilingKeeper({ [TEAM]: { cores: LIMIT } });
  assert.is(keeper.plan(makeNeeds(1), 0, false), undefined);
  assert.is(getCeiling(keeper.plan(makeNeeds(3), 100, true)), 4);
  keeper.observeWrite(false);
  assert.is(getCeiling(keeper.plan(makeNeeds(0), 2_000, false)), 1);
});

test('a team without a limit any more has no ceiling', () => {
  const keeper = createCeilingKeeper({ [TEAM]: { cores: 1 } });
  assert.equal(keeper.plan(new Map(), 0, false), {});
  keeper.observeWrite(true);
  assert.ok(keeper.hasRoom(TEAM, makeAmount(5), makeAmount(1)));
});

test.run();
