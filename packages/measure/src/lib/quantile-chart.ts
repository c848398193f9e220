/** Renders latency quantiles as an SVG chart: time over percentile, both on a logarithmic scale. */
import type { Histogram } from 'hdr-histogram-js';

/** One named curve; the histogram's values are in milliseconds. */
export interface Curve {
  readonly name: string;
  readonly histogram: Histogram;
}

const WIDTH = 720;
const HEIGHT = 360;
const LEFT = 70;
const RIGHT = 20;
const TOP = 20;
const BOTTOM = 50;
const PERCENTILES = [0, 50, 75, 90, 95, 99, 99.5, 99.9, 99.99] as const;
const PERCENT = 100;
const LOWEST_MS = 0.01;
const COLOURS = ['#1f5fa8', '#c4561a', '#2a7d46', '#7a3fa0', '#8a6d00', '#a3261d'] as const;

/** Computes the x coordinate of a percentile; each additional nine takes the same width. */
function computeX(percentile: number): number {
  const last = -Math.log10(1 - (PERCENTILES.at(-1) ?? 0) / PERCENT);
  const share = -Math.log10(1 - percentile / PERCENT) / last;
  return LEFT + share * (WIDTH - LEFT - RIGHT);
}

/** Computes the y coordinate of a time between the lowest and highest power of ten. */
function computeY(ms: number, lowest: number, highest: number): number {
  const share = (Math.log10(Math.max(ms, LOWEST_MS)) - lowest) / Math.max(1, highest - lowest);
  return HEIGHT - BOTTOM - share * (HEIGHT - TOP - BOTTOM);
}

/** Renders a text element. */
function renderText(x: number, y: number, anchor: string, text: string): string {
  return `<text x="${x.toFixed(1)}" y="${y.toFixed(1)}" text-anchor="${anchor}">${text}</text>`;
}

/** Renders the grid with its labels. */
function renderGrid(lowest: number, highest: number): string {
  const rows = Array.from({ length: highest - lowest + 1 }, (_, index) => lowest + index).map(
    (power) => {
      const y = computeY(10 ** power, lowest, highest);
      const line = `<line x1="${LEFT}" x2="${WIDTH - RIGHT}" y1="${y}" y2="${y}" class="grid"/>`;
      return line + renderText(LEFT - 8, y + 4, 'end', `${10 ** power} ms`);
    },
  );
  const columns = PERCENTILES.map((percentile) => {
    const x = computeX(percentile);
    const line = `<line x1="${x}" x2="${x}" y1="${TOP}" y2="${HEIGHT - BOTTOM}" class="grid"/>`;
    return line + renderText(x, HEIGHT - BOTTOM + 18, 'middle', `${percentile}%`);
  });
  return [...rows, ...columns].join('\n');
}

/** Renders the chart as an SVG document. */
export function renderChart(curves: readonly Curve[]): string {
  const values = curves.flatMap(({ histogram }) =>
    PERCENTILES.map((percentile) =>
      Math.max(LOWEST_MS, histogram.getValueAtPercentile(percentile)),
    ),
  );
  const lowest = Math.floor(Math.log10(Math.min(...values, 1)));
  const highest = Math.ceil(Math.log10(Math.max(...values, 10)));
  const lines = curves.map(({ name, histogram }, index) => {
    const points = PERCENTILES.map((percentile) => {
      const ms = histogram.getValueAtPercentile(percentile);
      return `${computeX(percentile).toFixed(1)},${computeY(ms, lowest, highest).toFixed(1)}`;
    });
    const colour = COLOURS[index % COLOURS.length];
    const legendX = LEFT + 10 + (index % 3) * 210;
    const legendY = HEIGHT - 16 + Math.floor(index / 3) * 14;
    return `<polyline points="${points.join(' ')}" fill="none" stroke="${colour}" stroke-width="2"/>
<rect x="${legendX}" y="${legendY - 9}" width="10" height="10" fill="${colour}"/>
${renderText(legendX + 15, legendY, 'start', name)}`;
  });
  return `<svg xmlns="http://www.w3.org/2000/svg" viewBox="0 0 ${WIDTH} ${HEIGHT + 10}" role="img">
<style>text{font:12px system-ui,sans-serif;fill:#333}.grid{stroke:#dde1e8}</style>
<rect width="100%" height="100%" fill="#fff"/>
${renderGrid(lowest, highest)}
${lines.join('\n')}
</svg>
`;
}
