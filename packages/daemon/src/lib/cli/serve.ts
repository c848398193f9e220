/** `serve`: runs one entry until SIGTERM, SIGINT or SIGHUP, then stops it gracefully. */
import { startEntry } from '../entry.js';
import { OVERRIDABLE_SETTINGS, parseSettings, type SettingOverride } from '../settings.js';
import { EXIT_CODES, type ExitCode } from './exit-codes.js';
import { loadFile } from './load-file.js';
import type { Output } from './output.js';

/**
 * Formats the path of a setting as the name of its flag, without the leading dashes:
 * `listen.callers` becomes `listen-callers`, `logLevel` becomes `log-level`.
 */
export function formatFlag(path: string): string {
  return path.replaceAll('.', '-').replaceAll(/[A-Z]/g, (letter) => `-${letter.toLowerCase()}`);
}

/** Lists the settings that were passed as flags. */
export function listOverrides(
  flags: Readonly<Record<string, unknown>>,
): readonly SettingOverride[] {
  return OVERRIDABLE_SETTINGS.map((path) => ({ path, value: flags[formatFlag(path)] })).filter(
    ({ value }) => value !== undefined,
  );
}

/** Reports why an entry could not start and chooses the exit code. */
function reportStartError(error: Error, output: Output): ExitCode {
  output.writeError(error.message);
  const { code } = (error.cause ?? {}) as NodeJS.ErrnoException;
  switch (code ?? '') {
    case 'EADDRINUSE':
      return EXIT_CODES.addressInUse;
    case 'EADDRNOTAVAIL':
    case 'EACCES':
      return EXIT_CODES.badInput;
    default:
      return EXIT_CODES.failed;
  }
}

/** Signals that stop the entry gracefully; SIGKILL ends it at once. */
const STOP_SIGNALS = ['SIGTERM', 'SIGINT', 'SIGHUP'] as const;

/**
 * Resolves at the first signal that stops the entry. The handlers stay until the process ends: the
 * default effect of a repeated signal is to kill the process with the requests in progress.
 */
function waitForSignal(output: Output): Promise<void> {
  return new Promise((resolve) => {
    let isStopping = false;
    const handleSignal = (signal: NodeJS.Signals) => {
      if (isStopping) output.writeError(`${signal}: the entry is stopping already`);
      isStopping = true;
      resolve();
    };
    STOP_SIGNALS.forEach((signal) => process.on(signal, handleSignal));
  });
}

/** Runs `serve`; resolves to the exit code when the entry has stopped. */
export async function serveEntry(
  path: string,
  overrides: readonly SettingOverride[],
  output: Output,
): Promise<ExitCode> {
  const settings = loadFile(path, (text) => parseSettings(text, overrides));
  if (settings.isErr()) {
    output.writeError(settings.error);
    return EXIT_CODES.badInput;
  }
  try {
    // Before the start: its servers take requests before the last of them is open.
    const signalled = waitForSignal(output);
    const entry = await startEntry(settings.value);
    await signalled;
    await entry.stop();
    return EXIT_CODES.ok;
  } catch (error) {
    return reportStartError(error as Error, output);
  }
}
