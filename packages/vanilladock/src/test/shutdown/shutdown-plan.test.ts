/** Deadlines of a stop: which calls are taken, and when the instance closes. */
import fc from 'fast-check';
import * as assert from 'uvu/assert';
import { suite } from 'uvu';
import {
  computeReadingMs,
  decideIntake,
  decideShutdownStep,
  planIntake,
  planShutdown,
} from 'vanilladock/lib/shutdown/shutdown-plan.js';

const test = suite('shutdown plan');

const GRACE_MS = 6_000;
const ATTEMPT_MS = 2_000;
const STARTED_MS = 10_000;
const plan = planShutdown(STARTED_MS, GRACE_MS);

test('an instance that does not stop takes every call without a limit', () => {
  assert.equal(decideIntake(undefined, ATTEMPT_MS, 5), { kind: 'take', answerByMs: Infinity });
});

test('a call that arrives long after the signal is refused, however busy the instance is', () => {
  const late = decideIntake(plan, ATTEMPT_MS, STARTED_MS + 2_600);
  assert.equal(late, { kind: 'refuse' });
  const early = decideIntake(plan, ATTEMPT_MS, STARTED_MS + 100);
  assert.equal(early, { kind: 'take', answerByMs: plan.answersByMs });
});

test('a call whose attempt does not fit in what is left is refused', () => {
  const short = planShutdown(STARTED_MS, 2_000);
  assert.equal(decideIntake(short, ATTEMPT_MS, STARTED_MS), { kind: 'refuse' });
  assert.is(decideIntake(short, 500, STARTED_MS).kind, 'take');
});

test('a call that was taken may use its whole attempt before its answer is due', () => {
  const numbers = fc.record({
    graceMs: fc.integer({ min: 0, max: 60_000 }),
    attemptMs: fc.integer({ min: 0, max: 5_000 }),
    ageMs: fc.integer({ min: 0, max: 60_000 }),
  });
  fc.assert(
    fc.property(numbers, ({ graceMs, attemptMs, ageMs }) => {
      const drawn = planShutdown(0, graceMs);
      const intake = decideIntake(drawn, attemptMs, ageMs);
      if (intake.kind === 'take') assert.ok(ageMs + attemptMs <= intake.answerByMs);
      assert.ok(drawn.takesUntilMs <= drawn.answersByMs);
      assert.ok(drawn.answersByMs <= drawn.closesByMs);
      assert.ok(drawn.closesByMs <= graceMs);
    }),
  );
});

test('open calls hold the exit until their answers are due, then they are answered, not cut', () => {
  const busy = { openCalls: 3, isReleased: true };
  assert.is(decideShutdownStep(plan, busy, plan.answersByMs - 1), 'wait');
  assert.is(decideShutdownStep(plan, busy, plan.answersByMs), 'answer-rest');
  assert.is(decideShutdownStep(plan, busy, plan.closesByMs), 'close');
});

test('an instance without open calls exits when it takes no more and has released its duties', () => {
  const idle = { openCalls: 0, isReleased: true };
  assert.is(decideShutdownStep(plan, idle, plan.takesUntilMs - 1), 'wait');
  assert.is(decideShutdownStep(plan, idle, plan.takesUntilMs), 'close');
});

test('a release that does not end holds the exit only until answers are due', () => {
  const unreleased = { openCalls: 0, isReleased: false };
  assert.is(decideShutdownStep(plan, unreleased, plan.takesUntilMs), 'wait');
  assert.is(decideShutdownStep(plan, unreleased, plan.answersByMs), 'close');
});

// Guards against calls that are cut at the end of a stop because ones that had waited were taken.
test('a stopping instance takes calls only while they have not waited for long', () => {
  const decide = (waitMs: number) =>
    decideIntake(planIntake(plan, waitMs), ATTEMPT_MS, STARTED_MS + 100).kind;
  assert.equal([decide(900), decide(1_100), decide(0)], ['take', 'refuse', 'take']);
});

// Guards against calls that are cut unread, in a process without processor time, with time left.
test('what has arrived is read while there is time, and no longer than until the close', () => {
  const times = [2_600, 4_400, 5_000, 5_300, 5_600].map((ageMs) => STARTED_MS + ageMs);
  assert.equal(
    times.map((nowMs) => computeReadingMs(plan, nowMs)),
    [1_900, 500, 500, 200, 0],
  );
});

test.run();
