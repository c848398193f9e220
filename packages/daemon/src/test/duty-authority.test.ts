/** Holders and successors over a store that is slow or unavailable, with fake timers. */
import { install, type Clock } from '@sinonjs/fake-timers';
import * as assert from 'uvu/assert';
import { suite } from 'uvu';
import { SUCCESSION_MS } from 'vanilladock/lib/duties/authority.js';
import type { Member } from 'vanilladock/lib/duties/claim-table.js';
import type {
  KeyedRecord,
  KeyedStore,
  StoredKeyedRecord,
} from 'vanilladock/lib/ports/keyed-store.js';
import { createDutyClaims } from '../lib/jobs/duty-claims.js';
import type { DutyClaims } from '../lib/jobs/duty-claims-types.js';
import { SILENT_LOG } from './job-fixtures.js';

const DUTY = 'pool/stalls';
const SECOND_MS = 1_000;
const READ_MS = 10;
const NAMES = ['a', 'b', 'c', 'd'];
const NEVER = new Promise<never>(() => {});

const makeMember = (name: string): Member => ({ id: `${name}~1`, name, address: name, cores: 1 });

const waitFor = (ms: number) =>
  new Promise<void>((resolve) => {
    setTimeout(resolve, ms);
  });

/** Starts instances on one store; `faults` names those that fail to reach the store or peers. */
const openFleet = (names: readonly string[]) => {
  const partitions: readonly StoredKeyedRecord[][] = [[], []];
  const faults = {
    withoutStore: new Set<string>(),
    withoutHeartbeats: new Set<string>(),
    unresponsivePeers: new Set<string>(),
  };
  const fleet = new Map<string, DutyClaims>();
  let noticeCount = 0;
  const append = (partition: number, records: readonly KeyedRecord[]) => {
    const stored = partitions[partition]!;
    const offset = stored.length;
    records.forEach((record) => stored.push({ ...record, offset: stored.length }));
    return { kind: 'stored', offset, end: stored.length } as const;
  };
  const makeStore = (name: string, handleContact: () => void): KeyedStore => ({
    append: async ({ partition }, records, guard) => {
      await waitFor(4);
      const isLost =
        faults.withoutStore.has(name) || (partition === 1 && faults.withoutHeartbeats.has(name));
      if (isLost) return { kind: 'refused', reason: 'status 503' };
      const { length } = partitions[partition]!;
      if (guard.kind === 'end' && guard.offset !== length)
        return { kind: 'end-moved', end: length };
      return append(partition, records);
    },
    read: async ({ partition }, from, waitMs) => {
      const startedMs = performance.now();
      const isIdle = () => partitions[partition]!.length <= from;
      do await waitFor(READ_MS);
      while (isIdle() && performance.now() - startedMs < waitMs);
      if (faults.withoutStore.has(name)) return { kind: 'unavailable', reason: 'status 503' };
      handleContact();
      const { length } = partitions[partition]!;
      return {
        kind: 'records',
        records: partitions[partition]!.slice(from),
        next: length,
        end: length,
      };
    },
    readNewest: async ({ partition }) => {
      await waitFor(4);
      if (faults.withoutStore.has(name)) return { kind: 'unavailable', reason: 'status 503' };
      return {
        kind: 'records',
        records: [...partitions[partition]!],
        end: partitions[partition]!.length,
      };
    },
  });
  names.forEach((name) => {
    let contactMs = 0;
    const handleContact = () => {
      contactMs = performance.now();
    };
    const claims = createDutyClaims({
      store: makeStore(name, handleContact),
      self: makeMember(name),
      listDuties: () => [DUTY],
      handleContact,
      getStoreContactMs: () => contactMs,
      isHandedOver: () => false,
      findHandOver: () => undefined,
      sendNotice: async (peer, notice) => {
        noticeCount += 1;
        await waitFor(1);
        const receiver = fleet.get(peer.name);
        const isUnresponsive =
          faults.unresponsivePeers.has(peer.name) || faults.unresponsivePeers.has(name);
        if (receiver === undefined || isUnresponsive) return { kind: 'silent' };
        return { kind: 'answered', view: receiver.answerNotice(notice) };
      },
      log: SILENT_LOG,
    });
    fleet.set(name, claims);
    claims.start();
  });
  const findHolder = () => names.find((name) => fleet.get(name)!.held.value.has(DUTY));
  const listClaims = () => partitions[0]!.length;
  const countNotices = () => noticeCount;
  const isInForce = (name: string) => {
    const claim = fleet.get(name)!.held.value.get(DUTY);
    return claim !== undefined && fleet.get(name)!.isInForce(claim);
  };
  return { faults, fleet, findHolder, listClaims, countNotices, isInForce };
};

type Fleet = ReturnType<typeof openFleet>;

/** Runs a case with fake timers, once one of the instances holds the duty. */
const runCase = async (runSteps: (fleet: Fleet, holder: string, clock: Clock) => Promise<void>) => {
  const clock = install({ now: 0 });
  try {
    const fleet = openFleet(NAMES);
    await clock.tickAsync(3 * SECOND_MS);
    const holder = fleet.findHolder();
    assert.ok(holder !== undefined);
    assert.is(fleet.isInForce(holder), true);
    await runSteps(fleet, holder, clock);
    fleet.fleet.forEach((claims) => void claims.stop(() => false));
  } finally {
    clock.uninstall();
  }
};

const test = suite('duty authority');

test('a holder sends no notices while the store is responsive', () =>
  runCase(async ({ countNotices, isInForce }, holder, clock) => {
    const before = countNotices();
    await clock.tickAsync(10 * SECOND_MS);
    assert.is(countNotices(), before);
    assert.is(isInForce(holder), true);
  }));

// Guards against a series of new holders that repeatedly end lasting tasks under a slow store.
test('a holder whose heartbeats are not stored keeps its duty through notices to its peers', () =>
  runCase(async ({ faults, findHolder, listClaims, isInForce }, holder, clock) => {
    faults.withoutHeartbeats.add(holder);
    await clock.tickAsync(10 * SECOND_MS);
    assert.is(findHolder(), holder);
    assert.is(listClaims(), 1, 'no other instance has claimed');
    assert.is(isInForce(holder), true);
  }));

// Guards against peers that are not notified because their own heartbeats are not stored either.
test('a holder notifies peers of which it has had no report for a while', () =>
  runCase(async ({ faults, findHolder, listClaims }, holder, clock) => {
    NAMES.filter((name) => name !== NAMES.find((other) => other !== holder)).forEach((name) =>
      faults.withoutHeartbeats.add(name),
    );
    await clock.tickAsync(10 * SECOND_MS);
    assert.is(findHolder(), holder);
    assert.is(listClaims(), 1, 'no other instance has claimed');
  }));

// Guards against a task that runs twice, as a loop of the lost pool extends leases under its token.
test('a claim that was lost is not in force when the same instance holds the duty again', async () => {
  const clock = install({ now: 0 });
  const { fleet } = openFleet(['a']);
  const claims = fleet.get('a')!;
  await clock.tickAsync(3 * SECOND_MS);
  const lost = claims.held.value.get(DUTY)!;
  const wasInForce = claims.isInForce(lost);
  claims.dropDuty(DUTY, 'worker-fenced');
  const isInForceOnceDropped = claims.isInForce(lost);
  await clock.tickAsync(5 * SECOND_MS);
  const current = claims.held.value.get(DUTY)!;
  const areInForce = [lost, current].map(claims.isInForce);
  void claims.stop(() => false);
  clock.uninstall();
  assert.is(wasInForce, true);
  assert.ok(current.token > lost.token);
  assert.is(isInForceOnceDropped, false);
  assert.equal(areInForce, [false, true]);
});

// Guards against weak instances that claim every duty at the moment when the store recovers.
test('holders keep their duties when the store recovers for the others first', () =>
  runCase(async ({ faults, findHolder, listClaims }, holder, clock) => {
    NAMES.forEach((name) => faults.withoutStore.add(name));
    await clock.tickAsync(5 * SECOND_MS);
    faults.withoutStore.clear();
    faults.withoutStore.add(holder);
    await clock.tickAsync(SECOND_MS);
    faults.withoutStore.clear();
    await clock.tickAsync(5 * SECOND_MS);
    assert.is(findHolder(), holder);
    assert.is(listClaims(), 1, 'no other instance has claimed');
  }));

test('a step of the wall clock costs a holder its authority only until the next read', () =>
  runCase(async ({ isInForce, findHolder }, holder, clock) => {
    clock.setSystemTime(Date.now() + 4 * SECOND_MS);
    assert.is(isInForce(holder), false, 'the machine may have been suspended');
    await clock.tickAsync(SECOND_MS);
    assert.is(isInForce(holder), true);
    clock.setSystemTime(Date.now() - 4 * SECOND_MS);
    assert.is(isInForce(holder), true);
    await clock.tickAsync(5 * SECOND_MS);
    assert.is(findHolder(), holder);
    assert.is(isInForce(holder), true);
  }));

test('a holder keeps its authority without the store while every peer answers', () =>
  runCase(async ({ faults, isInForce }, holder, clock) => {
    NAMES.forEach((name) => faults.withoutStore.add(name));
    await clock.tickAsync(10 * SECOND_MS);
    assert.is(isInForce(holder), true);
  }));

// Guards against a task that runs twice, as the unresponsive peer may be the new holder.
test('a holder without the store loses authority before an unresponsive peer may claim', () =>
  runCase(async ({ faults, isInForce }, holder, clock) => {
    NAMES.forEach((name) => faults.withoutStore.add(name));
    faults.unresponsivePeers.add(NAMES.find((name) => name !== holder)!);
    await clock.tickAsync(SUCCESSION_MS);
    assert.is(isInForce(holder), false);
  }));

test('a holder that cannot reach the store loses its duty to an instance that can', () =>
  runCase(async ({ faults, findHolder, fleet }, holder, clock) => {
    faults.withoutStore.add(holder);
    await clock.tickAsync(5 * SECOND_MS);
    const successor = findHolder();
    assert.ok(successor !== undefined && successor !== holder, `held by ${successor}`);
    assert.is(fleet.get(holder)!.held.value.has(DUTY), false, 'the first holder has stopped');
    const claim = fleet.get(successor)!.held.value.get(DUTY)!;
    const query = fleet.get(successor)!.queryPredecessor(claim);
    await clock.tickAsync(SECOND_MS);
    assert.is((await Promise.race([query, NEVER])).hasStopped, true);
  }));

test.run();
