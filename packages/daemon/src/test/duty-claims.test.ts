/** Claims of duties against a store whose reads are slower than its appends, on a paused clock. */
import { install } from '@sinonjs/fake-timers';
import * as assert from 'uvu/assert';
import { suite } from 'uvu';
import type { KeyedStore } from 'vanilladock/lib/ports/keyed-store.js';
import { createDutyClaims } from '../lib/jobs/duty-claims.js';

const SELF = { id: 'entry-0~1', name: 'entry-0', address: '127.0.0.1:1', cores: 1 };
const SECOND_MS = 1_000;
const SILENT_LOG = { info: () => {}, warn: () => {}, error: () => {} };

const HEARTBEAT = { key: 'member/entry-0', value: JSON.stringify(SELF), offset: 1 };

const test = suite('duty claims');

test('a claim that another one came before waits until that one was read', async () => {
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
  const duties = createDutyClaims({
    store,
    self: SELF,
    listDuties: () => ['pool/stalls'],
    handleContact: () => {},
    log: SILENT_LOG,
  });
  duties.start();
  await clock.tickAsync(2 * SECOND_MS);
  void duties.stop();
  clock.uninstall();
  assert.ok(claims > 0, 'no claim at all');
  assert.ok(claims <= 8, `${claims} claims in two seconds`);
});

test.run();
