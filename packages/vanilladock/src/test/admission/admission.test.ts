/**
 * Tests of the promises and timers of admission on a fake clock, and of steps of the wall clock.
 */
import { install } from '@sinonjs/fake-timers';
import * as assert from 'uvu/assert';
import { suite } from 'uvu';
import { createAdmission } from '../../lib/admission/admission.js';
import { makeRequest } from './drive-core.js';

const test = suite('admission');
const NEVER = new AbortController().signal;

const runWithFakeClock = async (run: (clock: ReturnType<typeof install>) => Promise<void>) => {
  const clock = install();
  try {
    await run(clock);
  } finally {
    clock.uninstall();
  }
};

test('a waiting request starts when the running one ends', () =>
  runWithFakeClock(async () => {
    const admission = createAdmission();
    admission.setCapacity('s', 1);
    const first = await admission.admit(makeRequest({}), NEVER);
    const second = admission.admit(makeRequest({}), NEVER);
    first.unwrap().release();
    first.unwrap().release();
    assert.ok((await second).isOk());
    assert.is(admission.getStats().services.get('s')?.running, 1);
  }));

test('a waiting request is refused at its deadline, also when the wall clock is stepped', () =>
  runWithFakeClock(async (clock) => {
    const admission = createAdmission();
    admission.setCapacity('s', 1);
    await admission.admit(makeRequest({}), NEVER);
    const waiting = admission.admit(makeRequest({ deadlineAtMs: 500 }), NEVER);
    clock.setSystemTime(Date.now() + 3_600_000);
    await clock.tickAsync(499);
    assert.is(admission.getStats().services.get('s')?.waiting, 1);
    await clock.tickAsync(2);
    assert.is((await waiting).unwrapErr().code, 'deadline-passed');
  }));

test('a caller that disconnects stops waiting immediately and is counted', () =>
  runWithFakeClock(async () => {
    const admission = createAdmission();
    admission.setCapacity('s', 1);
    await admission.admit(makeRequest({}), NEVER);
    const controller = new AbortController();
    const waiting = admission.admit(makeRequest({}), controller.signal);
    controller.abort();
    assert.is((await waiting).unwrapErr().code, 'caller-left');
    assert.is(admission.getStats().services.get('s')?.waiting, 0);
    assert.is(admission.getStats().teams[0]?.refused['caller-left'], 1);
  }));

test('a service is shedding load only for a while after a refusal', () =>
  runWithFakeClock(async (clock) => {
    const admission = createAdmission();
    admission.setCapacity('s', 1);
    await admission.admit(makeRequest({}), NEVER);
    assert.is(admission.isShedding('s'), false);
    const values = { weight: 1, quotaPerSecond: 1e6, queueLength: 1 };
    void admission.admit(makeRequest({ values }), NEVER);
    const refused = await admission.admit(makeRequest({ values }), NEVER);
    assert.is(refused.unwrapErr().code, 'queue-full');
    assert.ok((refused.unwrapErr().retryAfterMs ?? 0) >= 1_000);
    assert.is(admission.isShedding('s'), true);
    await clock.tickAsync(1_500);
    assert.is(admission.isShedding('s'), false);
  }));

test.run();
