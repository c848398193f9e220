/** Test helper: an entry as a process of its own, with stand-ins of the platform and one upstream. */
import { spawn, type ChildProcess } from 'node:child_process';
import { mkdtempSync, readFileSync, rmSync, writeFileSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { startInstanceServer, startLogServer, startUpstream } from '@vanilladock/stand-ins';
import type { Upstream } from '@vanilladock/stand-ins';
import * as assert from 'uvu/assert';
import { publishConfig } from '../lib/cli/publish.js';
import { createLogClient } from '../lib/platform/log-client.js';
import { waitFor } from './routing-harness.js';

const MAIN = new URL('../lib/main.js', import.meta.url).pathname;
const CONFIG = new URL('../../../../examples/smokehouse.yaml', import.meta.url);
const LOCATION = { region: 'tasmania', dataCentre: 'hobart', rack: 'r1' };

/** A log line of the entry. */
export type EntryLine = Readonly<Record<string, unknown>>;

/** How the process ended. */
export interface EntryExit {
  readonly code: number | null;
  readonly signal: NodeJS.Signals | null;
  /** Monotonic time of the exit, in milliseconds. */
  readonly atMs: number;
}

/** A ready entry process. */
export interface EntryProcess {
  readonly callers: string;
  readonly upstream: Upstream;
  readonly child: ChildProcess;
  /** Resolves when the process has exited and its output is read. */
  readonly exit: Promise<EntryExit>;
  readonly listLines: () => readonly EntryLine[];
  /** Ends everything that is still running. */
  readonly close: () => Promise<void>;
}

/** Writes a settings file into a new folder; `extra` are further lines of it. */
export function writeSettings(log: string, instances: string, extra: string): string {
  const folder = mkdtempSync(join(tmpdir(), 'entry-'));
  const path = join(folder, 'settings.yaml');
  const listen = '{ callers: "127.0.0.1:0", operators: "127.0.0.1:0", peers: "127.0.0.1:0" }';
  const platform = `{ log: "${log}", instances: "${instances}" }`;
  const head = 'id: entry-1\nregion: tasmania\ndataCentre: hobart\nrack: r1\n';
  writeFileSync(
    path,
    `${head}key: only-for-this-test-run\nlisten: ${listen}\nplatform: ${platform}\n${extra}\n`,
  );
  return path;
}

/** Starts an entry process and resolves once it serves the configuration. */
export async function startEntryProcess(extra: string): Promise<EntryProcess> {
  const logServer = await startLogServer();
  const instances = await startInstanceServer();
  const upstream = await startUpstream({ service: 'prices', slots: 64, workMs: 1 });
  const { address } = upstream;
  const fields = { role: 'upstream', service: 'prices', state: 'live', attributes: {} } as const;
  instances.setInstances([{ ...fields, id: 'prices-0', address, location: LOCATION }]);
  const text = readFileSync(CONFIG, 'utf8');
  const publication = await publishConfig(createLogClient(logServer.address), {
    text,
    base: -1,
    by: 'ada',
  });
  assert.is(publication.kind, 'accepted');
  const path = writeSettings(logServer.address, instances.address, extra);
  const child = spawn(process.execPath, [MAIN, 'serve', path], {
    stdio: ['ignore', 'pipe', 'inherit'],
  });
  let output = '';
  child.stdout?.on('data', (chunk: Buffer) => {
    output += chunk.toString();
  });
  const exit = new Promise<EntryExit>((resolve) => {
    child.once('close', (code, signal) => resolve({ code, signal, atMs: performance.now() }));
  });
  const listLines = () =>
    output
      .split('\n')
      .slice(0, -1)
      .map((line) => JSON.parse(line) as EntryLine);
  const findLine = (event: string) => listLines().find((line) => line.event === event);
  await waitFor(() => findLine('started') !== undefined);
  const { callers, operators } = findLine('started') ?? {};
  const isReady = async () => (await fetch(`http://${String(operators)}/ready`)).ok;
  while (!(await isReady())) {
    await new Promise((resolve) => {
      setTimeout(resolve, 20);
    });
  }
  return {
    callers: String(callers),
    upstream,
    child,
    exit,
    listLines,
    close: async () => {
      if (child.exitCode === null && child.signalCode === null) child.kill('SIGKILL');
      await exit;
      rmSync(join(path, '..'), { recursive: true });
      await Promise.all([logServer.close(), instances.close(), upstream.close()]);
    },
  };
}
