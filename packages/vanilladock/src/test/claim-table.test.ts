/** Tests of the claim table: claims, heartbeats and the choice of claimants. */
import * as assert from 'uvu/assert';
import { suite } from 'uvu';
import {
  chooseClaimants,
  createClaimTable,
  encodeClaim,
  encodeDeparture,
  encodeHeartbeat,
  encodeRelease,
  MEMBER_TTL_MS,
  type Member,
} from '../lib/duties/claim-table.js';

const test = suite('claim table');

const makeMember = (name: string, cores = 1, incarnation = 1): Member => ({
  id: `${name}~${incarnation}`,
  name,
  address: `10.0.0.1:${incarnation}`,
  cores,
});

test('a claim is live while heartbeats of its holder arrive', () => {
  const table = createClaimTable();
  table.apply({ ...encodeHeartbeat(makeMember('a')), offset: 0 }, 0);
  table.apply({ ...encodeClaim('d', makeMember('a')), offset: 7 }, 0);
  assert.is(table.findLiveClaim('d', 10)?.token, 7);
  assert.is(table.findLiveClaim('d', MEMBER_TTL_MS + 1), undefined);
});

test('a restarted holder does not hold the claim of its earlier incarnation', () => {
  const table = createClaimTable();
  table.apply({ ...encodeHeartbeat(makeMember('a')), offset: 0 }, 0);
  table.apply({ ...encodeClaim('d', makeMember('a')), offset: 1 }, 0);
  table.apply({ ...encodeHeartbeat(makeMember('a', 1, 2)), offset: 2 }, 5);
  assert.is(table.findLiveClaim('d', 10), undefined);
});

test('the newest claim wins whatever the order in which records are read', () => {
  const table = createClaimTable();
  table.apply({ ...encodeHeartbeat(makeMember('b')), offset: 0 }, 0);
  table.apply({ ...encodeClaim('d', makeMember('b')), offset: 9 }, 0);
  table.apply({ ...encodeClaim('d', makeMember('a')), offset: 3 }, 0);
  assert.is(table.findLiveClaim('d', 1)?.holder, 'b~1');
});

test('a claim counts as a heartbeat of its holder unless a later incarnation is known', () => {
  const table = createClaimTable();
  table.apply({ ...encodeClaim('d', makeMember('a')), offset: 1 }, 0);
  assert.is(table.findLiveClaim('d', 10)?.token, 1, 'no heartbeat was read yet');
  assert.is(table.findMember('a~1', 10)?.address, makeMember('a').address);
  const restarted = createClaimTable();
  restarted.apply({ ...encodeHeartbeat(makeMember('a', 1, 2)), offset: 0 }, 0);
  restarted.apply({ ...encodeClaim('d', makeMember('a')), offset: 1 }, 5);
  assert.is(restarted.findLiveClaim('d', 10), undefined);
});

test('a released duty is unclaimed and a departed member unlisted at once', () => {
  const table = createClaimTable();
  table.apply({ ...encodeHeartbeat(makeMember('a')), offset: 0 }, 0);
  table.apply({ ...encodeClaim('d', makeMember('a')), offset: 1 }, 0);
  table.apply({ ...encodeRelease({ duty: 'd', holder: 'a~1', token: 1 }), offset: 2 }, 1);
  assert.is(table.findLiveClaim('d', 2), undefined);
  table.apply({ ...encodeDeparture(makeMember('a')), offset: 3 }, 2);
  assert.equal(table.listMembers(3), []);
});

test('unclaimed duties go to the members with the lowest load relative to their cores', () => {
  const members = [makeMember('small', 0.3), makeMember('big', 1.2), makeMember('mid', 0.6)];
  const chosen = chooseClaimants(['d1', 'd2', 'd3'], new Map(), members);
  assert.not([...chosen.values()].includes('small~1'));
  assert.is([...chosen.values()].filter((id) => id === 'big~1').length, 2);
});

// Guards against a restarted instance that loses its duties to a departure stored late.
test('a departure that is stored late does not remove the next incarnation', () => {
  const table = createClaimTable();
  const restarted = { ...makeMember('a'), id: 'a~2' };
  table.apply({ ...encodeHeartbeat(restarted), offset: 1 }, 0);
  table.apply({ ...encodeDeparture(makeMember('a')), offset: 2 }, 1);
  assert.equal(table.listMembers(2), [restarted]);
});

test('a record of the duties that cannot be read is reported and has no effect', () => {
  const table = createClaimTable();
  ['{', 'null', '[]', '{"holder":7}', '{"id":"a~1","name":"a"}'].forEach((value, offset) => {
    assert.not(table.apply({ key: 'duty/fleet', value, offset }, 1), value);
    assert.not(table.apply({ key: 'member/a', value, offset }, 1), value);
  });
  assert.is(table.findClaim('fleet'), undefined);
  assert.equal(table.listMembers(1), []);
});

test.run();
