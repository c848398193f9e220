/**
 * The measure tool: `measure list` names the measurements, `measure NAME` runs one. With `--json` the
 * last line of standard output is one JSON object.
 */
import yargs from 'yargs';
import { hideBin } from 'yargs/helpers';
import { MEASURES } from './registry.js';

const EXIT_BAD_INPUT = 2;
const DEFAULT_SEED = 1;

/** Writes a line of progress to standard error. */
function logProgress(line: string): void {
  process.stderr.write(`${line}\n`);
}

/** Lists the measurements on standard output. */
function listMeasures(): void {
  MEASURES.forEach(({ name, describe }) => process.stdout.write(`${name}\t${describe}\n`));
}

/** Runs one measurement and writes its figures. */
async function runMeasure(name: string, seed: number, isJson: boolean): Promise<void> {
  const measure = MEASURES.find((candidate) => candidate.name === name);
  if (measure === undefined) {
    process.stderr.write(`there is no measurement ${name}; see: npm run measure -- list\n`);
    process.exitCode = EXIT_BAD_INPUT;
    return;
  }
  const figures = { ...(await measure.run({ seed, log: logProgress })), seed };
  if (isJson) process.stdout.write(`${JSON.stringify(figures)}\n`);
  else {
    Object.entries(figures).forEach(([key, value]) => process.stdout.write(`${key}\t${value}\n`));
  }
}

await yargs(hideBin(process.argv))
  .scriptName('measure')
  .command('list', 'name the measurements', {}, listMeasures)
  .command(
    '$0 <name>',
    'run a measurement',
    (args) =>
      args
        .positional('name', { type: 'string', demandOption: true })
        .option('seed', { type: 'number', default: DEFAULT_SEED })
        .option('json', { type: 'boolean', default: false }),
    ({ name, seed, json }) => runMeasure(name, seed, json),
  )
  .strict()
  .help()
  .parseAsync();
