/** Tests of the watch over late timers of the process. */
import { install } from '@sinonjs/fake-timers';
import * as assert from 'uvu/assert';
import { suite } from 'uvu';
import { startEventLoopWatch } from '../lib/event-loop-watch.js';
import type { LogFields } from '../lib/json-log.js';

/** Starts a watch with fake timers and keeps what it logs. */
const openWatch = () => {
  const clock = install({ now: 0 });
  const lines: LogFields[] = [];
  const logLine = (fields: LogFields) => lines.push(fields);
  const watch = startEventLoopWatch({ info: logLine, warn: logLine, error: logLine });
  const close = () => {
    watch.stop();
    clock.uninstall();
  };
  return { clock, lines, watch, close };
};

const test = suite('event loop watch');

test('logs a timer that fires more than half a second late, once', () => {
  const { clock, lines, watch, close } = openWatch();
  clock.tick(1_000);
  clock.jump(1_450);
  clock.tick(2_000);
  const delays = watch.takeDelays();
  close();
  assert.equal(
    lines.map(({ event, lateMs }) => ({ event, lateMs })),
    [{ event: 'event-loop-late', lateMs: 1_200 }],
  );
  assert.ok(lines.every(({ cpuMs }) => typeof cpuMs === 'number'));
  assert.ok(Math.abs(delays.maxMs - 1_200) < 20, `max ${delays.maxMs}`);
  assert.ok(delays.p99Ms <= delays.maxMs);
});

test('counts short delays without a line, and each delay in one reading only', () => {
  const { clock, lines, watch, close } = openWatch();
  clock.jump(650);
  const first = watch.takeDelays();
  const empty = watch.takeDelays();
  clock.tick(1_000);
  const second = watch.takeDelays();
  close();
  assert.equal(lines, []);
  assert.ok(Math.abs(first.maxMs - 400) < 10, `max ${first.maxMs}`);
  assert.equal(empty, { maxMs: 0, p99Ms: 0 });
  assert.ok(second.maxMs < 1);
});

test.run();
