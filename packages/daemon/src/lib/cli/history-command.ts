/** `history`: lists publications with author, time and outcome. */
import type { PublicationEntry, LogService } from 'vanilladock';
import { EXIT_CODES, type ExitCode } from './exit-codes.js';
import type { Output } from './output.js';
import { readHistory } from './publish.js';

/** Formats the outcome of a publication. */
function formatOutcome({ fate }: PublicationEntry): string {
  switch (fate.kind) {
    case 'accepted':
      return 'accepted';
    case 'superseded':
      return `refused, ${fate.winnerBy} published first`;
    case 'invalid':
      return 'invalid';
    default:
      return fate satisfies never;
  }
}

/** Formats one publication as a line. */
function formatEntry(entry: PublicationEntry): string {
  const { offset, base, by, atMs } = entry;
  const from = base < 0 ? 'first' : `from ${base}`;
  return `${offset}  ${new Date(atMs).toISOString()}  ${by}  ${from}  ${formatOutcome(entry)}`;
}

/** Runs `history`, oldest publication first; resolves to the exit code. */
export async function reportHistory(service: LogService, output: Output): Promise<ExitCode> {
  const history = await readHistory(service);
  if (history === undefined) {
    output.writeError('the log service cannot be reached; try again when it is back');
    return EXIT_CODES.unreachable;
  }
  const text =
    history.length === 0 ? 'nothing has been published yet' : history.map(formatEntry).join('\n');
  output.write({ history }, text);
  return EXIT_CODES.ok;
}
