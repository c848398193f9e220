/** Tests of membership from heartbeats, of usage reports and of the shares derived from them. */
import fc from 'fast-check';
import * as assert from 'uvu/assert';
import { suite } from 'uvu';
import {
  computeNextShare,
  computeSlotShares,
  spreadSlots,
} from '../../lib/admission/slot-shares.js';
import { createFleetDemand } from '../../lib/membership/fleet-demand.js';
import {
  checkHeartbeat,
  createMembership,
  foldHeartbeat,
  listLivePeers,
  listSharers,
  type Heartbeat,
} from '../../lib/membership/membership.js';
import { createUsageReport } from '../../lib/membership/usage-report.js';

const OWN_EPOCH = 77;
const TIMEOUT_MS = 3_500;
const PROPERTY = { seed: 11, numRuns: 100 };

const makeHeartbeat = (changes: Partial<Heartbeat>): Heartbeat => ({
  id: 'b',
  epoch: 5,
  receiverEpoch: OWN_EPOCH,
  sequence: 1,
  isLeaving: false,
  appliedOffset: 3,
  digest: 0,
  demand: new Map(),
  ...changes,
});

const test = suite('membership');

test('replayed heartbeats, earlier epochs and heartbeats for another receiver are rejected', () => {
  const first = foldHeartbeat(createMembership('a', OWN_EPOCH), makeHeartbeat({ sequence: 4 }), 0);
  assert.is(checkHeartbeat(first, makeHeartbeat({ sequence: 4 })), 'replayed');
  assert.is(checkHeartbeat(first, makeHeartbeat({ sequence: 3 })), 'replayed');
  const restarted = foldHeartbeat(first, makeHeartbeat({ epoch: 6, sequence: 1 }), 1);
  assert.is(checkHeartbeat(restarted, makeHeartbeat({ epoch: 5, sequence: 9 })), 'replayed');
  assert.is(checkHeartbeat(first, makeHeartbeat({ receiverEpoch: 1 })), 'unproved');
  assert.is(foldHeartbeat(first, makeHeartbeat({ receiverEpoch: 1 }), 2), first);
  assert.is(checkHeartbeat(first, makeHeartbeat({ id: 'a' })), 'own');
});

test('an unresponsive peer is lost after the timeout; only a majority takes over its share', () => {
  const ids = ['b', 'c', 'd'];
  const all = ids.reduce(
    (state, id) => foldHeartbeat(state, makeHeartbeat({ id }), 0),
    createMembership('a', OWN_EPOCH),
  );
  const updated = ['b', 'c'].reduce(
    (state, id) => foldHeartbeat(state, makeHeartbeat({ id, sequence: 2 }), 3_000),
    all,
  );
  assert.is(listLivePeers(updated, 3_400, TIMEOUT_MS).length, 3);
  assert.equal(
    listSharers(updated, 3_600, TIMEOUT_MS).map(({ id }) => id),
    ['b', 'c'],
  );
  assert.is(listLivePeers(updated, 9_000, TIMEOUT_MS).length, 0);
  assert.is(listSharers(updated, 9_000, TIMEOUT_MS).length, 3);
});

test('property: shares add up to the slots and fill every process exactly', () => {
  fc.assert(
    fc.property(
      fc.array(fc.nat(500), { minLength: 1, maxLength: 8 }),
      fc.integer({ min: 1, max: 9 }),
      (demands, count) => {
        const entries = demands.map((demand, index) => ({ id: `e${index}`, demand }));
        const processes = Array.from({ length: count }, (_, index) => `p${index}`);
        const shares = computeSlotShares('s', count * 8, entries);
        const sum = [...shares.values()].reduce((total, share) => total + share, 0);
        assert.is(sum, count * 8);
        processes.forEach((process) => {
          const given = entries.map(
            ({ id }) => spreadSlots(shares, id, processes).get(process) ?? 0,
          );
          assert.is(
            given.reduce((total, slots) => total + slots, 0),
            8,
          );
        });
      },
    ),
    PROPERTY,
  );
});

test('a share decreases at once and increases gradually', () => {
  assert.is(computeNextShare(20, 5, 10), 5);
  assert.is(computeNextShare(10, 40, 10), 13);
  assert.is(computeNextShare(0, 40, 10), 13);
});

test('an entry that joins or leaves changes the shares of the others', () => {
  const demand = createFleetDemand('a');
  const processes = ['p0', 'p1'];
  const sumOwn = () =>
    [...demand.computeOwnSlots('s', processes, 8).values()].reduce((sum, slots) => sum + slots, 0);
  assert.is(sumOwn(), 18);
  demand.observe('b', new Map([['s', 0]]));
  assert.is(sumOwn(), 9);
  demand.retain([]);
  assert.is(sumOwn(), 18);
});

test('reports have large changes first, omit unchanged values and repeat them after a time', () => {
  const report = createUsageReport();
  const demand = new Map([
    ['small', 2],
    ['large', 90],
    ['still', 0.05],
  ]);
  assert.equal(
    report.takeChanges(demand, 1, 0).map(({ team }) => team),
    ['large'],
  );
  assert.equal(
    report.takeChanges(demand, 5, 1_000).map(({ team }) => team),
    ['small'],
  );
  assert.is(report.takeChanges(demand, 5, 2_000).length, 0);
  assert.is(report.takeChanges(demand, 5, 40_000).length, 2);
  assert.equal(report.takeChanges(new Map([['small', 2]]), 5, 41_000), [
    { team: 'large', perSecond: 0 },
  ]);
});

test.run();
