/** The registry of all measurements. */
import { CONFIG_MEASURE } from './config.js';
import { CONTROL_MEASURE } from './control.js';
import { CONTROL_SLOPES_MEASURE } from './control-slopes.js';
import { EXCHANGE_MEASURE } from './exchange.js';
import { FAULTS_MEASURE } from './faults.js';
import { FLOOD_MEASURE } from './flood.js';
import { HERD_MEASURE } from './herd.js';
import type { Measure } from './measure.js';
import { MOVES_MEASURE } from './moves.js';
import { OVERHEAD_MEASURE } from './overhead.js';
import { PLACEMENT_MEASURE } from './placement.js';
import { PLANNER_COST_MEASURE } from './planner-cost.js';
import { SLOPES_MEASURE } from './slopes.js';
import { SLOTS_MEASURE } from './slots.js';
import { TEAM_KEYS_MEASURE } from './team-keys.js';
import { TEAM_LIMITS_MEASURE } from './team-limits.js';
import { WAVE_MEASURE } from './wave.js';

/** All measurements, in the order in which they are listed. */
export const MEASURES: readonly Measure[] = [
  OVERHEAD_MEASURE,
  HERD_MEASURE,
  FLOOD_MEASURE,
  FAULTS_MEASURE,
  CONFIG_MEASURE,
  WAVE_MEASURE,
  MOVES_MEASURE,
  PLACEMENT_MEASURE,
  PLANNER_COST_MEASURE,
  CONTROL_MEASURE,
  CONTROL_SLOPES_MEASURE,
  EXCHANGE_MEASURE,
  SLOPES_MEASURE,
  SLOTS_MEASURE,
  TEAM_KEYS_MEASURE,
  TEAM_LIMITS_MEASURE,
];
