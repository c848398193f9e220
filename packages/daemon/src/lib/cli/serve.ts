/** `serve`: runs one entry until SIGTERM or SIGINT asks it to stop gracefully. */
import { startEntry } from '../entry.js';
import { OVERRIDABLE_SETTINGS, parseSettings, type SettingOverride } from '../settings.js';
import { EXIT_CODES, type ExitCode } from './exit-codes.js';
import { loadFile } from './load-file.js';
import type { Output } from './output.js';

/** Flag of an overridable setting: `listen.callers` becomes `listen-callers`. */
export function formatFlag(path: string): string {
  return path.replaceAll('.', '-').replaceAll(/[A-Z]/g, (letter) => `-${letter.toLowerCase()}`);
}

/** Lists the settings that were given as flags. */
export function listOverrides(
  flags: Readonly<Record<string, unknown>>,
): readonly SettingOverride[] {
  return OVERRIDABLE_SETTINGS.map((path) => ({ path, value: flags[formatFlag(path)] })).filter(
    ({ value }) => value !== undefined,
  );
}

/** Reports an error of starting and chooses its exit code. */
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

/** Waits for the first signal that asks the process to stop. */
function waitForSignal(): Promise<NodeJS.Signals> {
  return new Promise((resolve) => {
    process.once('SIGTERM', resolve);
    process.once('SIGINT', resolve);
  });
}

/** Runs one entry; resolves to the exit code when it has stopped. */
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
    const entry = await startEntry(settings.value);
    await waitForSignal();
    await entry.stop();
    return EXIT_CODES.ok;
  } catch (error) {
    return reportStartError(error as Error, output);
  }
}
