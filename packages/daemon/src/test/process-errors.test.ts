/** A process that ends, or stands still, for an error that nobody handled, and without a word. */
import { spawn } from 'node:child_process';
import * as assert from 'uvu/assert';
import { suite } from 'uvu';

const test = suite('process-errors');
const PROCESS_ERRORS = new URL('../lib/process-errors.js', import.meta.url).href;
const LIMIT_MS = 10_000;

/** A line as a program has written it. */
interface Line {
  readonly event: string;
  readonly entry?: string;
  readonly kind?: string;
  readonly code?: unknown;
  readonly reason?: string;
  readonly stack?: string;
  readonly count?: number;
  readonly peakMb?: number;
}

/** Runs a program that observes its errors; resolves to its code and its lines. */
const runProgram = async (program: string) => {
  const text = `
    const { watchProcessErrors } = await import(${JSON.stringify(PROCESS_ERRORS)});
    const errors = watchProcessErrors();
    ${program}
  `;
  const child = spawn(process.execPath, ['--input-type=module', '-e', text], {
    stdio: ['ignore', 'ignore', 'pipe'],
    timeout: LIMIT_MS,
  });
  let output = '';
  child.stderr.on('data', (chunk: Buffer) => {
    output += chunk.toString();
  });
  const code = await new Promise<number | null>((resolve) => {
    child.once('close', resolve);
  });
  const lines = output
    .split('\n')
    .filter((line) => line !== '')
    .map((line) => JSON.parse(line) as Line);
  return { code, lines };
};

test('a rejection that nobody waits for is logged and does not end the process', async () => {
  const { code, lines } = await runProgram(`
    errors.nameEntry('entry-1');
    void Promise.reject(new TypeError('nobody waits'));
    setTimeout(() => { errors.recordEndCause('told to'); process.exit(7); }, 50);
  `);
  assert.is(code, 7);
  const [error, exit] = lines;
  assert.is(error?.event, 'process-error');
  assert.is(error?.kind, 'rejection');
  assert.is(error?.entry, 'entry-1');
  assert.is(error?.reason, 'TypeError: nobody waits');
  assert.match(error?.stack ?? '', 'at ');
  assert.is(exit?.event, 'process-exit');
  assert.is(exit?.code, 7);
  assert.is(exit?.reason, 'told to');
});

test('an exception in a callback is logged and does not end the process', async () => {
  const { code, lines } = await runProgram(`
    setTimeout(() => { throw new Error('in a callback'); }, 1);
    setTimeout(() => process.exit(0), 50);
  `);
  assert.is(code, 0);
  assert.is(lines[0]?.kind, 'exception');
  assert.is(lines[0]?.reason, 'Error: in a callback');
});

test('values that are no errors, and those without a text, are logged too', async () => {
  const { code, lines } = await runProgram(`
    void Promise.reject(undefined);
    void Promise.reject({ toString() { throw new Error('none'); } });
    void Promise.reject('x'.repeat(10_000));
    setTimeout(() => process.exit(0), 50);
  `);
  assert.is(code, 0);
  assert.equal(
    lines.slice(0, 3).map(({ reason }) => reason),
    ['undefined', 'no text', 'x'.repeat(500)],
  );
});

test('a flood of errors is counted, and takes a bounded number of lines', async () => {
  const { lines } = await runProgram(`
    for (let index = 0; index < 1_000; index += 1) void Promise.reject(new Error('again'));
    setTimeout(() => process.exit(0), 100);
  `);
  assert.is(lines.filter(({ event }) => event === 'process-error').length, 10);
  assert.is(lines.find(({ event }) => event === 'process-errors-dropped')?.count, 990);
});

test('an exit without a cause says where it was ordered and how much memory was used', async () => {
  const { lines } = await runProgram('const orderExit = () => process.exit(5); orderExit();');
  assert.is(lines.length, 1);
  assert.is(lines[0]?.code, 5);
  assert.is(lines[0]?.reason, 'not named');
  assert.match(lines[0]?.stack ?? '', 'orderExit');
  assert.ok((lines[0]?.peakMb ?? 0) > 1);
});

test('a process that ends as nothing is left to do, such as one whose start has failed, says so', async () => {
  const { code, lines } = await runProgram('');
  assert.is(code, 1);
  assert.is(lines[0]?.reason, 'nothing left to do');
});

test('a warning of the runtime is one line', async () => {
  const { lines } = await runProgram(`
    process.emitWarning('odd', { code: 'ODD' });
    setTimeout(() => process.exit(0), 50);
  `);
  assert.is(lines[0]?.event, 'process-warning');
  assert.is(lines[0]?.code, 'ODD');
  assert.is(lines.length, 2);
});

test.run();
