/** Failures that a wrong decision on a key would cause: late use of a revoked key, refused good ones. */
import * as assert from 'uvu/assert';
import { suite } from 'uvu';
import { createConfigFreshness } from '../../lib/teams/config-freshness.js';
import { checkKey, type KeyCheckInputs } from '../../lib/teams/key-check.js';
import { createTeamDirectory, makeKeyLabel } from '../../lib/teams/team-directory.js';

const test = suite('key check');

const LIMIT = { cores: 0, memoryMb: 0, accelerators: 0 };
const makeDirectory = (...keys: readonly string[]) =>
  createTeamDirectory([{ team: { name: 'fishmongers', jobsPerSecond: 1, limit: LIMIT }, keys }]);

const REVOCATION_MS = 5_000;
const APPLY_MS = 3_000;
const INPUTS: KeyCheckInputs = {
  isPublic: false,
  directory: makeDirectory('good'),
  presented: { kind: 'key', key: 'good' },
  configAgeMs: 100,
  attemptMs: 2_000,
  bounds: { revocationMs: REVOCATION_MS, applyMs: APPLY_MS },
};

test('a good key runs, with the rest of the bound as its time', () => {
  const decision = checkKey(INPUTS);
  assert.is(decision.kind, 'member');
  assert.is(decision.kind === 'member' && decision.remainingMs <= REVOCATION_MS, true);
});

test('a call without teams in the configuration or on a public route needs no key', () => {
  assert.is(
    checkKey({ ...INPUTS, directory: undefined, presented: { kind: 'none' } }).kind,
    'open',
  );
  const publicCall = { ...INPUTS, isPublic: true, configAgeMs: Infinity };
  assert.is(checkKey({ ...publicCall, presented: { kind: 'none' } }).kind, 'open');
});

test('calls without a usable key are refused at once, whatever the age', () => {
  const explainRefusal = (change: Partial<KeyCheckInputs>) => {
    const decision = checkKey({ ...INPUTS, ...change });
    return decision.kind === 'refused' ? decision.why : decision.kind;
  };
  assert.is(explainRefusal({ presented: { kind: 'none' }, configAgeMs: Infinity }), 'no-key');
  assert.is(
    explainRefusal({ presented: { kind: 'malformed', why: 'two-headers' } }),
    'malformed-key',
  );
  assert.is(explainRefusal({ presented: { kind: 'key', key: 'GOOD' } }), 'unknown-key');
  assert.is(explainRefusal({ directory: makeDirectory() }), 'unknown-key');
});

test('an unknown key is not called bad by a configuration that may be older than the key', () => {
  const unknown = { ...INPUTS, presented: { kind: 'key', key: 'new' } } as const;
  assert.is(checkKey({ ...unknown, configAgeMs: APPLY_MS }).kind, 'stale');
});

test('no attempt could end beyond the bound on the slowest clock', () => {
  for (let configAgeMs = 0; configAgeMs <= 2 * REVOCATION_MS; configAgeMs += 10) {
    const { attemptMs } = INPUTS;
    const decision = checkKey({ ...INPUTS, configAgeMs });
    // A clock that is 2 % slow shows less than the true age.
    const trueAgeMs = configAgeMs / 0.98;
    if (decision.kind === 'member') {
      assert.ok(trueAgeMs + attemptMs <= REVOCATION_MS, `runs at ${configAgeMs}`);
      assert.ok(decision.remainingMs >= attemptMs);
    }
  }
});

test('without a bound on revocation the age does not matter for a known key', () => {
  const bounds = { revocationMs: undefined, applyMs: APPLY_MS };
  assert.is(checkKey({ ...INPUTS, configAgeMs: Infinity, bounds }).kind, 'member');
});

test('a key is found only in the version that holds it, and its label does not contain it', () => {
  assert.is(makeDirectory('a', 'b').findByKey('b')?.name, 'fishmongers');
  assert.is(makeDirectory('a').findByKey('b'), undefined);
  assert.not.match(makeKeyLabel('abcdefgh'), /abcdefgh/);
});

test('the age counts from when a read was sent, and a read that hangs confirms nothing', () => {
  const freshness = createConfigFreshness();
  assert.is(freshness.getAgeMs({ nowMs: 0, wallMs: 0 }), Infinity);
  freshness.observeRead({ nowMs: 1_000, wallMs: 1_000 });
  assert.is(freshness.getAgeMs({ nowMs: 6_500, wallMs: 6_500 }), 5_500);
});

test('a suspension that the monotonic clock does not count makes the configuration older', () => {
  const freshness = createConfigFreshness();
  freshness.observeRead({ nowMs: 1_000, wallMs: 1_000 });
  assert.is(freshness.getAgeMs({ nowMs: 1_100, wallMs: 9_100 }), 8_100);
  assert.is(freshness.getAgeMs({ nowMs: 2_000, wallMs: 0 }), 1_000);
});

test('a newest configuration that cannot be decoded is not confirmed by reads', () => {
  const freshness = createConfigFreshness();
  freshness.observeRead({ nowMs: 0, wallMs: 0 });
  freshness.observeNewest(false);
  freshness.observeRead({ nowMs: 4_000, wallMs: 4_000 });
  assert.is(freshness.getAgeMs({ nowMs: 5_000, wallMs: 5_000 }), 5_000);
  freshness.observeNewest(true);
  freshness.observeRead({ nowMs: 6_000, wallMs: 6_000 });
  assert.is(freshness.getAgeMs({ nowMs: 6_000, wallMs: 6_000 }), 0);
});

test.run();
