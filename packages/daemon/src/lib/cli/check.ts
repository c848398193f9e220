/** `check`: validates a configuration file and reports its faults. */
import { parseConfig } from 'vanilladock';
import { EXIT_CODES, type ExitCode } from './exit-codes.js';
import { formatFaults, loadText } from './load-file.js';
import type { Output } from './output.js';

/** Runs `check` on a file; returns the exit code. */
export function checkFile(path: string, output: Output): ExitCode {
  const text = loadText(path);
  if (text.isErr()) {
    output.writeError(text.error);
    return EXIT_CODES.badInput;
  }
  const config = parseConfig(text.value);
  if (config.isErr()) {
    const faults = config.error;
    output.write({ file: path, faults }, formatFaults(path, faults));
    return EXIT_CODES.badInput;
  }
  const { pools, services, teams, exceptions } = config.value;
  const counts = {
    pools: pools.length,
    services: services.length,
    teams: teams.length,
    exceptions: exceptions.length,
  };
  const summary = Object.entries(counts).map(([name, count]) => `${count} ${name}`);
  output.write({ file: path, faults: [], ...counts }, `${path} is valid: ${summary.join(', ')}`);
  return EXIT_CODES.ok;
}
