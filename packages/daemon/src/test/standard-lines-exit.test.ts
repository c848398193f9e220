/** A process that cannot end as nobody reads its output, or that a closed output ends. */
import { spawn } from 'node:child_process';
import * as assert from 'uvu/assert';
import { suite } from 'uvu';

const test = suite('standard-lines-exit');
const JSON_LOG = new URL('../lib/json-log.js', import.meta.url).href;
const LIMIT_MS = 8_000;

/** Logs more than a pipe takes, to both outputs, in two turns so that a write is in progress. */
const PROGRAM = `
  const { createJsonLog, drainLogs } = await import(${JSON.stringify(JSON_LOG)});
  const log = createJsonLog({ id: 'any', logLevel: 'info' });
  const logLines = () => {
    for (let index = 0; index < 1_000; index += 1) {
      log.info({ event: 'line', text: 'x'.repeat(300) });
      log.error({ event: 'line', text: 'x'.repeat(300) });
    }
  };
  logLines();
  await new Promise((resolve) => { setTimeout(resolve, 100); });
  logLines();
`;

/** Runs a program whose output is not read; resolves to its code, or to how it was ended. */
const runUnread = (program: string, isClosed: boolean) =>
  new Promise<number | string | null>((resolve) => {
    const child = spawn(process.execPath, ['--input-type=module', '-e', PROGRAM + program], {
      stdio: ['ignore', 'pipe', 'pipe'],
      timeout: LIMIT_MS,
      killSignal: 'SIGKILL',
    });
    if (isClosed) [child.stdout, child.stderr].forEach((stream) => stream.destroy());
    child.once('exit', (code, signal) => resolve(signal ?? code));
  });

[true, false].forEach((isClosed) => {
  const how = isClosed ? 'closed' : 'full';
  test(`a process whose outputs are ${how} ends when it exits`, async () => {
    assert.is(await runUnread('process.exit(3);', isClosed), 3);
  });

  test(`a process whose outputs are ${how} ends when it has tried to flush its log`, async () => {
    assert.is(await runUnread('await drainLogs(200); process.exit(3);', isClosed), 3);
  });
});

// Guards against a stop that lasts beyond its grace period, as both outputs are waited for once more.
test('a process that has tried in vain to flush its log does not wait for its readers again', async () => {
  const measure = `
    await drainLogs(200);
    const startedMs = performance.now();
    process.once('exit', () => {
      if (performance.now() - startedMs > 500) process.exitCode = 4;
    });
    process.exit(3);
  `;
  assert.is(await runUnread(measure, false), 3);
});

test('a write to a stream whose reader has gone does not end the process', async () => {
  const write = `
    process.stdout.write('x');
    process.stderr.write('x');
    setTimeout(() => process.exit(3), 100);
  `;
  assert.is(await runUnread(write, true), 3);
});

test.run();
