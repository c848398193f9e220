/** Tests for loans, the move planner and the fairness index. */
import * as assert from 'uvu/assert';
import { suite } from 'uvu';
import { createDemandState, observeDemand, type PoolReading } from '../lib/pools/demand.js';
import { computeJainIndex } from '../lib/pools/fairness.js';
import { planLoans, sumLoans } from '../lib/pools/plan-loans.js';
import {
  createMoveMemory,
  MOVE_SETTINGS,
  planMoves,
  type MoveInput,
  type MoveMemory,
} from '../lib/pools/plan-moves.js';
import type { Instance } from '../lib/topology.js';
import { appendClaims, appendMembers, createFakeLog, POLICY } from './fleet-records.js';

const test = suite('pools-moves');
const SETTLED_MS = MOVE_SETTINGS.settleMs;

/** Sets up pools `a`, `b` and `spare` of four instances; the first of each is in `north`. */
const setUp = (readings: readonly Partial<PoolReading>[], overrides: Partial<MoveInput> = {}) => {
  const log = createFakeLog();
  const fences = appendClaims(log);
  const names = ['a', 'b', 'spare'];
  names.forEach((name) => appendMembers(log, fences.moves, name, 4));
  const instances = new Map<string, Instance>();
  names.forEach((name) => {
    for (let index = 0; index < 4; index += 1) {
      const id = `${name}-${index}`;
      const dataCentre = index === 0 ? 'north' : 'south';
      const location = { region: 'all', dataCentre, rack: 'r' };
      instances.set(id, {
        id,
        role: 'worker',
        address: '',
        location,
        state: 'live',
        attributes: {},
      });
    }
  });
  const demand = observeDemand(
    createDemandState(),
    names.map((pool, index) => ({ pool, demand: 0, size: 4, lent: 4, ...readings[index] })),
    0,
    1,
  );
  const run = (nowMs: number, memory: MoveMemory, more: Partial<MoveInput> = {}) =>
    planMoves(
      {
        fleet: log.getState(),
        instances,
        demand,
        weights: { keptWorkWeight: 10, bufferWeight: 1, moveWeight: 1 },
        policyOf: () => POLICY,
        spare: 'spare',
        nowMs,
        atMs: 0,
        settings: MOVE_SETTINGS,
        ...overrides,
        ...more,
      },
      memory,
    );
  return { log, fences, run };
};

/** Plans at the start and again after the settling time. */
const planSettled = (run: ReturnType<typeof setUp>['run'], more: Partial<MoveInput> = {}) =>
  run(SETTLED_MS, run(0, createMoveMemory(), more).memory, more).decision;

test('a surplus is divided in proportion to the deficits, and the spare pool lends last', () => {
  const loans = planLoans([
    { pool: 'a', demand: 10, size: 4, isSpare: false },
    { pool: 'b', demand: 7, size: 4, isSpare: false },
    { pool: 'c', demand: 1, size: 4, isSpare: false },
    { pool: 'spare', demand: 0, size: 3, isSpare: true },
  ]);
  const borrowed = sumLoans(loans, 'to');
  assert.ok(Math.abs((borrowed.get('a') ?? 0) - 4) < 1e-9);
  assert.ok(Math.abs((borrowed.get('b') ?? 0) - 2) < 1e-9);
  const few = planLoans([
    { pool: 'a', demand: 5, size: 4, isSpare: false },
    { pool: 'c', demand: 1, size: 4, isSpare: false },
    { pool: 'spare', demand: 0, size: 3, isSpare: true },
  ]);
  assert.equal(few, [{ from: 'c', to: 'a', amount: 1 }]);
});

test('no pool lends more than its idle capacity', () => {
  const loans = planLoans([
    { pool: 'a', demand: 50, size: 4, isSpare: false },
    { pool: 'c', demand: 3, size: 4, isSpare: false },
  ]);
  assert.equal(loans, [{ from: 'c', to: 'a', amount: 1 }]);
});

test('a lasting shortage moves an instance of the crowded data centre, but not of the spare pool', () => {
  const { run } = setUp([{ demand: 9 }]);
  const decision = planSettled(run);
  assert.is(decision.kind, 'move');
  if (decision.kind !== 'move') return;
  assert.equal([decision.from, decision.to, decision.instanceId], ['b', 'a', 'b-0']);
  assert.is(decision.refused?.from, 'spare');
});

test('a shortage must last before anything moves, and a pause follows a move', () => {
  const { run } = setUp([{ demand: 9 }]);
  const first = run(0, createMoveMemory());
  assert.is(first.decision.kind === 'stay' && first.decision.reason, 'settling');
  const moved = run(SETTLED_MS, first.memory);
  assert.is(moved.decision.kind, 'move');
  const after = run(SETTLED_MS + MOVE_SETTINGS.pauseMs - 1, moved.memory);
  assert.is(after.decision.kind === 'stay' && after.decision.reason, 'pausing');
});

test('a high move weight prevents moves regardless of the shortage', () => {
  const weights = { keptWorkWeight: 10, bufferWeight: 1, moveWeight: 5 };
  const decision = planSettled(setUp([{ demand: 9 }]).run, { weights });
  assert.equal(decision.kind === 'stay' && decision.reason, 'no-payback');
});

test('the spare pool donates when no other pool can, and reclaims idle instances', () => {
  const gives = planSettled(setUp([{ demand: 9 }, { demand: 9 }]).run);
  assert.is(gives.kind === 'move' && gives.from, 'spare');
  const takes = planSettled(setUp([{ lent: 0 }, { lent: 4 }]).run);
  assert.equal(takes.kind === 'move' && [takes.from, takes.to], ['a', 'spare']);
});

test('only one move at a time, and none that the budget forbids', () => {
  const { log, fences, run } = setUp([{ demand: 9 }]);
  const permit = { kind: 'maintenance.permit', wave: 'w', isCanary: false } as const;
  log.append({ ...permit, instanceId: 'b-1', fence: fences.waves });
  const decision = planSettled(run);
  assert.is(decision.kind === 'move' && decision.instanceId, 'b-0');
  const release = { kind: 'pool.release', instanceId: 'b-0', from: 'b', to: 'a' } as const;
  log.append({ ...release, fence: fences.moves });
  const next = planSettled(run);
  assert.is(next.kind === 'stay' && next.reason, 'move-in-progress');
});

test('Jain index: equal shares give 1, a single holder among n gives 1 / n', () => {
  assert.is(computeJainIndex([0.5, 0.5, 0.5]), 1);
  assert.is(computeJainIndex([1, 0, 0, 0]), 0.25);
  assert.is(computeJainIndex([]), 1);
});

test.run();
