/** `history`: lists publications with author, time and what became of each. */
import type { HistoryEntry, LogService } from 'vanilladock';
import { EXIT_CODES, type ExitCode } from './exit-codes.js';
import type { Output } from './output.js';
import { readHistory } from './publish.js';

/** Words what became of a publication. */
function formatFate({ fate }: HistoryEntry): string {
  switch (fate.kind) {
    case 'accepted':
      return 'accepted';
    case 'superseded':
      return `refused, ${fate.winnerBy} was first`;
    case 'invalid':
      return 'invalid';
    default:
      return fate satisfies never;
  }
}

/** Words one publication. */
function formatEntry(entry: HistoryEntry): string {
  const { offset, base, by, atMs } = entry;
  const from = base < 0 ? 'first' : `from ${base}`;
  return `${offset}  ${new Date(atMs).toISOString()}  ${by}  ${from}  ${formatFate(entry)}`;
}

/** Lists publications, oldest first. */
export async function reportHistory(service: LogService, output: Output): Promise<ExitCode> {
  const history = await readHistory(service);
  if (history === undefined) {
    output.writeError('the log service cannot be reached; try again when it is back');
    return EXIT_CODES.unreachable;
  }
  const text =
    history.length === 0 ? 'nothing was published yet' : history.map(formatEntry).join('\n');
  output.write({ history }, text);
  return EXIT_CODES.ok;
}
