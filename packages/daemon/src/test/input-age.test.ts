/** What a process takes for old input after a pause, with fake timers. */
import { install } from '@sinonjs/fake-timers';
import * as assert from 'uvu/assert';
import { suite } from 'uvu';
import { MAX_INPUT_AGE_MS, startInputAgeWatch } from '../lib/input-age.js';
import { SILENT_LOG } from './job-fixtures.js';

const SECOND_MS = 1_000;

const test = suite('input age');

/** Runs a watch for a minute, then moves the clock without its timers, as a pause does. */
const runPause = (pausedMs: number) => {
  const clock = install({ now: 0 });
  const watch = startInputAgeWatch(SILENT_LOG);
  const found: boolean[] = [];
  clock.tick(60 * SECOND_MS);
  found.push(watch.mayBeOld());
  clock.jump(pausedMs);
  found.push(watch.mayBeOld());
  clock.tick(SECOND_MS / 2);
  found.push(watch.mayBeOld());
  clock.tick(2 * SECOND_MS);
  found.push(watch.mayBeOld());
  watch.stop();
  clock.uninstall();
  return found;
};

// Guards against a job that starts although its cancel is older than what planners keep of cancels.
test('input counts as old right after a long pause, and no more once it has been read', () => {
  assert.equal(runPause(MAX_INPUT_AGE_MS + SECOND_MS), [false, true, true, false]);
});

test('a shorter pause makes no input old', () => {
  assert.equal(runPause(MAX_INPUT_AGE_MS / 2), [false, false, false, false]);
});

// Guards against a suspended machine, whose monotonic clock does not count the pause.
test('a pause that only the wall clock shows counts', () => {
  const clock = install({ now: 0 });
  const watch = startInputAgeWatch(SILENT_LOG);
  clock.tick(SECOND_MS);
  clock.setSystemTime(MAX_INPUT_AGE_MS + 3 * SECOND_MS);
  assert.ok(watch.mayBeOld());
  watch.stop();
  clock.uninstall();
});

test.run();
