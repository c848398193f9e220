/** Command line of vanilladock. */
import { readFileSync } from 'node:fs';
import yargs from 'yargs';
import { hideBin } from 'yargs/helpers';
import { runDemo } from './cli/demo.js';
import { startEntry } from './entry.js';
import { parseSettings } from './settings.js';

const EXIT_BAD_INPUT = 2;
const EXIT_CANNOT_START = 3;

/** Starts a daemon from a settings file and stops it gracefully on SIGTERM or SIGINT. */
async function serveEntry(path: string): Promise<void> {
  const settings = parseSettings(readFileSync(path, 'utf8'));
  if (settings.isErr()) {
    settings.error.forEach(({ line, column, path: at, message }) =>
      process.stderr.write(`${path}:${line}:${column} ${at}: ${message}\n`),
    );
    process.exitCode = EXIT_BAD_INPUT;
    return;
  }
  const entry = await startEntry(settings.value).catch((error: Error) => {
    process.stderr.write(`${error.message}\n`);
    return process.exit(EXIT_CANNOT_START);
  });
  const handleSignal = () => void entry.stop().then(() => process.exit(0));
  process.once('SIGTERM', handleSignal);
  process.once('SIGINT', handleSignal);
}

await yargs(hideBin(process.argv))
  .scriptName('vanilladock')
  .command(
    'serve <settings>',
    'run one entry',
    (args) => args.positional('settings', { type: 'string', demandOption: true }),
    ({ settings }) => serveEntry(settings),
  )
  .command('demo', 'run entries and stand-ins in one process', {}, runDemo)
  .demandCommand(1)
  .strict()
  .help()
  .parseAsync();
