/** Tests of the waits of a process that starts. */
import { createServer } from 'node:http';
import { install } from '@sinonjs/fake-timers';
import * as assert from 'uvu/assert';
import { suite } from 'uvu';
import type { LogFields } from '../lib/json-log.js';
import { closeServer, openServer } from '../lib/servers.js';
import { waitForCondition } from '../lib/start-waits.js';

/** Runs a wait on a paused clock; `attempt` gets the number of attempts before it. */
const openWait = (attempt: (count: number, nowMs: number) => string) => {
  const clock = install({ now: 0 });
  const lines: LogFields[] = [];
  const attemptsMs: number[] = [];
  const stop = new AbortController();
  const logLine = (fields: LogFields) => void lines.push(fields);
  const waiting = waitForCondition(
    'a file',
    () => {
      attemptsMs.push(clock.now);
      return attempt(attemptsMs.length - 1, clock.now);
    },
    { signal: stop.signal, log: { info: logLine, warn: logLine } },
  );
  return { clock, lines, attemptsMs, stop, waiting };
};

const failAttempt = (reason: string): never => {
  throw new Error(reason);
};

const test = suite('start waits');

// Guards against a start that gives up, or that tries without a pause.
test('an attempt that fails is repeated after pauses that double up to a second', async () => {
  const { clock, attemptsMs, lines, waiting } = openWait((count) =>
    count < 7 ? failAttempt('missing') : 'value',
  );
  await clock.tickAsync(10_000);
  clock.uninstall();
  assert.is(await waiting, 'value');
  assert.equal(attemptsMs, [0, 100, 300, 700, 1_500, 2_500, 3_500, 4_500]);
  assert.equal(lines, [
    { event: 'start-waiting', condition: 'a file', reason: 'missing', waitedMs: 0 },
    { event: 'start-resumed', condition: 'a file', waitedMs: 4_500 },
  ]);
});

// Guards against a log that fills up while a process waits, and one that hides a new cause.
test('a cause is logged when it changes, and every half minute while it lasts', async () => {
  const { clock, lines, stop, waiting } = openWait((_, nowMs) =>
    failAttempt(nowMs < 65_000 ? 'missing' : 'half written'),
  );
  await clock.tickAsync(70_000);
  stop.abort();
  clock.uninstall();
  assert.is(await waiting, undefined);
  assert.equal(
    lines.map(({ reason }) => reason),
    ['missing', 'missing', 'missing', 'half written'],
  );
});

// Guards against a stop that has to wait for the next attempt, and an attempt after the stop.
test('a wait ends at once when it is aborted, and nothing is tried any more', async () => {
  const { clock, attemptsMs, lines, stop, waiting } = openWait(() => failAttempt('missing'));
  await clock.tickAsync(2_000);
  const attempts = attemptsMs.length;
  stop.abort();
  assert.is(await waiting, undefined);
  await clock.tickAsync(60_000);
  clock.uninstall();
  assert.is(attemptsMs.length, attempts);
  assert.is(lines.length, 1);
  const { signal } = stop;
  const log = { info: () => {}, warn: () => {} };
  assert.is(await waitForCondition('a file', () => 'value', { signal, log }), undefined);
});

// Guards against listeners that pile up on a server that cannot be opened for long.
test('a server opens after any number of attempts, and keeps no listener of them', async () => {
  const occupant = createServer();
  const address = await openServer(occupant, '127.0.0.1:0');
  const server = createServer();
  const countListeners = () =>
    ['error', 'listening', 'connection', 'request'].map((event) => server.listenerCount(event));
  const openAndFail = async () => {
    try {
      await openServer(server, address);
      assert.unreachable();
    } catch (error) {
      assert.match(String(error), 'the port is in use');
    }
  };
  await openAndFail();
  const listeners = countListeners();
  for (let attempt = 0; attempt < 20; attempt += 1) await openAndFail();
  assert.equal(countListeners(), listeners);
  await closeServer(occupant, 0);
  assert.is(await openServer(server, address), address);
  await closeServer(server, 0);
});

test.run();
