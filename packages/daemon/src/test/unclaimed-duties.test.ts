/** Duties that an instance has given up while its peers still regard its claim as live. */
import { install } from '@sinonjs/fake-timers';
import * as assert from 'uvu/assert';
import { suite } from 'uvu';
import { encodeClaim, encodeHeartbeat } from 'vanilladock/lib/duties/claim-table.js';
import type { KeyedStore, StoredKeyedRecord } from 'vanilladock/lib/ports/keyed-store.js';
import { SELF, startClaims } from './duty-claims-scene.js';

const LARGER = { id: 'entry-1~1', name: 'entry-1', address: '127.0.0.1:2', cores: 8 };
const DUTIES = ['pool/a', 'pool/b', 'pool/c', 'pool/d', 'pool/e', 'pool/f'];
const SECOND_MS = 1_000;
const HEARTBEATS = [SELF, LARGER].map((member, offset) => ({
  ...encodeHeartbeat(member),
  offset,
}));

/** A store in which `SELF` has claimed all duties. */
const createStore = (): KeyedStore => {
  const claims: StoredKeyedRecord[] = DUTIES.map((duty, offset) => ({
    ...encodeClaim(duty, SELF),
    offset,
  }));
  const wait = () =>
    new Promise((resolve) => {
      setTimeout(resolve, 50);
    });
  return {
    append: ({ partition }, added) => {
      const offset = claims.length;
      if (partition === 0) added.forEach((record) => claims.push({ ...record, offset }));
      return Promise.resolve({ kind: 'stored', offset, end: claims.length });
    },
    read: async ({ partition }, from) => {
      await wait();
      if (partition === 1) return { kind: 'records', records: HEARTBEATS, next: 2, end: 2 };
      const end = claims.length;
      return { kind: 'records', records: claims.slice(from), next: end, end };
    },
    readNewest: async ({ partition }) => {
      await wait();
      return partition === 1
        ? { kind: 'records', records: HEARTBEATS, end: 2 }
        : { kind: 'records', records: [...claims], end: claims.length };
    },
  };
};

const test = suite('unclaimed duties');

test('a duty that a small instance gave up has no holder, as only that instance can claim it', async () => {
  const clock = install({ now: 0 });
  const dutyClaims = startClaims(createStore(), {
    listDuties: () => DUTIES,
    getStoreContactMs: () => performance.now(),
  });
  await clock.tickAsync(2 * SECOND_MS);
  const heldCount = dutyClaims.held.value.size;
  dutyClaims.dropDuty('pool/a', 'worker-fenced');
  await clock.tickAsync(SECOND_MS);
  const reclaimed = dutyClaims.held.value.get('pool/a');
  void dutyClaims.stop(() => false);
  clock.uninstall();
  assert.is(heldCount, DUTIES.length);
  assert.is(reclaimed?.token, DUTIES.length);
});

test.run();
