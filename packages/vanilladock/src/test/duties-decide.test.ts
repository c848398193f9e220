/** Tests of what an entry decides about one duty. */
import * as assert from 'uvu/assert';
import { suite } from 'uvu';
import {
  CLAIM_SPREAD_MS,
  computeClaimableFromMs,
  computeHeldUntilMs,
  decideDuty,
  DUTY_LEASE_MS,
  getFence,
  orderByRank,
  RANK_DELAY_MS,
  RENEW_SHARE,
  type DutyView,
} from '../lib/duties/decide.js';

const IDS = ['entry-0', 'entry-1', 'entry-2', 'entry-3'];
const DUTY = 'pool:counter';
const RANKED = orderByRank(DUTY, IDS);
const [FIRST = '', SECOND = ''] = RANKED;

const makeView = (change: Partial<DutyView>): DutyView => ({
  duty: DUTY,
  selfId: FIRST,
  claim: undefined,
  seenAtMs: 0,
  sentAtMs: undefined,
  pendingAtMs: undefined,
  releasedOffset: -1,
  readableSinceMs: 0,
  liveIds: IDS,
  isStopping: false,
  ...change,
});
const makeClaim = (owner: string) => ({ owner, id: 'c', offset: 7, leaseMs: DUTY_LEASE_MS });
const makeHeld = (change: Partial<DutyView> = {}) =>
  makeView({ claim: makeClaim(FIRST), sentAtMs: 1000, ...change });

const test = suite('decide duty');

test('the proposed owner claims first, the entry ranked second after the rank delay', () => {
  assert.is(decideDuty(makeView({}), CLAIM_SPREAD_MS).kind, 'claim');
  const second = makeView({ selfId: SECOND });
  assert.is(decideDuty(second, RANK_DELAY_MS - 1).kind, 'none');
  assert.is(decideDuty(second, RANK_DELAY_MS + CLAIM_SPREAD_MS).kind, 'claim');
});

test('removing an entry moves only the duties that it was the proposed owner of', () => {
  const duties = Array.from({ length: 200 }, (_, index) => `pool:${index}`);
  const moved = duties.filter((duty) => {
    const [before] = orderByRank(duty, IDS);
    const [after] = orderByRank(duty, IDS.slice(1));
    return before !== after && before !== IDS[0];
  });
  assert.equal(moved, []);
  const owners = new Set(duties.map((duty) => orderByRank(duty, IDS)[0]));
  assert.is(owners.size, IDS.length);
});

test('a holder stops before any other entry may claim, whatever the read delay', () => {
  assert.ok(computeHeldUntilMs(0, DUTY_LEASE_MS) < computeClaimableFromMs(0, DUTY_LEASE_MS));
  const other = makeView({ selfId: SECOND, claim: makeClaim(FIRST), seenAtMs: 1000 });
  const claimableFromMs = computeClaimableFromMs(1000, DUTY_LEASE_MS);
  assert.is(decideDuty(other, claimableFromMs - 1).kind, 'none');
  assert.is(decideDuty(other, claimableFromMs + RANK_DELAY_MS + CLAIM_SPREAD_MS).kind, 'claim');
});

test('a holder renews its lease and stops acting when the lease ends on its own clock', () => {
  const held = makeHeld();
  const heldUntilMs = computeHeldUntilMs(1000, DUTY_LEASE_MS);
  assert.is(getFence(held, heldUntilMs - 1), 7);
  assert.is(getFence(held, heldUntilMs), undefined);
  assert.is(decideDuty(held, 1001).kind, 'none');
  const renewal = decideDuty(held, 1000 + DUTY_LEASE_MS * RENEW_SHARE);
  assert.equal(renewal, { kind: 'claim', follows: 7, leaseMs: DUTY_LEASE_MS });
});

test('a restarted process with the id of the holder waits like any other entry', () => {
  const restarted = makeView({ claim: makeClaim(FIRST), seenAtMs: 1000 });
  assert.is(getFence(restarted, 1001), undefined);
  assert.is(decideDuty(restarted, DUTY_LEASE_MS).kind, 'none');
});

test('a holder that stops or is no longer proposed releases the duty and stops acting', () => {
  assert.equal(decideDuty(makeHeld({ isStopping: true }), 1001), { kind: 'release', follows: 7 });
  const notProposed = makeHeld({ selfId: SECOND, claim: makeClaim(SECOND) });
  const renewAtMs = 1000 + DUTY_LEASE_MS * RENEW_SHARE;
  assert.is(decideDuty(notProposed, renewAtMs).kind, 'release');
  assert.is(getFence(makeHeld({ releasedOffset: 7 }), 1001), undefined);
});

test('no duty is claimed while the log is unreadable; afterwards claims follow the rank', () => {
  const expired = { claim: makeClaim('entry-9'), seenAtMs: 0 };
  const hourMs = 3_600_000;
  const down = makeView({ ...expired, readableSinceMs: undefined });
  assert.is(decideDuty(down, hourMs).kind, 'none');
  const makeRecovered = (selfId: string) =>
    makeView({ ...expired, selfId, readableSinceMs: hourMs });
  const claimants = IDS.filter(
    (id) => decideDuty(makeRecovered(id), hourMs + CLAIM_SPREAD_MS).kind === 'claim',
  );
  assert.equal(claimants, [FIRST]);
});

test('a claim with a lost response is not repeated while its record may still appear', () => {
  const pending = makeView({ pendingAtMs: 1000 });
  assert.is(decideDuty(pending, 1000 + DUTY_LEASE_MS * RENEW_SHARE - 1).kind, 'none');
  assert.is(decideDuty(pending, 1000 + DUTY_LEASE_MS * RENEW_SHARE).kind, 'claim');
});

test.run();
