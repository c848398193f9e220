/** Instances that are told to stop and go on with their duties until others have claimed them. */
import { install, type Clock } from '@sinonjs/fake-timers';
import * as assert from 'uvu/assert';
import { suite } from 'uvu';
import { encodeClaim } from 'vanilladock/lib/duties/claim-table.js';
import type { KeyedStore } from 'vanilladock/lib/ports/keyed-store.js';
import { createDutyClaims } from '../lib/jobs/duty-claims.js';
import type { DutyClaims } from '../lib/jobs/duty-claims-types.js';
import { CLAIMS } from '../lib/jobs/duty-partitions.js';
import { SILENT_LOG } from './job-fixtures.js';
import { NEVER } from './memory-store.js';
import { createPolledStore } from './polled-store.js';

const POOL_DUTY = 'pool/stalls';
const FLEET_DUTY = 'fleet';
const SECOND_MS = 1_000;
const STEP_MS = 10;

/** Time for which an instance that stops goes on with duties that nobody claims. */
const HOLD_MS = 2_500;

/** Says for a time that duties may be held. */
const makeHold = (ms: number) => {
  const untilMs = performance.now() + ms;
  return () => performance.now() < untilMs;
};

/** Instances on one store, which reach each other. */
const openFleet = () => {
  const store: KeyedStore = createPolledStore({ pickMs: () => 2, handleStored: () => {} });
  const fleet = new Map<string, DutyClaims>();
  const openInstance = (name: string, change: Partial<KeyedStore> = {}) => {
    const claims = createDutyClaims({
      store: { ...store, ...change },
      self: { id: `${name}~1`, name, address: name, cores: 1 },
      listDuties: () => [POOL_DUTY, FLEET_DUTY],
      isHandedOver: (duty) => duty !== FLEET_DUTY,
      handleContact: () => {},
      getStoreContactMs: () => performance.now(),
      sendNotice: async (peer, notice) => {
        const view = fleet.get(peer.name)?.answerNotice(notice);
        return view === undefined ? { kind: 'silent' } : { kind: 'answered', view };
      },
      findHandOver: () => undefined,
      log: SILENT_LOG,
    });
    fleet.set(name, claims);
    claims.start();
    return claims;
  };
  /** Counts the instances that may give orders for a duty. */
  const countHolders = (duty: string) =>
    [...fleet.values()].filter(({ held, isInForce }) => {
      const claim = held.value.get(duty);
      return claim !== undefined && isInForce(claim);
    }).length;
  return { store, openInstance, countHolders };
};

const runCase = async (run: (clock: Clock) => Promise<void>) => {
  const clock = install({ now: 0 });
  try {
    await run(clock);
  } finally {
    clock.uninstall();
  }
};

const test = suite('leaving instances');

// Guards against leases that lapse, as nobody plans a pool between the stop of one instance and the
// claim of the next.
test('a pool has an owner all the time while its instance stops', () =>
  runCase(async (clock) => {
    const { openInstance, countHolders } = openFleet();
    const first = openInstance('a');
    await clock.tickAsync(2 * SECOND_MS);
    assert.is(first.held.value.size, 2);
    const stopped = first.stop(makeHold(HOLD_MS));
    await clock.tickAsync(SECOND_MS);
    assert.is(first.held.value.has(POOL_DUTY), true, 'nobody else is there');
    const second = openInstance('b');
    let withoutOwnerMs = 0;
    for (let ms = 0; ms < HOLD_MS; ms += STEP_MS) {
      await clock.tickAsync(STEP_MS);
      if (countHolders(POOL_DUTY) === 0) withoutOwnerMs += STEP_MS;
    }
    await stopped;
    assert.is(withoutOwnerMs <= STEP_MS, true, `${withoutOwnerMs} ms without an owner`);
    assert.equal([...second.held.value.keys()].sort(), [FLEET_DUTY, POOL_DUTY]);
    assert.is(first.held.value.size, 0);
    void second.stop(() => false);
  }));

test('the fleet duty is given up at once, and a pool that nobody claims when the time is over', () =>
  runCase(async (clock) => {
    const { openInstance, countHolders } = openFleet();
    const only = openInstance('a');
    await clock.tickAsync(2 * SECOND_MS);
    const stopped = only.stop(makeHold(HOLD_MS));
    assert.equal([...only.held.value.keys()], [POOL_DUTY]);
    await clock.tickAsync(HOLD_MS - STEP_MS);
    assert.is(countHolders(POOL_DUTY), 1);
    await clock.tickAsync(SECOND_MS / 2);
    await stopped;
    assert.is(countHolders(POOL_DUTY), 0);
  }));

test('an instance that stops claims nothing, and none of those that are stopping is chosen to', () =>
  runCase(async (clock) => {
    const { openInstance, countHolders } = openFleet();
    const instances = ['a', 'b', 'c'].map((name) => openInstance(name));
    await clock.tickAsync(2 * SECOND_MS);
    const owner = instances.find(({ held }) => held.value.has(POOL_DUTY))!;
    const others = instances.filter((instance) => instance !== owner);
    const stops = [others[0]!, owner].map((each) => each.stop(makeHold(HOLD_MS)));
    await clock.tickAsync(SECOND_MS);
    assert.is(others[1]!.held.value.has(POOL_DUTY), true, 'held by the one that stays');
    assert.is(countHolders(POOL_DUTY), 1);
    await clock.tickAsync(HOLD_MS);
    await Promise.all(stops);
    void others[1]!.stop(() => false);
  }));

// Guards against a pool without an owner while processes are alive, as all of them are stopping.
test('an instance that stops claims a pool without a holder if no other instance can', () =>
  runCase(async (clock) => {
    const { openInstance, countHolders } = openFleet();
    const first = openInstance('a');
    await clock.tickAsync(2 * SECOND_MS);
    const second = openInstance('b');
    await clock.tickAsync(SECOND_MS);
    const stops = [first.stop(makeHold(SECOND_MS)), second.stop(makeHold(HOLD_MS))];
    assert.is(first.held.value.has(POOL_DUTY), true);
    await clock.tickAsync(2 * SECOND_MS);
    assert.is(second.held.value.has(POOL_DUTY), true, 'taken over when the first has left');
    assert.is(countHolders(POOL_DUTY), 1);
    await clock.tickAsync(SECOND_MS);
    await Promise.all(stops);
  }));

// Guards against two planners of a pool: an instance has answered that it has stopped, and then takes
// an older claim of its own, of which it has learned late.
test('an own claim that is older than one of which a peer has told is not taken any more', () =>
  runCase(async (clock) => {
    const { store, openInstance } = openFleet();
    const claims = openInstance('a', {
      append: (where, records, guard) => {
        const stored = store.append(where, records, guard);
        return where.partition === CLAIMS.partition ? stored.then(() => NEVER) : stored;
      },
    });
    await clock.tickAsync(SECOND_MS / 2);
    const member = { id: 'b~1', name: 'b', address: 'b', cores: 1 };
    const newer = [POOL_DUTY, FLEET_DUTY].map((duty) => ({ duty, holder: member.id, token: 99 }));
    claims.answerNotice({ member, storeAgeMs: 0, held: newer });
    await clock.tickAsync(2 * SECOND_MS);
    assert.equal([...claims.held.value.keys()], []);
    void claims.stop(() => false);
  }));

// Guards against a pool that loses its planner to a repeated release of the planner before.
test('a release that is tried again leaves out a duty that another instance has claimed since', () =>
  runCase(async (clock) => {
    const { store, openInstance } = openFleet();
    const first = openInstance('a');
    await clock.tickAsync(2 * SECOND_MS);
    const member = { id: 'b~1', name: 'b', address: 'b', cores: 1 };
    // Stored before the release, and not read yet when it is sent.
    void store.append(CLAIMS, [encodeClaim(POOL_DUTY, member)], { kind: 'none' });
    const stopped = first.stop(() => false);
    await clock.tickAsync(SECOND_MS);
    await stopped;
    const newest = store.readNewest(CLAIMS);
    await clock.tickAsync(SECOND_MS);
    const read = await newest;
    const records = read.kind === 'records' ? read.records : [];
    const claim = records.find(({ key }) => key === `duty/${POOL_DUTY}`);
    assert.match(claim?.value ?? '', member.id);
  }));

test.run();
