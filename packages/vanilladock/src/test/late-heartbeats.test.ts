/** Heartbeats that the store carries out after the process that sent them has gone. */
import * as assert from 'uvu/assert';
import { suite } from 'uvu';
import {
  createClaimTable,
  encodeClaim,
  encodeDeparture,
  encodeHeartbeat,
  type Member,
} from '../lib/duties/claim-table.js';

const test = suite('late heartbeats');

const makeMember = (incarnation: number): Member => ({
  id: `a~${incarnation}`,
  name: 'a',
  address: '10.0.0.1:1',
  cores: 1,
});

test('a heartbeat that is stored after the departure does not bring its sender back', () => {
  const table = createClaimTable();
  table.apply({ ...encodeHeartbeat(makeMember(1)), offset: 0 }, 0);
  table.apply({ ...encodeClaim('d', makeMember(1)), offset: 1 }, 0);
  table.apply({ ...encodeDeparture(makeMember(1)), offset: 2 }, 1);
  table.apply({ ...encodeHeartbeat(makeMember(1)), offset: 3 }, 2);
  assert.equal([table.listMembers(3), table.findLiveClaim('d', 3)], [[], undefined]);
});

test('a heartbeat that is stored late does not remove the next incarnation', () => {
  const table = createClaimTable();
  table.apply({ ...encodeHeartbeat(makeMember(2)), offset: 0 }, 0);
  table.apply({ ...encodeClaim('d', makeMember(2)), offset: 1 }, 0);
  table.apply({ ...encodeHeartbeat(makeMember(1)), offset: 2 }, 1);
  assert.is(table.findLiveClaim('d', 2)?.holder, 'a~2');
});

test('an incarnation with an earlier start replaces one that is not alive any more', () => {
  const table = createClaimTable();
  table.apply({ ...encodeHeartbeat(makeMember(2)), offset: 0 }, 0);
  table.apply({ ...encodeHeartbeat(makeMember(1)), offset: 1 }, 1_801);
  assert.equal(
    table.listMembers(1_801).map(({ id }) => id),
    ['a~1'],
  );
});

test.run();
