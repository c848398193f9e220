/** Instances that are told to stop and give up their duties. */
import { install, type Clock } from '@sinonjs/fake-timers';
import * as assert from 'uvu/assert';
import { suite } from 'uvu';
import { encodeClaim } from 'vanilladock/lib/duties/claim-table.js';
import type { KeyedStore } from 'vanilladock/lib/ports/keyed-store.js';
import { createDutyClaims, type DutyClaims } from '../lib/jobs/duty-claims.js';
import { CLAIMS } from '../lib/jobs/duty-partitions.js';
import { SILENT_LOG } from './job-fixtures.js';
import { createPolledStore } from './polled-store.js';

const POOL_DUTY = 'pool/stalls';
const FLEET_DUTY = 'fleet';
const SECOND_MS = 1_000;
/** Instances on one store, which reach each other. */
const openFleet = () => {
  const store: KeyedStore = createPolledStore({ pickMs: () => 2, handleStored: () => {} });
  const fleet = new Map<string, DutyClaims>();
  const openInstance = (name: string) => {
    const claims = createDutyClaims({
      store,
      self: { id: `${name}~1`, name, address: name, cores: 1 },
      listDuties: () => [POOL_DUTY, FLEET_DUTY],
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
  return { store, openInstance };
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

// Guards against a pool that loses its planner to a repeated release of the planner before.
test('a release that is tried again leaves out a duty that another instance has claimed since', () =>
  runCase(async (clock) => {
    const { store, openInstance } = openFleet();
    const first = openInstance('a');
    await clock.tickAsync(2 * SECOND_MS);
    const member = { id: 'b~1', name: 'b', address: 'b', cores: 1 };
    // Stored before the release, and not read yet when it is sent.
    void store.append(CLAIMS, [encodeClaim(POOL_DUTY, member)], { kind: 'none' });
    const stopped = first.stop();
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
