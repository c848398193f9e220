/**
 * Runs each compiled test file in its own process, a few at a time, prints the output of failing
 * files and ends with the line `N passed, N failed`. Failures listed in KNOWN-RED.txt are printed
 * but not counted as failed. Files named `crowds…` load a process to its limits; they run last, one at a
 * time. Arguments restrict the run to files whose path contains one of them.
 */
import { spawn } from 'node:child_process';
import { existsSync, readFileSync, readdirSync } from 'node:fs';
import { join } from 'node:path';

const CONCURRENCY = 6;
const FILE_TIMEOUT_MS = 120_000;
const KNOWN_RED_FILE = 'KNOWN-RED.txt';
const ANSI_STYLE = new RegExp(`${String.fromCharCode(27)}\\[[0-9;]*m`, 'g');

/** Lists the compiled test files of all packages that still have a source and match a filter. */
function listTestFiles(filters) {
  return [...readdirSync('packages').map((name) => join('packages', name)), 'platform']
    .map((folder) => join(folder, 'dist', 'test'))
    .filter((folder) => existsSync(folder))
    .flatMap((folder) =>
      readdirSync(folder, { recursive: true }).map((file) => join(folder, String(file))),
    )
    .filter((file) => file.endsWith('.test.js'))
    .filter((file) => existsSync(file.replace('/dist/', '/src/').replace(/\.js$/, '.ts')))
    .filter((file) => filters.length === 0 || filters.some((filter) => file.includes(filter)))
    .sort();
}

/** Reads the entries `test: FILE :: NAME` of KNOWN-RED.txt. */
function readKnownRed() {
  if (!existsSync(KNOWN_RED_FILE)) return [];
  return readFileSync(KNOWN_RED_FILE, 'utf8')
    .split('\n')
    .filter((line) => line.startsWith('test: '))
    .map((line) => line.slice('test: '.length).trim());
}

/**
 * Runs one test file; resolves to its output, its count of passed tests and the names of failed
 * tests. A file that crashes, or that runs no test, counts as one failure.
 */
function runFile(file) {
  return new Promise((resolve) => {
    const child = spawn(process.execPath, ['--enable-source-maps', file], {
      env: { ...process.env, NO_COLOR: '1', FORCE_COLOR: '0' },
    });
    let output = '';
    const timer = setTimeout(() => child.kill('SIGKILL'), FILE_TIMEOUT_MS);
    child.stdout.on('data', (chunk) => {
      output += chunk;
    });
    child.stderr.on('data', (chunk) => {
      output += chunk;
    });
    child.on('close', (code) => {
      clearTimeout(timer);
      const text = output.replace(ANSI_STYLE, '');
      const total = Number(/Total:\s+(\d+)/.exec(text)?.[1] ?? 0);
      const passed = Number(/Passed:\s+(\d+)/.exec(text)?.[1] ?? 0);
      const failedNames = [...text.matchAll(/FAIL\s+(.*?)"(.*?)"/g)].map((match) => match[2]);
      const hasCrashed = code !== 0 && failedNames.length === 0;
      const isEmpty = code === 0 && total === 0;
      resolve({
        file,
        text,
        passed,
        failures: hasCrashed || isEmpty ? ['(whole file)'] : failedNames,
      });
    });
  });
}

const files = listTestFiles(process.argv.slice(2));
const knownFailures = readKnownRed();
const isAlone = (file) => /\/crowds[^/]*$/.test(file);
let passed = 0;
let failed = 0;
const toleratedFailures = [];

/** Runs pending files one after another until none is left. */
async function runWorker(pending) {
  for (let file = pending.shift(); file !== undefined; file = pending.shift()) {
    const result = await runFile(file);
    const source = file.replace('/dist/', '/src/').replace(/\.js$/, '.ts');
    const toleratedNames = result.failures.filter((name) =>
      knownFailures.includes(`${source} :: ${name}`),
    );
    passed += result.passed;
    failed += result.failures.length - toleratedNames.length;
    toleratedFailures.push(...toleratedNames.map((name) => `${source} :: ${name}`));
    const status = result.failures.length === 0 ? 'ok' : 'FAILED';
    process.stdout.write(`${status} ${source} (${result.passed})\n`);
    if (result.failures.length > 0) process.stdout.write(`${result.text}\n`);
  }
}

const together = files.filter((file) => !isAlone(file));
await Promise.all(Array.from({ length: CONCURRENCY }, () => runWorker(together)));
await runWorker(files.filter(isAlone));
toleratedFailures.forEach((name) => process.stdout.write(`known red: ${name}\n`));
if (files.length === 0)
  process.stdout.write('no test file matched; check the filters, or build the packages first\n');
process.stdout.write(`${passed} passed, ${failed} failed\n`);
process.exit(failed > 0 || files.length === 0 ? 1 : 0);
