/**
 * Measurement `moves`: a simulated day of two fleets whose services peak in turn. Loans and planned
 * moves are compared with static pools that serve as large a share of the work, and with greedy
 * moves.
 */
import { createRandom } from 'vanilladock';
import type { MeasureOptions } from './measure.js';
import { findStaticSize, runGreedy } from './moves/baselines.js';
import { runCoreDay, type FleetCase } from './moves/core-run.js';
import { createTrace, sumMeans } from './moves/trace.js';

/** Figures of the moves measurement; ratios are those of the worse fleet. */
export type MovesReport = Readonly<
  Record<
    'buffer_ratio' | 'moves_ratio' | 'kept_smokehouse' | 'kept_cooperative' | 'jain' | 'seed',
    number
  >
>;

const SIZES = [6, 6, 6, 6, 6] as const;
const SPARE_SIZE = 5;
const SPARE_DEMAND = 2;

/** The smokehouse: services of uneven demand; served work has the largest weight. */
const SMOKEHOUSE: FleetCase = {
  name: 'smokehouse',
  weights: { keptWorkWeight: 10, bufferWeight: 1, moveWeight: 1 },
  means: [5, 4.6, 4.2, 3.8, 3.4],
  sizes: SIZES,
  spareSize: SPARE_SIZE,
  spareDemand: SPARE_DEMAND,
};

/** The co-operative: services of even demand; served work, buffer and moves have equal weights. */
const COOPERATIVE: FleetCase = {
  name: 'cooperative',
  weights: { keptWorkWeight: 3, bufferWeight: 3, moveWeight: 3 },
  means: [4.2, 4.2, 4.2, 4.2, 4.2],
  sizes: SIZES,
  spareSize: SPARE_SIZE,
  spareDemand: SPARE_DEMAND,
};

/** Measures one fleet and logs a line about it. */
function measureFleet(fleet: FleetCase, seed: number, log: (line: string) => void) {
  const trace = createTrace(fleet.means, createRandom(seed));
  const core = runCoreDay(fleet, trace);
  const greedy = runGreedy(trace, fleet.sizes);
  const held = fleet.sizes.reduce((sum, size) => sum + size, fleet.spareSize);
  const demand = sumMeans(trace) + fleet.spareDemand;
  const staticHeld = findStaticSize(trace, fleet.means, core.kept) + fleet.spareDemand;
  log(
    `${fleet.name}: kept ${core.kept.toFixed(4)}, ${core.moves} moves, ${(core.lentShare * 100).toFixed(0)} % of the work on loan; greedy kept ${greedy.kept.toFixed(4)}, ${greedy.moves} moves; mean demand ${demand.toFixed(1)} of ${held} instances; static pools need ${staticHeld}`,
  );
  return {
    kept: core.kept,
    jain: core.jain,
    bufferRatio: (held - demand) / (staticHeld - demand),
    movesRatio: core.moves / greedy.moves,
  };
}

/** Measures loans and moves against static pools and greedy moves. */
export function measureMoves(options: MeasureOptions): Promise<MovesReport> {
  const smokehouse = measureFleet(SMOKEHOUSE, options.seed, options.log);
  const cooperative = measureFleet(COOPERATIVE, options.seed + 1, options.log);
  return Promise.resolve({
    buffer_ratio: Math.max(smokehouse.bufferRatio, cooperative.bufferRatio),
    moves_ratio: Math.max(smokehouse.movesRatio, cooperative.movesRatio),
    kept_smokehouse: smokehouse.kept,
    kept_cooperative: cooperative.kept,
    jain: cooperative.jain,
    seed: options.seed,
  });
}

/** The measurement `moves`. */
export const MOVES_MEASURE = {
  name: 'moves',
  describe:
    'a day of alternating peaks under loans and moves, against static pools and greedy moves',
  run: measureMoves,
} as const;
