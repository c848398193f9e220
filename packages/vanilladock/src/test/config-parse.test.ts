/** Tests of the validation faults of a configuration: their position and their message. */
import { readFileSync } from 'node:fs';
import * as assert from 'uvu/assert';
import { suite } from 'uvu';
import { listWarnings, parseConfig } from '../lib/config/parse.js';

const TEXT = readFileSync(new URL('../../../../examples/smokehouse.yaml', import.meta.url), 'utf8');
const EXCEPTION_START = TEXT.split('\n').findIndex((line) => line.startsWith('exceptions:')) + 1;

const addException = (yaml: string) => `${TEXT}  - ${yaml}\n`;
const STALLS = 'scope: { team: market-stalls }';
const SIGNED = 'author: a.lee, reason: Trial week.';

/** An invalid document and the fault that must be reported. */
interface Case {
  readonly name: string;
  readonly text: string;
  readonly fault: string;
}

const CASES: readonly Case[] = [
  {
    name: 'an unknown key',
    text: TEXT.replace('  slots: 8', '  slotz: 8\n  slots: 8'),
    fault: '26:3 defaults: unknown key slotz; remove it or correct its spelling',
  },
  {
    name: 'a missing value with its unit',
    text: TEXT.replace('  deadlineMs: 10000\n', ''),
    fault: '22:3 defaults.deadlineMs: deadlineMs is missing; write a whole number of milliseconds',
  },
  {
    name: 'a number with a unit',
    text: TEXT.replace('leaveGraceMs: 2000', 'leaveGraceMs: 2s'),
    fault: '29:17 defaults.leaveGraceMs: this is not valid; write a whole number of milliseconds',
  },
  {
    name: 'a value above its maximum',
    text: TEXT.replace('leaveGraceMs: 2000', 'leaveGraceMs: 20000'),
    fault:
      '29:17 defaults.leaveGraceMs: too large; write at most 10000: a whole number of milliseconds',
  },
  {
    name: 'a share above 1',
    text: TEXT.replace('maxUnavailableShare: 0.25', 'maxUnavailableShare: 25'),
    fault:
      '33:24 defaults.maxUnavailableShare: too large; write at most 1: a share from 0 to 1, such as 0.25',
  },
  {
    name: 'a service whose pool does not exist',
    text: TEXT.replace('name: prices, pool: counter', 'name: prices, pool: desk'),
    fault:
      '12:27 services.0.pool: service prices names pool desk, which does not exist; write one of counter, kiln, logs, miscellaneous, or add the pool',
  },
  {
    name: 'a duplicate name',
    text: TEXT.replace('name: restaurants', 'name: fishmongers'),
    fault: '19:13 teams.1.name: the name fishmongers is already in teams; remove one or rename it',
  },
  {
    name: 'an exception for a team that does not exist',
    text: addException(`{ scope: { team: bakers }, set: { weight: 3 }, ${SIGNED} }`),
    fault: `${EXCEPTION_START + 5}:22 exceptions.1.scope.team: there is no team bakers; write one of fishmongers, restaurants, market-stalls, or remove the exception`,
  },
  {
    name: 'an exception that conflicts with another of the same scope',
    text: addException(`{ ${STALLS}, set: { weight: 3 }, ${SIGNED} }`),
    fault: `${EXCEPTION_START + 5}:54 exceptions.1.set.weight: exception 1 of the same scope, by j.tran, sets weight to 2; keep one of the two`,
  },
  {
    name: 'a missing reason',
    text: addException(`{ ${STALLS}, set: { slots: 3 }, author: a.lee }`),
    fault: `${EXCEPTION_START + 5}:5 exceptions.1.reason: reason is missing; write a string`,
  },
  {
    name: 'a blank reason',
    text: addException(`{ ${STALLS}, set: { slots: 3 }, author: a.lee, reason: " " }`),
    fault: `${EXCEPTION_START + 5}:81 exceptions.1.reason: write why this exception is needed`,
  },
  {
    name: 'a scope that names an instance',
    text: addException(`{ scope: { instance: i-7 }, set: { slots: 3 }, ${SIGNED} }`),
    fault: `${EXCEPTION_START + 5}:16 exceptions.1.scope: unknown key instance; remove it or correct its spelling`,
  },
  {
    name: 'an end date that is not a date',
    text: addException(`{ ${STALLS}, set: { slots: 3 }, ${SIGNED}, until: soon }`),
    fault: `${EXCEPTION_START + 5}:101 exceptions.1.until: not a date; write YYYY-MM-DD, such as 2027-03-31`,
  },
  {
    name: 'an unknown urgency',
    text: TEXT.replace('urgency: heavy', 'urgency: slow'),
    fault: '14:46 services.2.urgency: not a known value; write one of quick, heavy, patient',
  },
  {
    name: 'a second spare pool',
    text: TEXT.replace('{ name: logs }', '{ name: logs, spare: true }'),
    fault:
      '10:35 pools.3.spare: pool miscellaneous is a second spare pool; keep spare: true on one pool only',
  },
  {
    name: 'an empty window of hours',
    text: TEXT.replace('maintenanceHours: [0, 24]', 'maintenanceHours: [5, 5]'),
    fault:
      '36:21 defaults.maintenanceHours: the window from 5 to 5 is empty; write two different hours',
  },
  {
    name: 'an attribute scope without attributes',
    text: addException(`{ scope: { attributes: {} }, set: { slots: 3 }, ${SIGNED} }`),
    fault: `${EXCEPTION_START + 5}:28 exceptions.1.scope.attributes: no attribute is named; write one, such as generation: b, or leave this out`,
  },
  {
    name: 'a YAML syntax error',
    text: TEXT.replace('{ name: kiln }', '{ name: kiln'),
    fault:
      '9:3 : Flow map in block collection must be sufficiently indented and end with a }; correct the YAML here',
  },
  {
    name: 'a duplicate key',
    text: TEXT.replace('  slots: 8', '  slots: 8\n  slots: 9'),
    fault: '27:3 : Map keys must be unique; correct the YAML here',
  },
  {
    name: 'aliases that expand without bound',
    text: `a: &a [x, x, x, x, x, x, x, x, x, x]\nb: &b [*a, *a, *a, *a, *a, *a, *a, *a, *a, *a]\nc: [*b, *b, *b, *b, *b, *b, *b, *b, *b, *b, *b]\n`,
    fault: '1:1 : aliases expand too far; write the values out',
  },
];

const formatFaults = (text: string) =>
  parseConfig(text)
    .unwrapErr()
    .map(({ line, column, path, message }) => `${line}:${column} ${path}: ${message}`);

const test = suite('config faults');

CASES.forEach(({ name, text, fault }) => {
  test(`${name} is reported with its position and advice`, () => {
    const actual = formatFaults(text);
    assert.ok(actual.includes(fault), `expected ${fault}\nbut got ${actual.join('\n')}`);
  });
});

test('a past end date is a warning, not a fault, so that all readers agree at any date', () => {
  const text = addException(`{ ${STALLS}, set: { slots: 3 }, ${SIGNED}, until: 2026-01-31 }`);
  assert.ok(parseConfig(text).isOk());
  const [warning] = listWarnings(text, Date.UTC(2026, 10, 1));
  assert.match(warning?.message ?? '', 'the end date 2026-01-31 has passed');
  assert.is(warning?.line, EXCEPTION_START + 5);
  assert.equal(listWarnings(text, Date.UTC(2026, 0, 31)), []);
});

test('two exceptions of the same scope that set different values are allowed', () => {
  const text = addException(`{ ${STALLS}, set: { slots: 3 }, ${SIGNED} }`);
  assert.ok(parseConfig(text).isOk());
});

test.run();
