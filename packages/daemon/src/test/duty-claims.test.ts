/** Claims of duties in a store whose reads are slower than its appends, with fake timers. */
import { install } from '@sinonjs/fake-timers';
import * as assert from 'uvu/assert';
import { suite } from 'uvu';
import { createClaimTable, encodeClaim } from 'vanilladock/lib/duties/claim-table.js';
import type {
  KeyedRecord,
  KeyedStore,
  StoredKeyedRecord,
} from 'vanilladock/lib/ports/keyed-store.js';
import { waitMs } from '../lib/jobs/clock.js';
import { SELF, startClaims } from './duty-claims-scene.js';

const SECOND_MS = 1_000;

const HEARTBEAT = { key: 'member/entry-0', value: JSON.stringify(SELF), offset: 1 };

/** Makes reads that take 100 ms for the claims; the heartbeat is read at once. */
const makeRead =
  (claims: readonly StoredKeyedRecord[]): KeyedStore['read'] =>
  async ({ partition }, from) => {
    if (partition === 1) return { kind: 'records', records: [HEARTBEAT], next: 2, end: 2 };
    await waitMs(100);
    const end = claims.length;
    return { kind: 'records', records: claims.slice(from), next: end, end };
  };

const test = suite('duty claims');

test('a claim that lost to another one is not repeated before that one has been read', async () => {
  const clock = install({ now: 0 });
  let claims = 0;
  const store: KeyedStore = {
    append: (where) => {
      if (where.partition !== 0) return Promise.resolve({ kind: 'stored', offset: 1, end: 2 });
      claims += 1;
      return Promise.resolve({ kind: 'end-moved', end: 7 });
    },
    read: ({ partition }) =>
      partition === 0
        ? new Promise(() => {})
        : Promise.resolve({ kind: 'records', records: [HEARTBEAT], next: 2, end: 2 }),
    readNewest: () => Promise.resolve({ kind: 'records', records: [], end: 6 }),
  };
  const dutyClaims = startClaims(store);
  await clock.tickAsync(2 * SECOND_MS);
  void dutyClaims.stop(() => false);
  clock.uninstall();
  assert.ok(claims > 0, 'no claim at all');
  assert.ok(claims <= 8, `${claims} claims in two seconds`);
});

// Guards against a pool without a planner, whose claim was stored although the response to it was
// lost.
test('a claim without a response is held once it is read back', async () => {
  const clock = install({ now: 0 });
  const claims: StoredKeyedRecord[] = [];
  const store: KeyedStore = {
    append: ({ partition }, records) => {
      if (partition !== 0) return Promise.resolve({ kind: 'stored', offset: 1, end: 2 });
      claims.push(...records.map((record) => ({ ...record, offset: claims.length })));
      return Promise.resolve({ kind: 'unknown', reason: 'timeout' });
    },
    read: makeRead(claims),
    readNewest: () => Promise.resolve({ kind: 'records', records: [], end: 0 }),
  };
  const dutyClaims = startClaims(store);
  await clock.tickAsync(2 * SECOND_MS);
  const held = dutyClaims.held.value.get('pool/stalls');
  dutyClaims.dropDuty('pool/stalls', 'worker-fenced');
  await clock.tickAsync(SECOND_MS / 10);
  const heldAfterDrop = dutyClaims.held.value.get('pool/stalls');
  await clock.tickAsync(2 * SECOND_MS);
  const heldLater = dutyClaims.held.value.get('pool/stalls');
  void dutyClaims.stop(() => false);
  clock.uninstall();
  assert.is(held?.token, 0, 'the instance holds the claim that the store has');
  assert.is(heldAfterDrop, undefined, 'a claim that was given up is not held again');
  assert.ok(
    (heldLater?.token ?? 0) > 0,
    'the duty is claimed anew, as no other instance can claim it',
  );
});

// Guards against a pool that loses its planner to the release of the planner before.
test('a release that is stored late does not free the claim of the successor', async () => {
  const clock = install({ now: 0 });
  const claims: StoredKeyedRecord[] = [];
  const addRecords = (records: readonly KeyedRecord[]) =>
    claims.push(...records.map((record, index) => ({ ...record, offset: claims.length + index })));
  let isLate = false;
  const store: KeyedStore = {
    append: async ({ partition }, records, guard) => {
      if (partition !== 0) return { kind: 'stored', offset: 1, end: 2 };
      if (isLate) await waitMs(2 * SECOND_MS);
      if (guard.kind === 'end' && guard.offset !== claims.length) {
        return { kind: 'end-moved', end: claims.length };
      }
      const offset = claims.length;
      addRecords(records);
      return { kind: 'stored', offset, end: claims.length };
    },
    read: makeRead(claims),
    readNewest: () => Promise.resolve({ kind: 'records', records: [], end: 0 }),
  };
  const dutyClaims = startClaims(store);
  await clock.tickAsync(2 * SECOND_MS);
  assert.is(dutyClaims.held.value.size, 1);
  isLate = true;
  const stopped = dutyClaims.stop(() => false);
  const successor = { ...SELF, id: 'entry-1~1', name: 'entry-1' };
  addRecords([encodeClaim('pool/stalls', successor)]);
  await clock.tickAsync(4 * SECOND_MS);
  await stopped;
  clock.uninstall();
  assert.match(claims.at(-1)?.value ?? '', successor.id);
});

// Guards against a pool without a planner, whose claim was under way when its claimant stopped.
test('a claim that is stored during the stop of its claimant leaves the duty free', async () => {
  const clock = install({ now: 0 });
  const claims: StoredKeyedRecord[] = [];
  const table = createClaimTable();
  let isClaiming = false;
  const store: KeyedStore = {
    append: async ({ partition }, records, guard) => {
      if (partition !== 0) {
        records.forEach((record) => table.apply({ ...record, offset: 1 }, performance.now()));
        return { kind: 'stored', offset: 1, end: 2 };
      }
      isClaiming = true;
      await waitMs(SECOND_MS / 5);
      const offset = claims.length;
      if (guard.kind === 'end' && guard.offset !== offset)
        return { kind: 'end-moved', end: offset };
      claims.push(...records.map((record) => ({ ...record, offset })));
      claims.slice(offset).forEach((record) => table.apply(record, performance.now()));
      return { kind: 'stored', offset, end: claims.length };
    },
    read: makeRead(claims),
    readNewest: () => Promise.resolve({ kind: 'records', records: [], end: 0 }),
  };
  const dutyClaims = startClaims(store);
  while (!isClaiming) await clock.tickAsync(10);
  const stopped = dutyClaims.stop(() => false);
  await clock.tickAsync(SECOND_MS);
  await stopped;
  const liveClaim = table.findLiveClaim('pool/stalls', performance.now());
  clock.uninstall();
  assert.is(claims.length > 0, true, 'the claim was stored');
  assert.is(liveClaim, undefined, 'no process holds the duty');
});

// Guards against a process that spends the processor time of its last answers on reading the store.
test('nothing is read after the release', async () => {
  const clock = install({ now: 0 });
  let reads = 0;
  const store: KeyedStore = {
    append: () => Promise.resolve({ kind: 'stored', offset: 1, end: 2 }),
    read: async (_, from) => {
      reads += 1;
      await waitMs(100);
      return { kind: 'records', records: [], next: from, end: from };
    },
    readNewest: () => Promise.resolve({ kind: 'records', records: [], end: 0 }),
  };
  const dutyClaims = startClaims(store);
  await clock.tickAsync(SECOND_MS);
  const stopped = dutyClaims.stop(() => false);
  await clock.tickAsync(SECOND_MS);
  await stopped;
  const before = reads;
  await clock.tickAsync(2 * SECOND_MS);
  clock.uninstall();
  assert.is(reads, before);
});

test.run();
