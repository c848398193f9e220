/** Tests checking figures against bounds and reporting them. */
import { build } from 'hdr-histogram-js';
import * as assert from 'uvu/assert';
import { suite } from 'uvu';
import { checkFigures } from '../lib/bounds.js';
import { renderChart } from '../lib/quantile-chart.js';
import { renderReport } from '../lib/report.js';

const test = suite('report');

test('a figure outside its bound is not met, nor is a missing one', () => {
  const judged = checkFigures('control', { cpu_fraction: 0.03, added_mb: 20 });
  const isMet = Object.fromEntries(judged.map((judgement) => [judgement.figure, judgement.isMet]));
  assert.equal(isMet, { cpu_fraction: false, added_mb: true, bytes_per_s: false });
});

test('a figure that is NaN is not met', () => {
  assert.not.ok(checkFigures('control', { cpu_fraction: NaN })[0]?.isMet);
});

test('a figure with a suffix has the bound of the figure it is named after', () => {
  const judged = checkFigures('moves', { kept_smokehouse: 0.9 });
  assert.not.ok(judged[0]?.isMet);
});

test('the report contains bounds, verdicts and earlier figures', () => {
  const page = renderReport({
    name: 'control',
    describe: 'Control cost.',
    figures: { cpu_fraction: 0.03 },
    curves: [],
    before: { revision: 'abc1234', figures: { cpu_fraction: 0.05 } },
  });
  assert.match(page, '| cpu_fraction | 0.03 | ≤ 0.021 | **no** | 0.05 |');
});

test('a chart contains one line for each curve', () => {
  const histogram = build();
  [1, 5, 20, 300].forEach((ms) => histogram.recordValue(ms));
  const chart = renderChart([{ name: 'entry', histogram }]);
  assert.is(chart.match(/<polyline/g)?.length, 1);
  assert.match(chart, '99.9%');
});

test.run();
