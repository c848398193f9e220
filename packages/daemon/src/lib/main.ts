/** Entry point of the `vanilladock` command line: declares the commands and their options. */
import yargs from 'yargs';
import { hideBin } from 'yargs/helpers';
import { checkFile } from './cli/check.js';
import { runDemo } from './cli/demo.js';
import { reportDiff } from './cli/diff-command.js';
import { EXIT_CODES, type ExitCode } from './cli/exit-codes.js';
import { reportExplanation } from './cli/explain-command.js';
import { reportHistory } from './cli/history-command.js';
import { loadFile } from './cli/load-file.js';
import { createOutput, type Output } from './cli/output.js';
import { runPublish } from './cli/publish-command.js';
import { formatFlag, listOverrides, serveEntry } from './cli/serve.js';
import { reportStatus } from './cli/status.js';
import { drainLogs } from './json-log.js';
import { createRecordOffer } from './peers/offer-records.js';
import { createLogClient } from './platform/log-client.js';
import { OVERRIDABLE_SETTINGS, parseSettings, type Settings } from './settings.js';

/** Longest wait for a slow reader of the log at the end of `serve`, in milliseconds. */
const LOG_LIMIT_MS = 1_000;

const DEFAULT_SETTINGS = 'vanilladock.yaml';

/** Sets the process's exit code to a command's result. */
function setExitCode(code: ExitCode): void {
  process.exitCode = code;
}

/** Loads the settings file and runs a command with it; reports a faulty file and does not run. */
async function runWithSettings(
  path: string,
  output: Output,
  run: (settings: Settings) => Promise<ExitCode>,
): Promise<void> {
  const settings = loadFile(path, parseSettings);
  if (settings.isErr()) {
    output.writeError(settings.error);
    setExitCode(EXIT_CODES.badInput);
    return;
  }
  setExitCode(await run(settings.value));
}

/**
 * Runs `serve` and ends the process. It does not end by itself: a long poll or an order to the
 * platform in progress, whose answer nothing waits for any more, would hold it for its time limit.
 */
async function runServe(path: string, flags: Readonly<Record<string, unknown>>, output: Output) {
  const code = await serveEntry(path, listOverrides(flags), output);
  await drainLogs(LOG_LIMIT_MS);
  process.exit(code);
}

const settingsOption = {
  type: 'string',
  default: DEFAULT_SETTINGS,
  describe: 'settings file',
} as const;

const jsonOption = {
  type: 'boolean',
  default: false,
  describe: 'print one JSON object',
} as const;

await yargs(hideBin(process.argv))
  .scriptName('vanilladock')
  .option('json', jsonOption)
  .command(
    'serve [settings]',
    'run one entry',
    (args) => {
      const flags: Readonly<Record<string, { describe: string; group: string }>> =
        Object.fromEntries(
          OVERRIDABLE_SETTINGS.map((path) => [
            formatFlag(path),
            { describe: `overrides ${path}`, group: 'Settings:' },
          ]),
        );
      return args.options(flags).positional('settings', settingsOption).option('json', jsonOption);
    },
    (args) => runServe(String(args.settings), args, createOutput(args.json)),
  )
  .command(
    'check <file>',
    'check a configuration file',
    (args) => args.positional('file', { type: 'string', demandOption: true }),
    ({ file, json }) => setExitCode(checkFile(file, createOutput(json))),
  )
  .command(
    'status [entries..]',
    'show the status of entries; ENTRIES are the ip:port of their operators’ ports',
    (args) =>
      args
        .positional('entries', { type: 'string', array: true, default: [] as string[] })
        .option('settings', settingsOption),
    ({ settings: path, entries, json }) => {
      const output = createOutput(json);
      return runWithSettings(path, output, (settings) => {
        const addresses = entries.length > 0 ? entries : [settings.listen.operators];
        return reportStatus(addresses, settings.key, output);
      });
    },
  )
  .command(
    'diff <file>',
    'show what a file would change and what that affects',
    (args) =>
      args
        .positional('file', { type: 'string', demandOption: true })
        .option('settings', settingsOption),
    ({ settings: path, file, json }) => {
      const output = createOutput(json);
      return runWithSettings(path, output, ({ platform }) =>
        reportDiff(file, createLogClient(platform.log), output),
      );
    },
  )
  .command(
    'publish <file>',
    'publish a configuration',
    (args) =>
      args
        .positional('file', { type: 'string', demandOption: true })
        .option('by', { type: 'string', demandOption: true, describe: 'name of the publisher' })
        .option('yes', {
          type: 'boolean',
          default: false,
          describe: 'publish without confirmation',
        })
        .option('base', { type: 'number', describe: 'version that the file is based on' })
        .option('settings', settingsOption),
    ({ settings: path, file, by, yes, base, json }) => {
      const output = createOutput(json);
      return runWithSettings(path, output, ({ platform, key, peers, listen }) => {
        const request = { path: file, by, isConfirmed: yes, base };
        const offer = createRecordOffer(key, () => [...peers, listen.peers]);
        return runPublish(request, createLogClient(platform.log), offer, output);
      });
    },
  )
  .command(
    'history',
    'list publications and their outcomes',
    (args) => args.option('settings', settingsOption),
    ({ settings: path, json }) => {
      const output = createOutput(json);
      return runWithSettings(path, output, ({ platform }) =>
        reportHistory(createLogClient(platform.log), output),
      );
    },
  )
  .command(
    'explain <path>',
    'show the default or exception that sets a value',
    (args) =>
      args
        .positional('path', { type: 'string', demandOption: true })
        .option('settings', settingsOption),
    ({ settings, path, json }) => {
      const output = createOutput(json);
      return runWithSettings(settings, output, ({ platform }) =>
        reportExplanation(path, createLogClient(platform.log), output),
      );
    },
  )
  .command('demo', 'run entries and stand-ins in one process', {}, runDemo)
  .example('$0 serve entry-1.yaml --log-level warn', 'run an entry with fewer log lines')
  .example('$0 check fleet.yaml', 'check a configuration before publishing it')
  .example('$0 publish fleet.yaml --by ada --yes', 'publish from a script')
  .example('$0 explain teams.market-stalls.weight', 'see who set a value and why')
  .epilogue(
    'Exit codes: 0 success, 1 failed, 2 bad input, 3 refused, 4 unknown, 5 unreachable, 6 address in use.',
  )
  .demandCommand(1, 'specify a command')
  .strict()
  .wrap(null)
  .help()
  .parseAsync();
