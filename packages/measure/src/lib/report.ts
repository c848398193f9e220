/**
 * Writes the report of a measurement into a folder: a Markdown page and, with curves, an SVG chart.
 */
import { mkdirSync, writeFileSync } from 'node:fs';
import { join } from 'node:path';
import { checkFigures, formatBound } from './bounds.js';
import type { Figures } from './measure.js';
import { renderChart, type Curve } from './quantile-chart.js';

/** A finished measurement. */
export interface MeasureResult {
  readonly name: string;
  readonly describe: string;
  readonly figures: Figures;
  readonly curves: readonly Curve[];
  /** Figures of an earlier commit, measured in the same run; absent without a comparison. */
  readonly before?: { readonly revision: string; readonly figures: Figures };
}

/** Renders the table of figures. */
function renderTable({ name, figures, before }: MeasureResult): string {
  const headings = ['figure', 'value', 'bound', 'met', ...(before ? [before.revision] : [])];
  const rows = checkFigures(name, figures).map(({ figure, value, bound, isMet }) => {
    const met = isMet ? 'yes' : '**no**';
    const verdict = bound === undefined ? '' : met;
    const earlier = before ? [String(before.figures[figure] ?? '')] : [];
    return [figure, String(value), formatBound(bound), verdict, ...earlier];
  });
  const lines = [headings, headings.map(() => '---'), ...rows];
  return lines.map((cells) => `| ${cells.join(' | ')} |`).join('\n');
}

/** Renders the report as a Markdown page. */
export function renderReport(result: MeasureResult): string {
  const chart = result.curves.length > 0 ? `\n![Quantiles](${result.name}.svg)\n` : '';
  return `# ${result.name}\n\n${result.describe}\n\n${renderTable(result)}\n${chart}`;
}

/** Writes the page and the chart; returns the page's path. */
export function writeReport(folder: string, result: MeasureResult): string {
  mkdirSync(folder, { recursive: true });
  const path = join(folder, `${result.name}.md`);
  writeFileSync(path, renderReport(result));
  if (result.curves.length > 0) {
    writeFileSync(join(folder, `${result.name}.svg`), renderChart(result.curves));
  }
  return path;
}
