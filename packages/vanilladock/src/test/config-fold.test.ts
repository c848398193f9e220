/** Tests of the configuration fold and resolution. */
import { readFileSync } from 'node:fs';
import * as assert from 'uvu/assert';
import { suite } from 'uvu';
import { createConfigState, MAX_OUTCOMES_KEPT, foldConfig } from '../lib/config/fold.js';
import { parseConfig } from '../lib/config/parse.js';
import { diffConfigs } from '../lib/config/diff.js';
import { explainPath } from '../lib/config/explain-path.js';
import type { PublicationRecord } from '../lib/config/records.js';
import { explainValues, resolveValues } from '../lib/config/resolve.js';

const TEXT = readFileSync(new URL('../../../../examples/smokehouse.yaml', import.meta.url), 'utf8');
const NOW_MS = Date.UTC(2026, 10, 1);

const buildPublication = (id: string, base: number): PublicationRecord => ({
  kind: 'config.publication',
  version: 1,
  id,
  by: id,
  at: 0,
  base,
  text: TEXT,
});

const test = suite('config');

test('the first of two publications with the same base wins, and the outcome of the second names it', () => {
  const first = foldConfig(createConfigState(), { offset: 3, record: buildPublication('ada', -1) });
  const second = foldConfig(first, { offset: 4, record: buildPublication('bo', -1) });
  assert.is(second.version, 3);
  assert.equal(second.fates.get('bo'), { kind: 'superseded', winnerId: 'ada', winnerBy: 'ada' });
});

test('a repeated append of an accepted publication changes nothing', () => {
  const first = foldConfig(createConfigState(), { offset: 3, record: buildPublication('ada', -1) });
  assert.is(foldConfig(first, { offset: 9, record: buildPublication('ada', -1) }), first);
});

test('an exception overrides the default and is named as the origin', () => {
  const config = parseConfig(TEXT).unwrap();
  const values = resolveValues(config, { team: 'market-stalls' }, NOW_MS);
  assert.is(values.weight, 2);
  const explained = explainValues(config, { team: 'market-stalls' }, NOW_MS);
  const weight = explained.find(({ name }) => name === 'weight');
  assert.is(weight?.origin.kind, 'exception');
});

test('a missing reason is reported with line, column and advice', () => {
  const faults = parseConfig(TEXT.replace(/reason: .*/, 'reason: " "')).unwrapErr();
  assert.is(faults[0]?.path, 'exceptions.0.reason');
  assert.match(faults[0]?.message ?? '', 'write why');
  assert.ok((faults[0]?.line ?? 0) > 1);
});

test('outcomes and history are bounded and keep the newest', () => {
  const count = MAX_OUTCOMES_KEPT + 10;
  let state = createConfigState();
  for (let offset = 0; offset < count; offset += 1) {
    state = foldConfig(state, { offset, record: buildPublication(`p${offset}`, state.version) });
  }
  assert.is(state.fates.size, MAX_OUTCOMES_KEPT);
  assert.is(state.history.size, MAX_OUTCOMES_KEPT);
  assert.is(state.history.last()?.id, `p${count - 1}`);
  assert.is(state.version, count - 1);
});

test('a diff lists the changes and how much of the fleet each affects', () => {
  const before = parseConfig(TEXT).unwrap();
  const after = parseConfig(
    TEXT.replace('slots: 8', 'slots: 6')
      .replace('set: { weight: 2 }', 'set: { weight: 3 }')
      .replace('  - { name: restaurants }\n', '') +
      '  - { scope: { pool: counter }, set: { canaries: 2 }, author: a.lee, reason: New racks. }\n',
  ).unwrap();
  const changes = diffConfigs(before, after);
  assert.equal(
    changes.map(({ kind, path, touched }) => [kind, path, touched.services, touched.teams]),
    [
      ['removed', 'teams.restaurants', 0, 1],
      ['changed', 'defaults.slots', 5, 2],
      ['changed', 'exceptions[team=market-stalls].weight', 5, 1],
      ['added', 'exceptions[pool=counter].canaries', 2, 2],
    ],
  );
  assert.equal(diffConfigs(before, before), []);
});

test('a path is explained with its origin, and a wrong path with advice', () => {
  const config = parseConfig(TEXT).unwrap();
  const [weight] = explainPath(config, 'teams.market-stalls.weight', NOW_MS).unwrap();
  assert.is(weight?.value, 2);
  assert.is(weight?.origin.kind === 'exception' && weight.origin.exception.author, 'j.tran');
  assert.is(explainPath(config, 'defaults.weight', NOW_MS).unwrap()[0]?.value, 1);
  assert.is(explainPath(config, 'services.prices', NOW_MS).unwrap().length > 10, true);
  assert.match(explainPath(config, 'teams.bakers.weight', NOW_MS).unwrapErr(), 'has no bakers');
  assert.match(
    explainPath(config, 'teams.market-stalls.wait', NOW_MS).unwrapErr(),
    'no value wait',
  );
  assert.match(explainPath(config, 'instances.i-1', NOW_MS).unwrapErr(), 'write defaults');
});

test.run();
