/** Log lines that are not written yet when the process exits, while the reader of the log is slow. */
import { spawn } from 'node:child_process';
import * as assert from 'uvu/assert';
import { suite } from 'uvu';
import { waitMs } from '../lib/servers.js';

const test = suite('json-log-exit');
const JSON_LOG = new URL('../lib/json-log.js', import.meta.url).href;
/** Lines that are several times as long as the buffer of a pipe, in two halves. */
const HALF = 1_000;
const READER_DELAY_MS = 400;

/** Begins a program whose log goes to a non-blocking pipe, as it is once `process.stdout` is used. */
const PROGRAM = `
  const { createJsonLog, drainLogs } = await import(${JSON.stringify(JSON_LOG)});
  process.stdout.writableLength;
  const log = createJsonLog({ id: 'any', logLevel: 'info' });
  const text = 'x'.repeat(300);
  let index = 0;
  const logHalf = () => {
    for (const end = index + ${HALF}; index < end; index += 1) {
      log.info({ event: 'line', index, text });
    }
  };
`;

/** Runs a program whose output is read late; resolves to its code and the indexes of its lines. */
const runProgram = async (program: string) => {
  const child = spawn(process.execPath, ['--input-type=module', '-e', PROGRAM + program], {
    stdio: ['ignore', 'pipe', 'inherit'],
  });
  const closed = new Promise<number | null>((resolve) => {
    child.once('close', resolve);
  });
  await waitMs(READER_DELAY_MS);
  let output = '';
  child.stdout.on('data', (chunk: Buffer) => {
    output += chunk.toString();
  });
  const code = await closed;
  const lines = output.split('\n').filter((line) => line !== '');
  return { code, indexes: lines.map((line) => (JSON.parse(line) as { index: number }).index) };
};

const ALL = Array.from({ length: 2 * HALF }, (_, index) => index);

test('lines that wait at the exit are written although the pipe is full', async () => {
  const { code, indexes } = await runProgram('logHalf(); logHalf(); process.exit(3);');
  assert.is(code, 3);
  assert.equal(indexes, ALL);
});

test('a write that waits for a full pipe at the exit is finished before the later lines', async () => {
  const { code, indexes } = await runProgram(
    'logHalf(); setTimeout(() => { logHalf(); process.exit(3); }, 100);',
  );
  assert.is(code, 3);
  assert.equal(indexes, ALL);
});

test('a program that flushes its log before it exits loses no line', async () => {
  const { code, indexes } = await runProgram(
    'logHalf(); await new Promise(setImmediate); logHalf(); await drainLogs?.(5_000); process.exit(3);',
  );
  assert.is(code, 3);
  assert.equal(indexes, ALL);
});

test('the log goes on after lines were dropped for a slow reader', async () => {
  const { indexes } = await runProgram(`
    for (let half = 0; half < 4; half += 1) logHalf();
    await new Promise((resolve) => { setTimeout(resolve, 2_000); });
    log.info({ event: 'line', index: -1 });
    setTimeout(() => process.kill(process.pid, 'SIGKILL'), 500);
  `);
  assert.ok(indexes.length < 4 * HALF, 'no line was dropped');
  assert.is(indexes.at(-1), -1);
});

test('a reader that never reads delays the exit by a bounded time', async () => {
  const child = spawn(
    process.execPath,
    [
      '--input-type=module',
      '-e',
      `${PROGRAM} logHalf(); logHalf(); await drainLogs?.(200); process.exit(3);`,
    ],
    { stdio: ['ignore', 'pipe', 'inherit'] },
  );
  const exited = new Promise((resolve) => {
    child.once('exit', resolve);
  });
  const code = await Promise.race([exited, waitMs(10_000).then(() => 'still running')]);
  child.kill('SIGKILL');
  assert.is(code, 3);
});

test.run();
