/** Tests of the fleet's state: digests, repeated and unknown records, snapshots and retention. */
import { readFileSync } from 'node:fs';
import * as assert from 'uvu/assert';
import { suite } from 'uvu';
import type { ClaimRecord } from '../lib/duties/records.js';
import { encodeRecord, RECORD_KINDS } from '../lib/log/codec.js';
import { findFirstDifference } from '../lib/log/digests.js';
import { createFleetState, foldFleet, type FleetState } from '../lib/log/fleet-state.js';
import { RECENT_KEYS_KEPT } from '../lib/log/recent-keys.js';
import { buildSnapshot, PART_LENGTH, loadFleet } from '../lib/log/snapshot.js';
import { decodeFleetState, encodeFleetState } from '../lib/log/state-codec.js';
import type { StoredRecord } from '../lib/ports/log-service.js';

const TEXT = readFileSync(new URL('../../../../examples/smokehouse.yaml', import.meta.url), 'utf8');
const RECORDS_PAGE = readFileSync(new URL('../../../../docs/RECORDS.md', import.meta.url), 'utf8');

const makeHead = (id: string) => ({ version: 1, id, by: 'entry-1', at: 0 }) as const;
const makeClaim = (id: string, duty: string, follows: number): ClaimRecord => ({
  ...makeHead(id),
  kind: 'duty.claim',
  duty,
  follows,
  leaseMs: 1000,
});
const makePublication = (id: string, base: number, text = TEXT) =>
  encodeRecord({ ...makeHead(id), kind: 'config.publication', base, text });
const makeStored = (texts: readonly string[], first = 0): readonly StoredRecord[] =>
  texts.map((text, index) => ({ offset: first + index, text }));
const foldAll = (records: readonly StoredRecord[], from = createFleetState()): FleetState =>
  records.reduce(foldFleet, from);
/** Makes a text that compresses badly, so that a snapshot has several parts. */
const makeLongText = () => {
  const lines = Array.from({ length: 4000 }, (_, index) => `# ${(index * 2654435761) % 2 ** 32}`);
  return `${TEXT}${lines.join('\n')}\n`;
};

const test = suite('fleet state');

test('equal prefixes give equal digests, and a different record changes all later digests', () => {
  const texts = [makePublication('a', -1), encodeRecord(makeClaim('b', 'x', -1)), 'noise'];
  const expected = foldAll(makeStored(texts));
  assert.is(foldAll(makeStored(texts)).digest, expected.digest);
  const changed = foldAll(makeStored([texts[0] ?? '', 'other noise', texts[2] ?? '']));
  assert.is.not(changed.digest, expected.digest);
});

test('a record with a repeated id has no effect, even if its content differs', () => {
  const state = foldAll(
    makeStored([
      encodeRecord(makeClaim('same', 'x', -1)),
      encodeRecord(makeClaim('same', 'y', -1)),
    ]),
  );
  assert.equal([...state.duties.claims.keys()], ['x']);
  assert.is(state.next, 2);
});

test('the number of remembered keys is bounded and at least the specified minimum', () => {
  const claims = Array.from({ length: 3 * RECENT_KEYS_KEPT }, (_, index) =>
    encodeRecord(makeClaim(`id-${index}`, 'x', 5)),
  );
  const { recentKeys } = foldAll(makeStored(claims));
  const held = recentKeys.newer.size + recentKeys.older.size;
  assert.ok(held >= RECENT_KEYS_KEPT && held <= 2 * RECENT_KEYS_KEPT, `held ${held}`);
});

test('records of unknown kinds or newer versions and malformed records are skipped', () => {
  const malformed = [
    '{"kind":"config.publication","version":2,"id":"a","by":"x","at":0,"base":-1}',
    '{"kind":"weather","version":1,"id":"b","by":"x","at":0}',
    '{"kind":"config.publication","version":1,"id":"c","by":"x","at":0,"base":-1,"text":7}',
    '{"kind":"duty.claim","version":1}',
    'null',
    '[]',
    '',
  ];
  const state = foldAll(makeStored([...malformed, makePublication('d', -1)]));
  assert.is(state.config.version, malformed.length);
});

test('an encoded state decodes to an equal state, and a corrupt text is rejected', () => {
  const state = foldAll(
    makeStored([makePublication('a', -1), encodeRecord(makeClaim('b', 'x', -1))]),
  );
  const text = encodeFleetState(state);
  const decoded = decodeFleetState(text);
  assert.is(encodeFleetState(decoded ?? createFleetState()), text);
  assert.is(decoded?.config.fates.get('a')?.kind, 'accepted');
  const next = { offset: 2, text: encodeRecord(makeClaim('c', 'x', 1)) };
  assert.is(foldFleet(decoded ?? createFleetState(), next).digest, foldFleet(state, next).digest);
  assert.is(decodeFleetState(`${text.slice(0, -8)}AAAAAAAA`), undefined);
});

test('a reader of a truncated log starts from the snapshot and computes the same digest', () => {
  const before = makeStored([
    makePublication('a', -1, makeLongText()),
    encodeRecord(makeClaim('b', 'x', -1)),
  ]);
  const parts = buildSnapshot(foldAll(before), makeHead('snap'));
  assert.ok(parts.length > 1, `needs several parts of ${PART_LENGTH}`);
  const tail = [...parts.map(encodeRecord), makePublication('c', 0), 'noise'];
  const records = [...before, ...makeStored(tail, before.length)];
  const complete = foldAll(records);
  assert.is(loadFleet(records.slice(1), 1)?.digest, complete.digest);
  assert.is(loadFleet(records.slice(2), 2)?.config.version, complete.config.version);
  assert.is(loadFleet(records.slice(3), 3), undefined, 'a snapshot without its first part');
});

test('a log that has dropped all records gives no state', () => {
  assert.is(loadFleet([], 2), undefined);
  assert.is(loadFleet([], 0)?.next, 0);
});

test('a publication based on no version is superseded on a truncated log', () => {
  const before = makeStored([makePublication('a', -1)]);
  const snapshot = buildSnapshot(foldAll(before), makeHead('snap')).map(encodeRecord);
  const tail = makeStored([makePublication('stale', -1), ...snapshot], 1);
  const restored = loadFleet(tail, 1);
  assert.is(restored?.config.publicationId, 'a');
  assert.is(restored?.config.fates.get('stale')?.kind, 'superseded');
});

test('finds the first offset at which the digests of two entries differ', () => {
  const own = [1, 2, 3, 4].map((offset) => ({ offset, digest: `d${offset}` }));
  const other = own.map(({ offset, digest }) => ({
    offset: offset + 1,
    digest: offset < 2 ? 'd2' : `${digest}x`,
  }));
  assert.is(findFirstDifference(own, other), 3);
  assert.is(findFirstDifference(own, own), undefined);
});

test('every kind of record is described in docs/RECORDS.md', () => {
  const missing = [...RECORD_KINDS].filter((kind) => !RECORDS_PAGE.includes(`\`${kind}\``));
  assert.equal(missing, []);
});

test.run();
