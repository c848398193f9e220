/** `diff`: shows the changes between the configuration in force and a file. */
import { diffConfigs, parseConfig, type ConfigChange, type LogService } from 'vanilladock';
import { EXIT_CODES, type ExitCode } from './exit-codes.js';
import { formatChanges } from './format-changes.js';
import { formatFaults, loadText } from './load-file.js';
import type { Output } from './output.js';
import { readConfigState } from './publish.js';

/**
 * A file compared with the version in force, or the exit code of a failure that was already
 * reported.
 */
export type ComparedFile =
  | {
      readonly kind: 'compared';
      readonly text: string;
      /** Version in force; -1 before the first publication. */
      readonly base: number;
      readonly changes: readonly ConfigChange[];
    }
  | { readonly kind: 'failed'; readonly code: ExitCode };

/** Compares a file with the configuration in force; reports why it cannot be compared. */
export async function compareFile(
  path: string,
  service: LogService,
  output: Output,
): Promise<ComparedFile> {
  const text = loadText(path);
  if (text.isErr()) {
    output.writeError(text.error);
    return { kind: 'failed', code: EXIT_CODES.badInput };
  }
  const config = parseConfig(text.value);
  if (config.isErr()) {
    output.writeError(formatFaults(path, config.error));
    return { kind: 'failed', code: EXIT_CODES.badInput };
  }
  output.writeProgress('reading the log');
  const state = await readConfigState(service);
  if (state === undefined) {
    output.writeError('the log service cannot be reached; try again when it is back');
    return { kind: 'failed', code: EXIT_CODES.unreachable };
  }
  const changes = diffConfigs(state.config, config.value);
  return { kind: 'compared', text: text.value, base: state.version, changes };
}

/** Runs `diff` on a file; resolves to the exit code. */
export async function reportDiff(
  path: string,
  service: LogService,
  output: Output,
): Promise<ExitCode> {
  const compared = await compareFile(path, service, output);
  if (compared.kind === 'failed') return compared.code;
  const { base, changes } = compared;
  output.write({ base, changes }, formatChanges(changes));
  return EXIT_CODES.ok;
}
