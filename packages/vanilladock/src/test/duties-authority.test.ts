/** Tests of how long a holder may send orders and of what a round of notices confirms. */
import * as assert from 'uvu/assert';
import { suite } from 'uvu';
import {
  AUTHORITY_MS,
  decideRound,
  hasAuthority,
  SUCCESSION_MS,
  type RoundOutcome,
} from '../lib/duties/authority.js';

const HELD = [
  { duty: 'pool/stalls', holder: 'a~1', token: 4 },
  { duty: 'pool/kilns', holder: 'a~1', token: 5 },
];
const NO_NEWER_CLAIM: RoundOutcome = {
  kind: 'answered',
  wasAlive: true,
  view: { newer: [], claiming: [] },
};
const START = { nowMs: 0, wallMs: 1_000_000 };
const WORKER_CALL_MS = 400;

const test = suite('authority');

test('a round confirms duties for which no peer knows of or is sending a newer claim', () => {
  const newer = { duty: 'pool/stalls', holder: 'b~1', token: 9 };
  const newerOutcome: RoundOutcome = { ...NO_NEWER_CLAIM, view: { newer: [newer], claiming: [] } };
  const claimingOutcome: RoundOutcome = {
    ...NO_NEWER_CLAIM,
    view: { newer: [], claiming: ['pool/stalls'] },
  };
  assert.equal(decideRound(HELD, [NO_NEWER_CLAIM]).confirmed, ['pool/stalls', 'pool/kilns']);
  assert.equal(decideRound(HELD, [NO_NEWER_CLAIM, newerOutcome]), {
    confirmed: ['pool/kilns'],
    superseded: [newer],
  });
  assert.equal(decideRound(HELD, [claimingOutcome]), { confirmed: ['pool/kilns'], superseded: [] });
});

// Guards against running a task twice: a peer that does not respond may be the new holder.
test('an unresponsive peer leaves all duties unconfirmed', () => {
  const unresponsive = { kind: 'silent', wasAlive: true } as const;
  assert.equal(decideRound(HELD, [NO_NEWER_CLAIM, unresponsive]).confirmed, []);
  const knownDead = { kind: 'silent', wasAlive: false } as const;
  assert.is(decideRound(HELD, [NO_NEWER_CLAIM, knownDead]).confirmed.length, HELD.length);
});

test('authority expires by whichever clock has advanced further', () => {
  assert.is(hasAuthority(undefined, START), false);
  assert.is(hasAuthority(START, { nowMs: AUTHORITY_MS - 1, wallMs: START.wallMs }), true);
  assert.is(hasAuthority(START, { nowMs: AUTHORITY_MS, wallMs: START.wallMs }), false);
  const resumed = { nowMs: 10, wallMs: START.wallMs + AUTHORITY_MS };
  assert.is(hasAuthority(START, resumed), false, 'after a suspension');
});

test('a successor waits until the last order of its predecessor must have finished', () => {
  assert.ok(SUCCESSION_MS >= AUTHORITY_MS + WORKER_CALL_MS);
});

test.run();
