/** Tests for pool membership: racing, repeated and late moves, and the barrier of a join. */
import { Map } from 'immutable';
import * as assert from 'uvu/assert';
import { suite } from 'uvu';
import {
  BARRIER_SETTINGS,
  computeLapseMs,
  createEntryLease,
  decideJoin,
  isRoutingAllowed,
  observeAcknowledgements,
  observeReadBack,
  recordAcknowledgement,
  type AcknowledgementObservation,
} from '../lib/pools/barrier.js';
import { getPool } from '../lib/pools/fold.js';
import { appendClaims, createFakeLog, appendMembers } from './fleet-records.js';

const test = suite('pools-fold');

const setUp = () => {
  const log = createFakeLog();
  const { moves, waves } = appendClaims(log);
  appendMembers(log, moves, 'a', 8);
  appendMembers(log, moves, 'b', 2);
  const appendAcknowledgement = (entryId: string, appliedOffset: number) =>
    log.append({ kind: 'pool.acknowledgement', entryId, appliedOffset });
  const release = (fence: number, from = 'a', to = 'b', id = 'a-0') =>
    log.append({ kind: 'pool.release', instanceId: id, from, to, fence });
  const appendJoin = (fence: number, releaseOffset: number, overrides: object = {}) =>
    log.append({
      kind: 'pool.join',
      instanceId: 'a-0',
      pool: 'b',
      releaseOffset,
      fence,
      ...overrides,
    });
  const getPoolOf = (id: string) => getPool(log.getState().pools, id);
  return { log, moves, waves, appendAcknowledgement, release, appendJoin, getPoolOf };
};

test('a join is void until every entry has applied the release', () => {
  const { log, moves, appendAcknowledgement, release, appendJoin, getPoolOf } = setUp();
  appendAcknowledgement('e1', 5);
  appendAcknowledgement('e2', 5);
  const offset = release(moves);
  assert.is(getPoolOf('a-0'), undefined);
  appendAcknowledgement('e1', offset);
  appendJoin(moves, offset);
  assert.is(getPoolOf('a-0'), undefined);
  appendAcknowledgement('e2', offset);
  appendJoin(moves, offset);
  assert.is(getPoolOf('a-0'), 'b');
  assert.is(log.getState().pools.members.get('a')?.has('a-0'), false);
});

test('a join that lists a lapsed entry is void if that entry has acknowledged again since', () => {
  const { moves, appendAcknowledgement, release, appendJoin, getPoolOf } = setUp();
  const acknowledgementOffset = appendAcknowledgement('e1', 5);
  const offset = release(moves);
  const newer = appendAcknowledgement('e1', 6);
  appendJoin(moves, offset, { lapsed: [{ entryId: 'e1', acknowledgementOffset }] });
  assert.is(getPoolOf('a-0'), undefined);
  appendJoin(moves, offset, { lapsed: [{ entryId: 'e1', acknowledgementOffset: newer }] });
  assert.is(getPoolOf('a-0'), 'b');
});

test('a superseded planner can neither release nor join', () => {
  const { log, moves, release, appendJoin, getPoolOf } = setUp();
  const offset = release(moves);
  const next = log.append({
    kind: 'duty.claim',
    duty: 'pools/moves',
    follows: moves,
    leaseMs: 10_000,
  });
  release(moves, 'a', 'b', 'a-1');
  assert.is(getPoolOf('a-1'), 'a');
  appendJoin(moves, offset);
  assert.is(getPoolOf('a-0'), undefined);
  appendJoin(next, offset);
  assert.is(getPoolOf('a-0'), 'b');
});

test('a claim that lost the race gives no valid fence', () => {
  const { log, moves, release, getPoolOf } = setUp();
  const claim = { kind: 'duty.claim', duty: 'pools/moves', follows: moves, leaseMs: 1 } as const;
  const winner = log.append(claim);
  const loser = log.append(claim);
  release(loser);
  assert.is(getPoolOf('a-0'), 'a');
  release(winner);
  assert.is(getPoolOf('a-0'), undefined);
});

test('a repeated release has no effect after the instance rejoined its pool', () => {
  const { log, moves, appendJoin, getPoolOf } = setUp();
  const body = { kind: 'pool.release', instanceId: 'a-0', from: 'a', to: 'b' } as const;
  const offset = log.append({ ...body, id: 'once', fence: moves });
  appendJoin(moves, offset, { pool: 'a' });
  log.append({ ...body, id: 'once', fence: moves });
  assert.is(getPoolOf('a-0'), 'a');
});

test('a reused instance id waits for entries that still know its old pool', () => {
  const { log, moves, appendAcknowledgement, appendJoin, getPoolOf } = setUp();
  appendAcknowledgement('e1', 5);
  const offset = log.append({ kind: 'pool.removal', instanceId: 'a-0', fence: moves });
  appendJoin(moves, -1);
  assert.is(getPoolOf('a-0'), undefined);
  appendAcknowledgement('e1', offset);
  appendJoin(moves, -1);
  assert.is(getPoolOf('a-0'), 'b');
});

test('a release that would exceed the unavailability budget of the remaining pool is void', () => {
  const { log, moves, waves, release, getPoolOf } = setUp();
  const permit = { kind: 'maintenance.permit', wave: 'w', isCanary: false, fence: waves } as const;
  log.append({ ...permit, instanceId: 'a-1' });
  log.append({ ...permit, instanceId: 'a-2' });
  release(moves);
  assert.is(getPoolOf('a-0'), 'a');
  release(moves, 'a', 'b', 'a-1');
  assert.is(getPoolOf('a-1'), 'a');
});

test('the planner waits longer than any entry routes, for any drift within the limit', () => {
  const { log, moves, appendAcknowledgement, release } = setUp();
  appendAcknowledgement('e1', 5);
  const offset = release(moves);
  const { pools } = log.getState();
  const observations = observeAcknowledgements(Map<string, AcknowledgementObservation>(), pools, 0);
  const lapseMs = computeLapseMs(BARRIER_SETTINGS);
  const before = decideJoin(pools, offset, observations, lapseMs - 1, BARRIER_SETTINGS);
  assert.equal(before, { kind: 'waiting', entryIds: ['e1'], untilMs: lapseMs });
  assert.is(decideJoin(pools, offset, observations, lapseMs, BARRIER_SETTINGS).kind, 'ready');
  const fastestPlannerMs = lapseMs / (1 + BARRIER_SETTINGS.driftShare);
  const slowestEntryMs = BARRIER_SETTINGS.leaseMs / (1 - BARRIER_SETTINGS.driftShare);
  assert.ok(fastestPlannerMs >= slowestEntryMs - 1e-6);
});

test('a planner counts the lease of an entry from the first time it observes the entry', () => {
  const { log, moves, appendAcknowledgement, release } = setUp();
  appendAcknowledgement('e1', 5);
  const offset = release(moves);
  const { pools } = log.getState();
  const verdict = decideJoin(pools, offset, Map(), 1e12, BARRIER_SETTINGS);
  assert.is(verdict.kind, 'waiting');
});

test('an entry counts its lease from before the send, and only after reading the record back', () => {
  const { leaseMs } = BARRIER_SETTINGS;
  const sent = recordAcknowledgement(createEntryLease(), 'x', 1000);
  assert.is(isRoutingAllowed(sent, 1000, BARRIER_SETTINGS), false);
  const confirmed = observeReadBack(sent, 'x');
  assert.is(isRoutingAllowed(confirmed, 1000 + leaseMs - 1, BARRIER_SETTINGS), true);
  assert.is(isRoutingAllowed(confirmed, 1000 + leaseMs, BARRIER_SETTINGS), false);
  const later = recordAcknowledgement(confirmed, 'y', 2000);
  assert.is(isRoutingAllowed(later, 1000 + leaseMs, BARRIER_SETTINGS), false);
  assert.is(observeReadBack(confirmed, 'unsent'), confirmed);
});

test.run();
