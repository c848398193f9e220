/** Tests of the configuration fold and resolution. */
import { readFileSync } from 'node:fs';
import * as assert from 'uvu/assert';
import { suite } from 'uvu';
import { createConfigState, foldConfig } from '../lib/config/fold.js';
import { parseConfig } from '../lib/config/parse.js';
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

test('of two publications from one base the first wins and the second is told by whom', () => {
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

test.run();
