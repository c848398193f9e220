/** `explain`: shows the effective value at a path and the default or exception that sets it. */
import { explainPath, type ExplainedValue, type LogService } from 'vanilladock';
import { EXIT_CODES, type ExitCode } from './exit-codes.js';
import type { Output } from './output.js';
import { readConfigState } from './publish.js';

/** Formats the origin of a value. */
function formatOrigin({ origin }: ExplainedValue): string {
  switch (origin.kind) {
    case 'default':
      return 'the default';
    case 'exception': {
      const { author, reason, until, scope } = origin.exception;
      const end = until === undefined ? '' : ` until ${until}`;
      return `exception ${origin.index + 1} ${JSON.stringify(scope)} by ${author}${end}: ${reason}`;
    }
    default:
      return origin satisfies never;
  }
}

/** Formats one value with its origin. */
function formatValue(explained: ExplainedValue): string {
  return `${explained.name} = ${JSON.stringify(explained.value)}, from ${formatOrigin(explained)}`;
}

/** Runs `explain` on a path such as `teams.market-stalls.weight`; resolves to the exit code. */
export async function reportExplanation(
  path: string,
  service: LogService,
  output: Output,
): Promise<ExitCode> {
  const state = await readConfigState(service);
  if (state === undefined) {
    output.writeError('the log service cannot be reached; try again when it is back');
    return EXIT_CODES.unreachable;
  }
  if (state.config === undefined) {
    output.writeError('no configuration is in force; publish one first');
    return EXIT_CODES.badInput;
  }
  const explained = explainPath(state.config, path, Date.now());
  if (explained.isErr()) {
    output.writeError(explained.error);
    return EXIT_CODES.badInput;
  }
  const values = explained.value;
  output.write({ path, version: state.version, values }, values.map(formatValue).join('\n'));
  return EXIT_CODES.ok;
}
