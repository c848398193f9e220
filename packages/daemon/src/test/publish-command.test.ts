/** Tests the configuration commands as processes against a simulated log service. */
import { mkdtempSync, readFileSync, rmSync, writeFileSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { startLogServer, type LogServer } from '@vanilladock/stand-ins';
import * as assert from 'uvu/assert';
import { suite } from 'uvu';
import { EXIT_CODES } from '../lib/cli/exit-codes.js';
import { runCommand } from './run-command.js';

const EXAMPLE = new URL('../../../../examples/smokehouse.yaml', import.meta.url).pathname;
const LISTEN = '{ callers: "127.0.0.1:0", operators: "127.0.0.1:0", peers: "127.0.0.1:1" }';

const folder = mkdtempSync(join(tmpdir(), 'publish-'));
const settingsPath = join(folder, 'settings.yaml');
const changedPath = join(folder, 'changed.yaml');
const flags = ['--settings', settingsPath];

const writeSettings = (logAddress: string) =>
  writeFileSync(
    settingsPath,
    `{ id: operator, region: tasmania, dataCentre: hobart, rack: r1, key: only-for-this-test-run,
       listen: ${LISTEN}, platform: { log: "${logAddress}", instances: "127.0.0.1:1" } }`,
  );

const runWithLog = async (run: (log: LogServer) => Promise<void>) => {
  const log = await startLogServer();
  writeSettings(log.address);
  writeFileSync(changedPath, readFileSync(EXAMPLE, 'utf8').replace('weight: 2', 'weight: 3'));
  await run(log);
  await log.close();
};

const test = suite('configuration commands');

test('publish, diff, history and explain agree with each other', () =>
  runWithLog(async () => {
    const first = await runCommand(['publish', EXAMPLE, '--by', 'ada', '--yes', ...flags]);
    assert.is(first.code, EXIT_CODES.ok, first.stderr);
    assert.match(first.stdout, 'accepted as version 0');
    const diff = await runCommand(['diff', changedPath, ...flags]);
    assert.match(diff.stdout, /exceptions\[team=market-stalls\]\.weight.*1 team/);
    const second = await runCommand(['publish', changedPath, '--by', 'bo', '--yes', ...flags]);
    assert.is(second.code, EXIT_CODES.ok);
    const history = await runCommand(['history', '--json', ...flags]);
    const { history: entries } = JSON.parse(history.stdout) as { history: { by: string }[] };
    assert.equal(
      entries.map(({ by }) => by),
      ['ada', 'bo'],
    );
    const explained = await runCommand(['explain', 'teams.market-stalls.weight', ...flags]);
    assert.match(explained.stdout, /weight = 3, from exception 1 .* by j\.tran: Stalls open/);
  }));

test('a file based on an older version is refused with the winner and the changes', () =>
  runWithLog(async () => {
    await runCommand(['publish', EXAMPLE, '--by', 'ada', '--yes', ...flags]);
    const outdated = ['publish', changedPath, '--by', 'bo', '--yes', '--base=-1', ...flags];
    const { code, stdout } = await runCommand(outdated);
    assert.is(code, EXIT_CODES.refused);
    assert.match(stdout, 'refused: ada published version 0 first');
  }));

test('without confirmation nothing is published', () =>
  runWithLog(async (log) => {
    const { code, stderr } = await runCommand(
      ['publish', EXAMPLE, '--by', 'ada', ...flags],
      'no\n',
    );
    assert.is(code, EXIT_CODES.ok);
    assert.match(stderr, 'nothing was published');
    assert.is(log.countAppends(), 0);
  }));

test('a lost answer to the append is resolved by reading back the log', () =>
  runWithLog(async (log) => {
    log.setFaults({ losesAnswers: true });
    const { code, stdout } = await runCommand([
      ...['publish', EXAMPLE, '--by', 'ada', '--yes'],
      ...flags,
    ]);
    assert.is(code, EXIT_CODES.ok);
    assert.match(stdout, 'accepted as version 0');
  }));

test('while the log is down publish reports it and publishes nothing', () =>
  runWithLog(async (log) => {
    log.setFaults({ isDown: true });
    const { code, stderr } = await runCommand([
      ...['publish', EXAMPLE, '--by', 'ada', '--yes'],
      ...flags,
    ]);
    assert.is(code, EXIT_CODES.unreachable);
    assert.match(stderr, 'the log service cannot be reached');
    assert.is(log.countAppends(), 0);
  }));

test('explain of an unknown path reports the unknown name', () =>
  runWithLog(async () => {
    await runCommand(['publish', EXAMPLE, '--by', 'ada', '--yes', ...flags]);
    const { code, stderr } = await runCommand(['explain', 'teams.nobody.weight', ...flags]);
    assert.is(code, EXIT_CODES.badInput);
    assert.match(stderr, 'teams has no nobody');
  }));

test.after(() => rmSync(folder, { recursive: true }));
test.run();
