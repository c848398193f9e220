/** Slopes of what control costs over the size of the fleet, with real daemons at four sizes. */
import { measureControlAt } from './control.js';
import { DESIGN_SIZE, type FleetSize } from './design-size.js';
import type { Figures, Measure, MeasureOptions } from './measure.js';
import { computeSlope } from './slopes.js';

const SHARES = [0.25, 0.5, 0.75, 1] as const;
const COSTS = ['cpu_fraction', 'added_mb', 'bytes_per_s'] as const;
const DIGITS = 3;

/** Scales the design size. */
function makeSize(share: number): FleetSize {
  return {
    ...DESIGN_SIZE,
    workers: Math.round(DESIGN_SIZE.workers * share),
    pools: Math.round(DESIGN_SIZE.pools * share),
    teams: Math.round(DESIGN_SIZE.teams * share),
  };
}

/** Runs the measurement. */
async function measureControlSlopes({ log }: MeasureOptions): Promise<Figures> {
  const points: { readonly size: FleetSize; readonly figures: Figures }[] = [];
  for (const share of SHARES) {
    const size = makeSize(share);
    log(`${size.workers} workers, ${size.pools} pools, ${size.teams} teams`);
    const figures = await measureControlAt(size, { log });
    log(JSON.stringify(figures));
    points.push({ size, figures });
  }
  return Object.fromEntries(
    COSTS.map((cost) => {
      const line = points.map(({ size, figures }) => [size.workers, figures[cost] ?? NaN] as const);
      return [`${cost}_per_worker`, Number(computeSlope(line).toPrecision(DIGITS))];
    }),
  );
}

/** Slopes of control over the size of the fleet; takes some minutes. */
export const CONTROL_SLOPES_MEASURE: Measure = {
  name: 'control-slopes',
  describe: 'what eight daemons spend on control at four sizes up to the design size; minutes',
  run: measureControlSlopes,
};
