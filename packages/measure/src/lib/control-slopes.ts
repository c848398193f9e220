/**
 * Measurement `control-slopes`: control cost as a function of fleet size, with real daemons at four
 * sizes.
 */
import { measureControlAt } from './control.js';
import { makeScaledSize, SLOPE_SHARES, type FleetSize } from './design-size.js';
import type { Figures, Measure, MeasureOptions } from './measure.js';
import { computeSlope } from './slopes.js';

const COSTS = ['cpu_fraction', 'added_mb', 'bytes_per_s'] as const;
const SIGNIFICANT_DIGITS = 3;

/** Measures control at each size and fits straight lines. */
async function measureControlSlopes({ log }: MeasureOptions): Promise<Figures> {
  const points: { readonly size: FleetSize; readonly figures: Figures }[] = [];
  for (const share of SLOPE_SHARES) {
    const size = makeScaledSize(share);
    log(`${size.workers} workers, ${size.pools} pools, ${size.teams} teams`);
    const figures = await measureControlAt(size, { log });
    log(JSON.stringify(figures));
    points.push({ size, figures });
  }
  return Object.fromEntries(
    COSTS.map((cost) => {
      const line = points.map(({ size, figures }) => [size.workers, figures[cost] ?? NaN] as const);
      return [`${cost}_per_worker`, Number(computeSlope(line).toPrecision(SIGNIFICANT_DIGITS))];
    }),
  );
}

/**
 * The measurement `control-slopes`; its figures are the increase of each cost per additional worker.
 * It takes several minutes.
 */
export const CONTROL_SLOPES_MEASURE: Measure = {
  name: 'control-slopes',
  describe:
    'what eight daemons spend on control at four sizes up to the design size; takes minutes',
  run: measureControlSlopes,
};
