/** Test helper: an entry as a process of its own, with stand-ins of the platform and one upstream. */
import { spawn, type ChildProcess } from 'node:child_process';
import { mkdtempSync, readFileSync, rmSync, writeFileSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { dirname, join } from 'node:path';
import { startInstanceServer, startLogServer, startUpstream } from '@vanilladock/stand-ins';
import type { Upstream } from '@vanilladock/stand-ins';
import * as assert from 'uvu/assert';
import { publishConfig } from '../lib/cli/publish.js';
import { createLogClient } from '../lib/platform/log-client.js';
import { waitMs } from '../lib/servers.js';

const MAIN = new URL('../lib/main.js', import.meta.url).pathname;
const CONFIG = new URL('../../../../examples/smokehouse.yaml', import.meta.url);
/** Time within which a process starts on a busy machine, in milliseconds. */
const START_LIMIT_MS = 30_000;
const POLL_MS = 20;
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

/** What a test changes for its entry. */
export interface EntryProcessOptions {
  /** Replaces one line of the example configuration by another. */
  readonly configLine?: { readonly from: string; readonly to: string };
  /** Address of the listed upstream, instead of the stand-in's. */
  readonly upstreamAddress?: string;
  /** Gives the address at which the entry reaches the log; the log's own when omitted. */
  readonly openLogProxy?: (logAddress: string) => Promise<string>;
}

/** Waits until a value is there; rejects after `START_LIMIT_MS`. */
async function pollValue<T>(read: () => Promise<T | undefined>): Promise<T> {
  const endMs = performance.now() + START_LIMIT_MS;
  for (;;) {
    const value = await read();
    if (value !== undefined) return value;
    if (performance.now() > endMs)
      throw new Error(`the entry did not start in ${START_LIMIT_MS} ms`);
    await waitMs(POLL_MS);
  }
}

/** Publishes the example configuration, with a line replaced. */
async function publishExample(log: string, { configLine }: EntryProcessOptions): Promise<void> {
  const example = readFileSync(CONFIG, 'utf8');
  const text = configLine === undefined ? example : example.replace(configLine.from, configLine.to);
  const publication = await publishConfig(createLogClient(log), { text, base: -1, by: 'ada' });
  assert.is(publication.kind, 'accepted');
}

/** Starts the process and resolves to it once it is ready. */
async function openEntry(child: ChildProcess, upstream: Upstream): Promise<EntryProcess> {
  let output = '';
  child.stdout?.on('data', (chunk: Buffer) => {
    output += chunk.toString();
  });
  child.stderr?.on('data', (chunk: Buffer) => process.stderr.write(chunk));
  const exit = new Promise<EntryExit>((resolve) => {
    child.once('close', (code, signal) => resolve({ code, signal, atMs: performance.now() }));
  });
  const listLines = () =>
    output
      .split('\n')
      .slice(0, -1)
      .map((line) => JSON.parse(line) as EntryLine);
  const { callers, operators } = await pollValue(async () =>
    listLines().find(({ event }) => event === 'started'),
  );
  await pollValue(async () =>
    (await fetch(`http://${String(operators)}/ready`)).ok ? true : undefined,
  );
  return { callers: String(callers), upstream, child, exit, listLines };
}

/**
 * Runs a test with an entry process that serves the example configuration, and ends the process
 * whatever happens; `extra` are further lines of its settings.
 */
export async function runWithEntry(
  extra: string,
  run: (entry: EntryProcess) => Promise<void>,
  options: EntryProcessOptions = {},
): Promise<void> {
  const logServer = await startLogServer();
  const instances = await startInstanceServer();
  const upstream = await startUpstream({ service: 'prices', slots: 64, workMs: 1 });
  const address = options.upstreamAddress ?? upstream.address;
  const fields = { role: 'upstream', service: 'prices', state: 'live', attributes: {} } as const;
  instances.setInstances([{ ...fields, id: 'prices-0', address, location: LOCATION }]);
  await publishExample(logServer.address, options);
  const logAddress = (await options.openLogProxy?.(logServer.address)) ?? logServer.address;
  const path = writeSettings(logAddress, instances.address, extra);
  const child = spawn(process.execPath, [MAIN, 'serve', path], {
    stdio: ['ignore', 'pipe', 'pipe'],
  });
  try {
    await run(await openEntry(child, upstream));
  } finally {
    if (child.exitCode === null && child.signalCode === null) child.kill('SIGKILL');
    rmSync(dirname(path), { recursive: true });
    await Promise.all([logServer.close(), instances.close(), upstream.close()]);
  }
}
