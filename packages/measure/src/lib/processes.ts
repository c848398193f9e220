/**
 * Starts real daemons and stand-ins as child processes for measurements. Their addresses are read
 * from their `started` log line. Only processes started here are stopped, each through its own
 * handle.
 */
import { spawn, type ChildProcess } from 'node:child_process';
import { mkdtempSync, rmSync, writeFileSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import type { Settings } from '@vanilladock/daemon/lib/settings.js';
import type { UpstreamOptions } from '@vanilladock/stand-ins';

/** Fields of one JSON log line. */
export type LogLine = Readonly<Record<string, unknown>>;

/** A child process that has logged `started`. */
export interface RunningProcess {
  readonly pid: number;
  /** Fields of its `started` log line. */
  readonly started: LogLine;
  /** Resolves to its exit code; null when it was terminated by a signal. */
  readonly exited: Promise<number | null>;
  /** Resolves to the next log line with this event; rejects when the process ends first. */
  readonly waitForEvent: (event: string) => Promise<LogLine>;
  /** Sends a signal, SIGTERM by default, and resolves to the exit code. */
  readonly stop: (signal?: NodeJS.Signals) => Promise<number | null>;
}

/** An entry daemon as a child process. */
export interface EntryProcess extends RunningProcess {
  /** Bound addresses, `ip:port`. */
  readonly addresses: {
    readonly callers: string;
    readonly operators: string;
    readonly peers?: string;
  };
}

/** A stand-in as a child process. */
export interface StandInProcess extends RunningProcess {
  /** Bound address, `ip:port`. */
  readonly address: string;
}

/** Settings of an entry; omitted ones get defaults for the loopback interface. */
export type EntrySettings = Partial<Settings> & Pick<Settings, 'id' | 'platform'>;

/** Shared key of all entries started here, sent with the requests that they authenticate. */
export const MEASURE_KEY = 'only-for-measurements';

const ENTRY_MAIN = new URL('../../../daemon/dist/lib/main.js', import.meta.url).pathname;
const STAND_IN_MAIN = new URL('../../../stand-ins/dist/lib/main.js', import.meta.url).pathname;
const ANY_PORT = '127.0.0.1:0';
const START_TIMEOUT_MS = 15_000;
const MAX_ERROR_TEXT_CHARS = 4_000;

/**
 * Parses a child's output and resolves the waiters of each event; output without waiters is
 * discarded.
 */
function watchEvents(child: ChildProcess) {
  const waiters = new Map<string, ((line: LogLine) => void)[]>();
  let partialLine = '';
  const handleLine = (line: string) => {
    const event = /"event":"([^"]*)"/.exec(line)?.[1] ?? '';
    const waiting = waiters.get(event);
    if (waiting === undefined) return;
    waiters.delete(event);
    waiting.forEach((resolve) => resolve(JSON.parse(line) as LogLine));
  };
  child.stdout?.on('data', (chunk: Buffer) => {
    if (waiters.size === 0) {
      partialLine = '';
      return;
    }
    const lines = (partialLine + chunk.toString()).split('\n');
    partialLine = lines.pop() ?? '';
    lines.forEach(handleLine);
  });
  return (event: string) =>
    new Promise<LogLine>((resolve) => {
      waiters.set(event, [...(waiters.get(event) ?? []), resolve]);
    });
}

/**
 * Starts Node on a script and waits for its `started` log line. Rejects with the end of its
 * standard error when the process ends first; a process that hasn't logged it after 15 s is killed.
 */
export async function startNodeProcess(
  script: string,
  args: readonly string[],
): Promise<RunningProcess> {
  const child = spawn(process.execPath, [script, ...args], { stdio: ['ignore', 'pipe', 'pipe'] });
  let errorText = '';
  child.stderr.on('data', (chunk: Buffer) => {
    errorText = (errorText + chunk.toString()).slice(-MAX_ERROR_TEXT_CHARS);
  });
  const exited = new Promise<number | null>((resolve) => {
    child.once('exit', resolve);
  });
  const watchEvent = watchEvents(child);
  const waitForEvent = (event: string) =>
    Promise.race([
      watchEvent(event),
      exited.then((code) => {
        throw new Error(`${script} ended with ${code} before the event ${event}: ${errorText}`);
      }),
    ]);
  const timer = setTimeout(() => child.kill('SIGKILL'), START_TIMEOUT_MS);
  const started = await waitForEvent('started').finally(() => clearTimeout(timer));
  return {
    pid: child.pid ?? 0,
    started,
    exited,
    waitForEvent,
    stop: (signal = 'SIGTERM') => {
      if (child.exitCode === null && child.signalCode === null) child.kill(signal);
      return exited;
    },
  };
}

/** Starts an entry daemon; addresses that the settings omit get ports chosen by the kernel. */
export async function startEntryProcess(settings: EntrySettings): Promise<EntryProcess> {
  const folder = mkdtempSync(join(tmpdir(), 'vanilladock-'));
  const path = join(folder, 'settings.yaml');
  const listen = { callers: ANY_PORT, operators: ANY_PORT, peers: ANY_PORT };
  const location = { region: 'tasmania', dataCentre: 'hobart', rack: 'r1' };
  const allSettings = { ...location, listen, key: MEASURE_KEY, ...settings };
  writeFileSync(path, JSON.stringify(allSettings));
  const running = await startNodeProcess(ENTRY_MAIN, ['serve', path]).finally(() =>
    rmSync(folder, { recursive: true }),
  );
  return { ...running, addresses: running.started as unknown as EntryProcess['addresses'] };
}

/** Starts a stand-in of a kind that `stand-ins/lib/main.js` knows. */
async function startStandIn(kind: string, options: unknown): Promise<StandInProcess> {
  const running = await startNodeProcess(STAND_IN_MAIN, [kind, JSON.stringify(options)]);
  return { ...running, address: String(running.started.address) };
}

/** Starts an upstream stand-in. */
export function startUpstreamProcess(options: UpstreamOptions): Promise<StandInProcess> {
  return startStandIn('upstream', options);
}

/** Starts a log service stand-in. */
export function startLogProcess(): Promise<StandInProcess> {
  return startStandIn('log', {});
}

/** Starts an instance list stand-in that serves a list `lagMs` after it was set. */
export function startInstancesProcess(lagMs = 0): Promise<StandInProcess> {
  return startStandIn('instances', { lagMs });
}
