/**
 * `publish`: shows what would change and what that affects, asks for confirmation, publishes, and
 * reports the outcome: accepted, refused and in favour of whom, or unknown.
 */
import { createInterface } from 'node:readline/promises';
import type { LogService } from 'vanilladock';
import { compareFile } from './diff-command.js';
import { EXIT_CODES, type ExitCode } from './exit-codes.js';
import { formatChanges } from './format-changes.js';
import { formatFaults } from './load-file.js';
import type { Output } from './output.js';
import { publishConfig, type OfferRecords, type PublishAnswer } from './publish.js';

/** The arguments of `publish`. */
export interface PublishRequest {
  /** Path of the configuration file. */
  readonly path: string;
  /** Name of the publisher. */
  readonly by: string;
  /** Publishes without asking for confirmation. */
  readonly isConfirmed: boolean;
  /** Version that the file is based on; the one in force when undefined. */
  readonly base: number | undefined;
}

/** Asks the operator for confirmation; anything but `y` or `yes` means no. */
async function waitForConfirmation(): Promise<boolean> {
  const terminal = createInterface({ input: process.stdin, output: process.stderr });
  const answer = await terminal.question('Publish this? [yes/no] ');
  terminal.close();
  return ['y', 'yes'].includes(answer.trim().toLowerCase());
}

/** Reports the result of publishing and chooses the exit code. */
function reportAnswer(path: string, answer: PublishAnswer, output: Output): ExitCode {
  switch (answer.kind) {
    case 'accepted':
      output.write(answer, output.formatGood(`accepted as version ${answer.offset}`));
      return EXIT_CODES.ok;
    case 'superseded': {
      const text = `refused: ${answer.winnerBy} published version ${answer.version} first; rebase your change on it and publish again`;
      output.write(answer, `${output.formatBad(text)}\n${formatChanges(answer.changes)}`);
      return EXIT_CODES.refused;
    }
    case 'invalid':
      output.write(answer, formatFaults(path, answer.faults));
      return EXIT_CODES.badInput;
    case 'not-published':
      output.write(answer, output.formatBad(`not published: ${answer.message}`));
      return EXIT_CODES.unreachable;
    case 'unknown':
      output.write(answer, output.formatBad(`unknown: ${answer.message}`));
      return EXIT_CODES.unknown;
    default:
      return answer satisfies never;
  }
}

/** Runs `publish`; resolves to the exit code. */
export async function runPublish(
  request: PublishRequest,
  service: LogService,
  offerRecords: OfferRecords,
  output: Output,
): Promise<ExitCode> {
  const compared = await compareFile(request.path, service, output);
  if (compared.kind === 'failed') return compared.code;
  output.writeProgress(formatChanges(compared.changes));
  if (!request.isConfirmed && !(await waitForConfirmation())) {
    output.writeError('nothing was published');
    return EXIT_CODES.ok;
  }
  output.writeProgress('publishing and reading back the log');
  const base = request.base ?? compared.base;
  const publication = { text: compared.text, base, by: request.by };
  const answer = await publishConfig(service, publication, offerRecords);
  return reportAnswer(request.path, answer, output);
}
