/** Tests the command line as a process: messages, exit codes and JSON output. */
import { mkdtempSync, readFileSync, rmSync, writeFileSync } from 'node:fs';
import { createServer, type AddressInfo } from 'node:net';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import * as assert from 'uvu/assert';
import { suite } from 'uvu';
import { EXIT_CODES } from '../lib/cli/exit-codes.js';
import { runCommand } from './run-command.js';

const CONFIG = new URL('../../../../examples/smokehouse.yaml', import.meta.url).pathname;
const KEY = 'a-key-that-no-line-may-show';

const buildSettings = (callers: string, key = KEY) =>
  `id: entry-1
region: tasmania
dataCentre: hobart
rack: r1
key: ${key}
listen: { callers: "${callers}", operators: "127.0.0.1:0", peers: "127.0.0.1:0" }
platform: { log: "127.0.0.1:1", instances: "127.0.0.1:1" }
`;

const folder = mkdtempSync(join(tmpdir(), 'command-line-'));
const settingsPath = join(folder, 'settings.yaml');
const test = suite('command line');

test('check accepts the example and gives counts as JSON', async () => {
  const { code, stdout } = await runCommand(['check', CONFIG, '--json']);
  assert.is(code, EXIT_CODES.ok);
  const summary = JSON.parse(stdout) as Record<string, unknown>;
  assert.is(summary.services, 5);
  assert.equal(summary.faults, []);
});

test('check reports file, line, column and advice', async () => {
  const path = join(folder, 'bad.yaml');
  writeFileSync(path, readFileSync(CONFIG, 'utf8').replace('weight: 1\n', 'weihgt: 1\n'));
  const { code, stdout } = await runCommand(['check', path]);
  assert.is(code, EXIT_CODES.badInput);
  assert.match(stdout, /bad\.yaml:\d+:\d+ defaults: unknown key weihgt; remove it or correct/);
});

test('an unreadable file is reported with advice', async () => {
  const { code, stderr } = await runCommand(['check', join(folder, 'missing.yaml')]);
  assert.is(code, EXIT_CODES.badInput);
  assert.match(stderr, /missing\.yaml \(ENOENT\); check the path/);
});

test('serve refuses a short key without showing it', async () => {
  writeFileSync(settingsPath, buildSettings('127.0.0.1:0', 'short-key'));
  const { code, stdout, stderr } = await runCommand(['serve', settingsPath]);
  assert.is(code, EXIT_CODES.badInput);
  assert.match(stderr, /settings\.yaml:5:6 key: write a key of at least 16 characters/);
  assert.not.match(stdout + stderr, 'short-key');
});

test('serve reports a port in use and exits with a code of its own', async () => {
  const occupant = createServer();
  await new Promise<void>((resolve) => {
    occupant.listen(0, '127.0.0.1', resolve);
  });
  const address = `127.0.0.1:${(occupant.address() as AddressInfo).port}`;
  writeFileSync(settingsPath, buildSettings('127.0.0.1:0'));
  const { code, stdout, stderr } = await runCommand([
    'serve',
    settingsPath,
    '--listen-callers',
    address,
  ]);
  occupant.close();
  assert.is(code, EXIT_CODES.addressInUse);
  assert.match(
    stderr,
    `cannot listen on ${address}: the port is in use; choose another one or stop the process that uses it`,
  );
  assert.not.match(stdout + stderr, KEY);
});

test('status reports an unreachable entry', async () => {
  writeFileSync(settingsPath, buildSettings('127.0.0.1:0'));
  const { code, stdout } = await runCommand([
    'status',
    '127.0.0.1:1',
    '--settings',
    settingsPath,
    '--json',
  ]);
  assert.is(code, EXIT_CODES.unreachable);
  assert.match(stdout, '"kind":"unreachable"');
});

test.after(() => rmSync(folder, { recursive: true }));
test.run();
