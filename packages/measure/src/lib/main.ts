/**
 * The measure tool: `measure list` lists the measurements, `measure NAME` runs one and checks its
 * figures against their bounds. With `--json`, the last line of standard output is a JSON object.
 */
import type { Histogram } from 'hdr-histogram-js';
import yargs from 'yargs';
import { hideBin } from 'yargs/helpers';
import { compareRevisions } from './against.js';
import { checkFigures, formatBound } from './bounds.js';
import type { Figures, Measure } from './measure.js';
import type { Curve } from './quantile-chart.js';
import { MEASURES } from './registry.js';
import { writeReport, type MeasureResult } from './report.js';

const EXIT_BAD_INPUT = 2;
const EXIT_NOT_MET = 3;
const DEFAULT_SEED = 1;
const DEFAULT_ROUNDS = 3;

/** Flags of one run. */
interface RunFlags {
  readonly seed: number;
  readonly json: boolean;
  readonly report: string | undefined;
  readonly against: string | undefined;
  readonly rounds: number;
}

/** Writes a line of progress to standard error. */
function logProgress(line: string): void {
  process.stderr.write(`${line}\n`);
}

/** Lists the measurements on standard output. */
function listMeasures(): void {
  MEASURES.forEach(({ name, describe }) => process.stdout.write(`${name}\t${describe}\n`));
}

/**
 * Runs a measurement on the working tree, or alternately on an earlier revision and the working
 * tree.
 */
async function runMeasure(measure: Measure, flags: RunFlags): Promise<MeasureResult> {
  const { name, describe } = measure;
  const { seed, against, rounds } = flags;
  if (against !== undefined) {
    const comparison = { revision: against, name, seed, rounds, log: logProgress };
    const { before, after } = await compareRevisions(comparison);
    const earlier = { revision: against, figures: before };
    return { name, describe, figures: after, curves: [], before: earlier };
  }
  const curves: Curve[] = [];
  const addCurve = (curve: string, histogram: Histogram) => curves.push({ name: curve, histogram });
  const figures = await measure.run({ seed, log: logProgress, addCurve });
  return { name, describe, figures: { ...figures, seed }, curves };
}

/** Writes figures as a tab-separated table. */
function writeTable({ name, figures, before }: MeasureResult): void {
  checkFigures(name, figures).forEach(({ figure, value, bound, isMet }) => {
    const verdict = isMet ? 'met' : 'NOT MET';
    const judged = bound === undefined ? '' : `\t${formatBound(bound)}\t${verdict}`;
    const earlier = before === undefined ? '' : `\t${before.revision}: ${before.figures[figure]}`;
    process.stdout.write(`${figure}\t${value}${judged}${earlier}\n`);
  });
}

/** Makes the JSON object; earlier figures have the prefix `before_`. */
function makeJson({ figures, before }: MeasureResult): Figures {
  const earlier = Object.entries(before?.figures ?? {});
  return {
    ...figures,
    ...Object.fromEntries(earlier.map(([key, value]) => [`before_${key}`, value])),
  };
}

/** Runs the measurement `name`, writes its figures and sets the exit code. */
async function handleRun(name: string, flags: RunFlags): Promise<void> {
  const measure = MEASURES.find((candidate) => candidate.name === name);
  if (measure === undefined) {
    logProgress(`unknown measurement ${name}; for a list run: npm run measure -- list`);
    process.exitCode = EXIT_BAD_INPUT;
    return;
  }
  const result = await runMeasure(measure, flags);
  if (flags.report !== undefined) logProgress(`report: ${writeReport(flags.report, result)}`);
  if (flags.json) process.stdout.write(`${JSON.stringify(makeJson(result))}\n`);
  else writeTable(result);
  const isMet = checkFigures(name, result.figures).every((judgement) => judgement.isMet);
  if (!isMet) process.exitCode = EXIT_NOT_MET;
}

await yargs(hideBin(process.argv))
  .scriptName('measure')
  .command('list', 'list the measurements', {}, listMeasures)
  .command(
    '$0 <name>',
    'run a measurement',
    (args) =>
      args
        .positional('name', { type: 'string', demandOption: true })
        .option('seed', { type: 'number', default: DEFAULT_SEED })
        .option('json', { type: 'boolean', default: false, describe: 'end the output with JSON' })
        .option('report', { type: 'string', describe: 'folder for a Markdown and SVG report' })
        .option('against', { type: 'string', describe: 'earlier revision to compare with' })
        .option('rounds', {
          type: 'number',
          default: DEFAULT_ROUNDS,
          describe: 'rounds of --against',
        }),
    ({ name, ...flags }) => handleRun(name, flags as RunFlags),
  )
  .epilogue('Exit codes: 0 all bounds met, 2 bad input, 3 a bound not met.')
  .strict()
  .help()
  .parseAsync();
