/** All measurements, in the order in which they are listed. */
import { CONFIG_MEASURE } from './config.js';
import { CONTROL_MEASURE } from './control.js';
import { HERD_MEASURE } from './herd.js';
import type { Measure } from './measure.js';
import { SLOTS_MEASURE } from './slots.js';

/** The measurements. */
export const MEASURES: readonly Measure[] = [
  HERD_MEASURE,
  CONFIG_MEASURE,
  SLOTS_MEASURE,
  CONTROL_MEASURE,
];
